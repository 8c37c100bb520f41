package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

public class ReloadSignalTest {
    private final AtomicInteger done = new AtomicInteger();

    @Test
    public void oneThatComesBeforeServiceIsDoneOnceItBegins() {
        done.set(0);
        ReloadSignal reloads = new ReloadSignal();
        reloads.request();
        reloads.request();
        assertEquals(done.get(), 0);
        reloads.start(done::incrementAndGet);
        assertEquals(done.get(), 1);
        reloads.request();
        assertEquals(done.get(), 2);
    }

    /** The signal and the beginning at once, two thousand times: it is done, whichever comes first. */
    @Test
    public void oneThatCrossesTheBeginningIsDone() throws Exception {
        for (int i = 0; i < 2000; i++) {
            done.set(0);
            ReloadSignal reloads = new ReloadSignal();
            CyclicBarrier both = new CyclicBarrier(2);
            Thread signal = new Thread(() -> {
                try {
                    both.await(10, TimeUnit.SECONDS);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
                reloads.request();
            });
            signal.start();
            both.await(10, TimeUnit.SECONDS);
            reloads.start(done::incrementAndGet);
            signal.join();
            assertTrue(done.get() >= 1, "lost at " + i);
        }
    }
}
