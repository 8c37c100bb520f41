package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** A SIGHUP before, during or after the start of service leads to a reload. */
public class ReloadSignalTest {
    private final AtomicInteger reloadCount = new AtomicInteger();

    @Test
    public void aRequestBeforeServiceReloadsOnceItBegins() {
        reloadCount.set(0);
        ReloadSignal reloadSignal = new ReloadSignal();
        reloadSignal.request();
        reloadSignal.request();
        assertEquals(reloadCount.get(), 0);
        reloadSignal.start(reloadCount::incrementAndGet);
        assertEquals(reloadCount.get(), 1);
        reloadSignal.request();
        assertEquals(reloadCount.get(), 2);
    }

    /** Two thousand races of a signal with the start of service: the reload runs, whichever comes first. */
    @Test
    public void aRequestDuringTheStartReloads() throws Exception {
        for (int i = 0; i < 2000; i++) {
            reloadCount.set(0);
            ReloadSignal reloadSignal = new ReloadSignal();
            CyclicBarrier barrier = new CyclicBarrier(2);
            Thread signalThread = new Thread(() -> {
                try {
                    barrier.await(10, TimeUnit.SECONDS);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
                reloadSignal.request();
            });
            signalThread.start();
            barrier.await(10, TimeUnit.SECONDS);
            reloadSignal.start(reloadCount::incrementAndGet);
            signalThread.join();
            assertTrue(reloadCount.get() >= 1, "lost at " + i);
        }
    }
}
