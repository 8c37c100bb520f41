package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The turns in which tasks of connections are taken. */
public class FairTaskQueueTest {
    private final List<String> handled = new ArrayList<>();
    private FairTaskQueue queue;

    @BeforeMethod
    public void begin() {
        queue = new FairTaskQueue();
    }

    private void add(long connectionId, String name) {
        queue.add(connectionId, () -> handled.add(name));
    }

    private List<String> take(int count) {
        handled.clear();
        for (int i = 0; i < count; i++) {
            queue.poll().run();
        }
        return List.copyOf(handled);
    }

    @Test
    public void theTasksOfOneConnectionKeepTheirOrder() {
        for (int i = 0; i < 3 * FairTaskQueue.TASKS_PER_TURN; i++) {
            add(1, "task " + i);
        }
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < 3 * FairTaskQueue.TASKS_PER_TURN; i++) {
            expected.add("task " + i);
        }
        assertEquals(take(expected.size()), expected);
        assertNull(queue.poll());
        assertEquals(queue.size(), 0);
    }

    /** Guards against a set-up that waits behind the backlogs of hundreds of connections at full speed (review/6). */
    @Test
    public void aConnectionThatHadNothingComesBeforeBacklogs() {
        for (int connection = 1; connection <= 300; connection++) {
            for (int i = 0; i < 10; i++) {
                add(connection, "backlog");
            }
        }
        take(300 * FairTaskQueue.TASKS_PER_TURN);
        add(999, "sparse");
        assertEquals(take(1), List.of("sparse"));
    }

    @Test
    public void aConnectionThatComesAgainAndAgainDoesNotKeepTheOthersWaiting() {
        for (int i = 0; i < 2 * FairTaskQueue.TASKS_PER_TURN; i++) {
            add(1, "backlog");
        }
        take(FairTaskQueue.TASKS_PER_TURN);
        int backlogTaken = 0;
        for (int i = 0; i < 2 * FairTaskQueue.TASKS_PER_TURN; i++) {
            add(2, "again");
            backlogTaken += take(1).contains("backlog") ? 1 : 0;
        }
        assertEquals(backlogTaken, FairTaskQueue.TASKS_PER_TURN);
    }
}
