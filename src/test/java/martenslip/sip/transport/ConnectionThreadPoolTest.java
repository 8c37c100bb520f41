package martenslip.sip.transport;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** The writing threads go on after a fault of one write. */
public class ConnectionThreadPoolTest {
    /** Guards against report 9d16c4: a writing thread that dies is never replaced, and the last one takes all output along. */
    @Test(timeOut = 20_000)
    public void aFaultOfOneWriteDoesNotEndTheOnlyWritingThread() throws Exception {
        ConnectionThreadPool pool = new ConnectionThreadPool("test", 1);
        CountDownLatch laterWrite = new CountDownLatch(1);
        pool.submitWrite(() -> {
            throw new OutOfMemoryError("a test's");
        });
        pool.submitWrite(laterWrite::countDown);
        assertTrue(laterWrite.await(5, TimeUnit.SECONDS), "the write after the fault is done");
    }
}
