package martenslip.platform;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Bounds what callers have in the inbox of the decision thread: tasks of each connection, so that one caller at full speed
 * does not keep the others' messages waiting, and bytes in all. Reading threads wait at either bound, which stops the
 * reading of their connection; they are admitted in the order in which they came, but for those at the bound of their
 * own connection. Thread-safe; without I/O or clock.
 */
final class InboxQuota {
    static final int MAX_TASKS_PER_CONNECTION = 32;
    static final long MAX_BYTES = 4L << 20;

    /** A thread that waits to add a task. */
    private static final class Waiter {
        final long connectionId;
        final long bytes;
        final Condition admission;
        boolean isAdmitted;

        Waiter(long connectionId, long bytes, Condition admission) {
            this.connectionId = connectionId;
            this.bytes = bytes;
            this.admission = admission;
        }
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<Long, Integer> tasksByConnection = new HashMap<>();
    private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
    private long usedBytes;
    private boolean isClosed;

    /** Waits until the connection may add another task of this size to the inbox, or the quota has been closed. */
    void acquire(long connectionId, long bytes) throws InterruptedException {
        tryAcquire(connectionId, bytes, Long.MAX_VALUE);
    }

    /** Waits as {@link #acquire}, but at most for this time; returns false if there was no room. */
    boolean tryAcquire(long connectionId, long bytes, long timeoutNanos) throws InterruptedException {
        lock.lock();
        try {
            Waiter waiter = new Waiter(connectionId, bytes, lock.newCondition());
            waiters.add(waiter);
            admitWaiters();
            return awaitAdmission(waiter, timeoutNanos);
        } finally {
            lock.unlock();
        }
    }

    private boolean awaitAdmission(Waiter waiter, long timeoutNanos) throws InterruptedException {
        long remainingNanos = timeoutNanos;
        try {
            while (!waiter.isAdmitted && !isClosed && remainingNanos > 0) {
                remainingNanos = waiter.admission.awaitNanos(remainingNanos);
            }
            return waiter.isAdmitted || isClosed;
        } catch (InterruptedException e) {
            if (waiter.isAdmitted) {
                giveBack(waiter.connectionId, waiter.bytes);
            }
            throw e;
        } finally {
            if (!waiter.isAdmitted) {
                waiters.remove(waiter);
                // Those behind may fit where this one did not.
                admitWaiters();
            }
        }
    }

    /** Adds a task of a caller without waiting, where the decision thread itself does. */
    void add(long connectionId, long bytes) {
        lock.lock();
        try {
            take(connectionId, bytes);
        } finally {
            lock.unlock();
        }
    }

    /** Admits waiters in their order as far as there is room; a large task is not overtaken by smaller ones. */
    private void admitWaiters() {
        for (Iterator<Waiter> remaining = waiters.iterator(); remaining.hasNext(); ) {
            Waiter waiter = remaining.next();
            if (tasksByConnection.getOrDefault(waiter.connectionId, 0) >= MAX_TASKS_PER_CONNECTION) {
                continue;
            }
            // A task that was too large for what is left is admitted alone.
            if (usedBytes != 0 && usedBytes + waiter.bytes > MAX_BYTES) {
                return;
            }
            take(waiter.connectionId, waiter.bytes);
            waiter.isAdmitted = true;
            waiter.admission.signal();
            remaining.remove();
        }
    }

    private void take(long connectionId, long bytes) {
        tasksByConnection.merge(connectionId, 1, Integer::sum);
        usedBytes += bytes;
    }

    private void giveBack(long connectionId, long bytes) {
        tasksByConnection.computeIfPresent(connectionId, (id, count) -> count == 1 ? null : count - 1);
        usedBytes -= bytes;
        admitWaiters();
    }

    /** A task has been handled, or did not get into the inbox. */
    void release(long connectionId, long bytes) {
        lock.lock();
        try {
            giveBack(connectionId, bytes);
        } finally {
            lock.unlock();
        }
    }

    /** The bytes of all tasks that have not been handled. */
    long usedBytes() {
        lock.lock();
        try {
            return usedBytes;
        } finally {
            lock.unlock();
        }
    }

    /** The number of threads that wait for room. */
    int waitingCount() {
        lock.lock();
        try {
            return waiters.size();
        } finally {
            lock.unlock();
        }
    }

    /** Nobody waits any more: no task will be handled. */
    void close() {
        lock.lock();
        try {
            isClosed = true;
            waiters.forEach(waiter -> waiter.admission.signal());
        } finally {
            lock.unlock();
        }
    }
}
