package martenslip.platform;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import martenslip.control.Span;
import martenslip.sip.transport.LatencyHistogram;

/**
 * Callers' work for the decision thread: bounded by {@link InboxQuota}, taken in the turns of {@link FairTaskQueue}. While
 * there is any, one entry stands for all of it in the inbox of the decision thread, behind which the messages of
 * switches and the journal are handled in between. The work of one connection keeps its order.
 */
final class CallerInbox {
    private final InboxQuota quota = new InboxQuota();
    private final FairTaskQueue tasks = new FairTaskQueue();
    private final LatencyHistogram waits = new LatencyHistogram();
    /** Whether the entry for all tasks is queued or being handled. */
    private final AtomicBoolean isScheduled = new AtomicBoolean();

    private final Executor decisionThread;
    private final Consumer<Runnable> laterInTurn;
    /** The entry; made once, so that queueing it needs no memory. */
    private final Runnable entry = this::runNext;

    /**
     * Creates an empty inbox.
     *
     * @param decisionThread queues a task for the decision thread, waiting for room if need be
     * @param laterInTurn queues a task behind what the decision thread has to do; called by that thread, never waits
     */
    CallerInbox(Executor decisionThread, Consumer<Runnable> laterInTurn) {
        this.decisionThread = decisionThread;
        this.laterInTurn = laterInTurn;
    }

    /** Adds a task for a message of a connection; waits for room. */
    void add(long connectionId, long bytes, Runnable task) throws InterruptedException {
        long startNanos = System.nanoTime();
        quota.acquire(connectionId, bytes);
        enqueue(connectionId, bytes, startNanos, task);
    }

    /** Adds a task as {@link #add}, but waits for room at most for this time; returns false if there was none. */
    boolean tryAdd(long connectionId, long bytes, Span maxWait, Runnable task) throws InterruptedException {
        long startNanos = System.nanoTime();
        boolean isAdmitted = quota.tryAcquire(connectionId, bytes, maxWait.ns());
        if (isAdmitted) {
            enqueue(connectionId, bytes, startNanos, task);
        }
        return isAdmitted;
    }

    /** Adds a task without waiting, as the decision thread must, which alone makes room. */
    void addWithoutWaiting(long connectionId, Runnable task) {
        quota.add(connectionId, 0);
        enqueue(connectionId, 0, System.nanoTime(), task);
    }

    private void enqueue(long connectionId, long bytes, long startNanos, Runnable task) {
        boolean isAdded = false;
        try {
            tasks.add(connectionId, () -> handle(connectionId, bytes, startNanos, task));
            isAdded = true;
        } finally {
            if (!isAdded) {
                quota.release(connectionId, bytes);
            }
        }
        if (isScheduled.compareAndSet(false, true)) {
            schedule(decisionThread::execute);
        }
    }

    private void handle(long connectionId, long bytes, long startNanos, Runnable task) {
        waits.add(new Span(System.nanoTime() - startNanos), connectionId);
        try {
            task.run();
        } finally {
            quota.release(connectionId, bytes);
        }
    }

    /** Queues the entry; where that fails for lack of memory, the next task that is added tries again. */
    private void schedule(Consumer<Runnable> queue) {
        boolean isQueued = false;
        try {
            queue.accept(entry);
            isQueued = true;
        } finally {
            if (!isQueued) {
                isScheduled.set(false);
            }
        }
    }

    private void runNext() {
        Runnable task = tasks.poll();
        try {
            if (task != null) {
                task.run();
            }
        } finally {
            scheduleRest();
        }
    }

    private void scheduleRest() {
        if (tasks.size() == 0) {
            isScheduled.set(false);
            // A task that was added in between found the entry scheduled.
            if (tasks.size() == 0 || !isScheduled.compareAndSet(false, true)) {
                return;
            }
        }
        schedule(laterInTurn);
    }

    /** The number of tasks that have not been handled. */
    int size() {
        return tasks.size();
    }

    /** The bytes of the tasks that have not been handled. */
    long usedBytes() {
        return quota.usedBytes();
    }

    /** On the decision thread: how long messages waited since the last call, from their reading to their handling. */
    String takeWaitsText() {
        return waits.takeText();
    }

    /** Nobody waits any more: no task will be handled. */
    void close() {
        quota.close();
    }
}
