package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** What callers may have in the inbox of the decision thread, by connection and in bytes. */
public class InboxQuotaTest {
    private static final long CONNECTION = 1;
    private static final long OTHER_CONNECTION = 2;
    private static final int QUIET_MS = 50;

    private final InboxQuota quota = new InboxQuota();

    private CountDownLatch acquireInThread(InboxQuota quota, long connectionId, long bytes) {
        CountDownLatch acquired = new CountDownLatch(1);
        Thread thread = new Thread(() -> {
            try {
                quota.acquire(connectionId, bytes);
                acquired.countDown();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return acquired;
    }

    /** Guards against report 9d16c4, picture (c): one client at full speed filled the inbox and others waited behind it. */
    @Test(timeOut = 20_000)
    public void aConnectionAtItsBoundWaitsAndAnotherDoesNot() throws Exception {
        InboxQuota quota = new InboxQuota();
        for (int i = 0; i < InboxQuota.MAX_TASKS_PER_CONNECTION; i++) {
            quota.acquire(CONNECTION, 1);
        }
        CountDownLatch acquired = acquireInThread(quota, CONNECTION, 1);
        quota.acquire(OTHER_CONNECTION, 1);
        assertFalse(acquired.await(QUIET_MS, TimeUnit.MILLISECONDS));
        quota.release(CONNECTION, 1);
        assertTrue(acquired.await(5, TimeUnit.SECONDS));
    }

    @Test(timeOut = 20_000)
    public void theBytesOfAllConnectionsAreBounded() throws Exception {
        InboxQuota quota = new InboxQuota();
        quota.acquire(CONNECTION, InboxQuota.MAX_BYTES - 1);
        CountDownLatch acquired = acquireInThread(quota, OTHER_CONNECTION, 2);
        assertFalse(acquired.await(QUIET_MS, TimeUnit.MILLISECONDS));
        quota.release(CONNECTION, InboxQuota.MAX_BYTES - 1);
        assertTrue(acquired.await(5, TimeUnit.SECONDS));
        assertEquals(quota.usedBytes(), 2);
    }

    @Test(timeOut = 20_000)
    public void aTaskLargerThanTheBoundIsAdmittedAlone() throws Exception {
        InboxQuota quota = new InboxQuota();
        quota.acquire(CONNECTION, 2 * InboxQuota.MAX_BYTES);
        assertFalse(acquireInThread(quota, OTHER_CONNECTION, 1).await(QUIET_MS, TimeUnit.MILLISECONDS));
    }

    @Test(timeOut = 20_000)
    public void nobodyWaitsAfterTheEnd() throws Exception {
        quota.acquire(CONNECTION, 2 * InboxQuota.MAX_BYTES);
        CountDownLatch acquired = acquireInThread(quota, OTHER_CONNECTION, 1);
        quota.close();
        assertTrue(acquired.await(5, TimeUnit.SECONDS));
    }

    /** Guards against a usual caller that loses the race for each room that a flood of others waits for (review/6). */
    @Test(timeOut = 20_000)
    public void thoseThatWaitAreAdmittedInTheirOrder() throws Exception {
        InboxQuota quota = new InboxQuota();
        quota.acquire(CONNECTION, InboxQuota.MAX_BYTES);
        CountDownLatch large = acquireInThread(quota, OTHER_CONNECTION, InboxQuota.MAX_BYTES);
        while (quota.waitingCount() < 1) {
            Thread.onSpinWait();
        }
        CountDownLatch small = acquireInThread(quota, CONNECTION, 1);
        while (quota.waitingCount() < 2) {
            Thread.onSpinWait();
        }
        quota.release(CONNECTION, InboxQuota.MAX_BYTES);
        assertTrue(large.await(5, TimeUnit.SECONDS));
        assertFalse(small.await(QUIET_MS, TimeUnit.MILLISECONDS));
        quota.release(OTHER_CONNECTION, InboxQuota.MAX_BYTES);
        assertTrue(small.await(5, TimeUnit.SECONDS));
    }

    @Test(timeOut = 20_000)
    public void aLimitedWaitEndsWithoutRoomAndLetsThoseBehindGo() throws Exception {
        InboxQuota quota = new InboxQuota();
        quota.acquire(CONNECTION, InboxQuota.MAX_BYTES - 1);
        assertFalse(quota.tryAcquire(OTHER_CONNECTION, 2, TimeUnit.MILLISECONDS.toNanos(QUIET_MS)));
        assertEquals(quota.waitingCount(), 0);
        quota.acquire(OTHER_CONNECTION, 1);
        assertEquals(quota.usedBytes(), InboxQuota.MAX_BYTES);
    }
}
