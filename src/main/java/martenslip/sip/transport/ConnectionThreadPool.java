package martenslip.sip.transport;

import java.util.ArrayDeque;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A few threads that write for all connections with unsent messages, so an idle connection costs only its reading
 * thread, which has a small stack. A peer that does not read blocks one writing thread until its connection is closed;
 * there are at most {@code maxWriters}. When all are busy, connections wait in a queue, each with at most one entry.
 *
 * <p>Reading threads are kept for a while too: where hundreds of connections open and close each second, creating and
 * ending a thread for each is most of their cost.
 */
public final class ConnectionThreadPool {
    private static final int STACK_SIZE_BYTES = 128 * 1024;
    private static final long IDLE_THREAD_TIMEOUT_MS = 2000;
    /** Exceeds the number of connections that any process here may hold. */
    private static final int MAX_READERS = 2048;

    private final String name;
    private final int maxWriters;
    private final ArrayDeque<Runnable> pendingWrites = new ArrayDeque<>();
    private final ThreadPoolExecutor readers;
    private int writerCount;
    private int idleWriters;

    /** Creates a pool without threads; thread names begin with {@code name}. */
    public ConnectionThreadPool(String name, int maxWriters) {
        this.name = name;
        this.maxWriters = maxWriters;
        readers = new ThreadPoolExecutor(
                0, MAX_READERS, IDLE_THREAD_TIMEOUT_MS, TimeUnit.MILLISECONDS, new SynchronousQueue<>(), task -> {
                    Thread thread = new Thread(null, task, name + "-in", STACK_SIZE_BYTES);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /**
     * Runs a reading loop on a thread of its own until it returns. Throws the executor's exception if there is no
     * thread.
     */
    void executeRead(Runnable task) {
        readers.execute(task);
    }

    /** Queues a write; starts another writing thread if none is idle and the limit allows it. */
    synchronized void submitWrite(Runnable task) {
        pendingWrites.add(task);
        if (idleWriters >= pendingWrites.size()) {
            notify();
        } else if (writerCount < maxWriters) {
            writerCount++;
            Thread thread = new Thread(null, this::runWriter, name + "-out-" + writerCount, STACK_SIZE_BYTES);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void runWriter() {
        for (Runnable task = awaitWrite(); task != null; task = awaitWrite()) {
            runGuarded(task);
        }
    }

    /** A connection closes itself on a fault; where even that fails, the thread still serves the other connections. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError | LinkageError e) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
        }
    }

    private synchronized Runnable awaitWrite() {
        long deadlineNanos = System.nanoTime() + IDLE_THREAD_TIMEOUT_MS * 1_000_000;
        while (pendingWrites.isEmpty()) {
            long remainingMs = (deadlineNanos - System.nanoTime()) / 1_000_000;
            // The last thread stays: one is usually enough.
            if (remainingMs <= 0 && writerCount > 1) {
                writerCount--;
                return null;
            }
            idleWriters++;
            try {
                wait(remainingMs <= 0 ? 0 : remainingMs);
            } catch (InterruptedException e) {
                writerCount--;
                return null;
            } finally {
                idleWriters--;
            }
        }
        return pendingWrites.poll();
    }
}
