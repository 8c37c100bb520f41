package martenslip.platform;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds what callers have in the inbox of the decision thread: tasks of each connection, so that one caller at full speed
 * does not keep the others' messages waiting, and bytes in all. Reading threads wait at either bound, which stops the
 * reading of their connection. Thread-safe; without I/O or clock.
 */
final class InboxQuota {
    static final int MAX_TASKS_PER_CONNECTION = 32;
    static final long MAX_BYTES = 4L << 20;

    private final Map<Long, Integer> tasksByConnection = new HashMap<>();
    private long usedBytes;
    private boolean isClosed;

    /** Waits until the connection may add another task of this size to the inbox, or the quota has been closed. */
    synchronized void acquire(long connectionId, long bytes) throws InterruptedException {
        while (!isClosed && !hasRoom(connectionId, bytes)) {
            wait();
        }
        tasksByConnection.merge(connectionId, 1, Integer::sum);
        usedBytes += bytes;
    }

    /** A task that was too large for what is left is admitted alone. */
    private boolean hasRoom(long connectionId, long bytes) {
        return tasksByConnection.getOrDefault(connectionId, 0) < MAX_TASKS_PER_CONNECTION
                && (usedBytes == 0 || usedBytes + bytes <= MAX_BYTES);
    }

    /** A task has been handled, or did not get into the inbox. */
    synchronized void release(long connectionId, long bytes) {
        tasksByConnection.computeIfPresent(connectionId, (id, count) -> count == 1 ? null : count - 1);
        usedBytes -= bytes;
        notifyAll();
    }

    /** The bytes of all tasks that have not been handled. */
    synchronized long usedBytes() {
        return usedBytes;
    }

    /** Nobody waits any more: no task will be handled. */
    synchronized void close() {
        isClosed = true;
        notifyAll();
    }
}
