package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import martenslip.control.Span;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The one entry that stands for all callers' work in the inbox of the decision thread. */
public class CallerInboxTest {
    private static final int THREADS = 8;
    private static final int TASKS_EACH = 5_000;

    private ArrayDeque<Runnable> entries;
    private List<String> handled;
    private CallerInbox inbox;

    @BeforeMethod
    public void begin() {
        entries = new ArrayDeque<>();
        handled = new ArrayList<>();
        inbox = new CallerInbox(entries::add, entries::add);
    }

    private void runEntry() {
        entries.remove().run();
    }

    @Test
    public void oneEntryStandsForAllTasks() throws Exception {
        inbox.add(1, 10, () -> handled.add("a"));
        inbox.add(2, 10, () -> handled.add("b"));
        assertEquals(entries.size(), 1);
        assertEquals(inbox.usedBytes(), 20);
        runEntry();
        assertEquals(entries.size(), 1);
        runEntry();
        assertEquals(handled, List.of("a", "b"));
        assertEquals(entries.size(), 0);
        assertEquals(inbox.usedBytes(), 0);
        inbox.add(1, 10, () -> handled.add("c"));
        assertEquals(entries.size(), 1);
    }

    @Test
    public void aTaskThatFailsDoesNotEndTheOthers() throws Exception {
        inbox.add(1, 10, () -> {
            throw new IllegalStateException("fault");
        });
        inbox.add(1, 10, () -> handled.add("next"));
        expectThrows(IllegalStateException.class, this::runEntry);
        runEntry();
        assertEquals(handled, List.of("next"));
        assertEquals(inbox.usedBytes(), 0);
    }

    /** Guards against an inbox that nobody empties any more once its entry found no memory. */
    @Test
    public void anEntryThatCouldNotBeQueuedIsQueuedWithTheNextTask() throws Exception {
        boolean[] isFull = {true};
        inbox = new CallerInbox(
                entry -> {
                    if (isFull[0]) {
                        throw new OutOfMemoryError("test");
                    }
                    entries.add(entry);
                },
                entries::add);
        expectThrows(OutOfMemoryError.class, () -> inbox.add(1, 10, () -> handled.add("a")));
        isFull[0] = false;
        inbox.add(1, 10, () -> handled.add("b"));
        runEntry();
        runEntry();
        assertEquals(handled, List.of("a", "b"));
    }

    @Test(timeOut = 20_000)
    public void aTaskWithoutRoomIsNotAdded() throws Exception {
        inbox.add(1, InboxQuota.MAX_BYTES, () -> {});
        assertFalse(inbox.tryAdd(2, 1, Span.ofMillis(20), () -> handled.add("too much")));
        assertEquals(inbox.size(), 1);
    }

    /** Guards against an entry that is taken as queued while the decision thread has just found nothing left to do. */
    @Test(timeOut = 60_000)
    public void noTaskIsLeftBehindWhereManyThreadsAddThem() throws Exception {
        ScheduledExecutorService decisionThread = Executors.newSingleThreadScheduledExecutor();
        CallerInbox shared = new CallerInbox(decisionThread, decisionThread::execute);
        CountDownLatch done = new CountDownLatch(THREADS * TASKS_EACH);
        for (int i = 0; i < THREADS; i++) {
            long connectionId = i;
            new Thread(() -> {
                        try {
                            for (int k = 0; k < TASKS_EACH; k++) {
                                shared.add(connectionId, 100, done::countDown);
                                if (k % 3 == 0) {
                                    Thread.yield();
                                }
                            }
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    })
                    .start();
        }
        assertTrue(done.await(30, TimeUnit.SECONDS), "left behind: " + done.getCount());
        decisionThread.shutdownNow();
    }
}
