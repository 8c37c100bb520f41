package martenslip.platform;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Tasks of many connections, taken in turns: a few of each connection that has any, in the order in which they were added.
 * A connection that had none comes before those that have had their turn, so the tasks of one that sends now and then
 * do not wait behind the backlogs of those that send at full speed (as in deficit round robin with sparse flows first).
 * Thread-safe; without I/O or clock.
 */
final class FairTaskQueue {
    /** Tasks of one connection that are taken in one turn. */
    static final int TASKS_PER_TURN = 4;

    private static final class Flow {
        final long connectionId;
        final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
        int tasksLeftInTurn = TASKS_PER_TURN;

        Flow(long connectionId) {
            this.connectionId = connectionId;
        }
    }

    /** The connections that have tasks, or had some in this round. */
    private final Map<Long, Flow> flows = new HashMap<>();
    /** Those that had no task before and have not had their first turn. */
    private final ArrayDeque<Flow> newFlows = new ArrayDeque<>();

    private final ArrayDeque<Flow> oldFlows = new ArrayDeque<>();
    private int size;

    /** Adds a task of a connection. */
    synchronized void add(long connectionId, Runnable task) {
        Flow flow = flows.get(connectionId);
        if (flow == null) {
            flow = new Flow(connectionId);
            flows.put(connectionId, flow);
            newFlows.add(flow);
        }
        flow.tasks.add(task);
        size++;
    }

    /** Takes the next task; returns null if there is none. */
    synchronized Runnable poll() {
        while (!newFlows.isEmpty() || !oldFlows.isEmpty()) {
            boolean isNew = !newFlows.isEmpty();
            ArrayDeque<Flow> turns = isNew ? newFlows : oldFlows;
            Flow flow = turns.peek();
            if (flow.tasks.isEmpty()) {
                turns.remove();
                endWithoutTasks(flow, isNew);
            } else if (flow.tasksLeftInTurn == 0) {
                turns.remove();
                flow.tasksLeftInTurn = TASKS_PER_TURN;
                oldFlows.add(flow);
            } else {
                flow.tasksLeftInTurn--;
                size--;
                return flow.tasks.poll();
            }
        }
        return null;
    }

    /** One that came as new waits for the end of the round, so that it cannot come as new again before the others' turns. */
    private void endWithoutTasks(Flow flow, boolean isNew) {
        if (isNew && !oldFlows.isEmpty()) {
            oldFlows.add(flow);
        } else {
            flows.remove(flow.connectionId);
        }
    }

    /** The number of tasks. */
    synchronized int size() {
        return size;
    }
}
