package martenslip.eventloop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The event loop goes on after a fault of one of its tasks. */
public class EventLoopTest {
    private final List<Throwable> failures = new CopyOnWriteArrayList<>();
    private EventLoop loop;

    @BeforeMethod
    public void startLoop() {
        failures.clear();
        loop = new EventLoop("test", 8);
        loop.start(
                new EventLoop.Handler() {
                    @Override
                    public void handle(Object next) {}

                    @Override
                    public void afterTurn() {}

                    @Override
                    public void onFailure(Throwable fault) {
                        failures.add(fault);
                    }
                },
                () -> {});
    }

    @AfterMethod
    public void closeLoop() {
        loop.close();
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {new IllegalStateException("a test's")},
            {new StackOverflowError("a test's")},
            {new OutOfMemoryError("a test's")},
            {new NoClassDefFoundError("a test's")}
        };
    }

    /** Guards against report 9d16c4: an OutOfMemoryError ended the decision thread, and nobody was answered any more. */
    @Test(dataProvider = "faults", timeOut = 20_000)
    public void aFaultCostsItsTaskAndNotTheThread(Throwable fault) throws Exception {
        CountDownLatch laterTask = new CountDownLatch(1);
        loop.put((Runnable) () -> EventLoopTest.<RuntimeException>raise(fault), () -> {});
        loop.put((Runnable) laterTask::countDown, () -> {});
        assertTrue(laterTask.await(5, TimeUnit.SECONDS), "the task after the fault is handled");
        assertEquals(failures, List.of(fault));
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void raise(Throwable fault) throws T {
        throw (T) fault;
    }
}
