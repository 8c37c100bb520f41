package martenslip.sip.transport;

import java.util.ArrayDeque;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A few threads that write for all connections which have something to say: a connection that says nothing costs one
 * small thread, the one that reads it. A peer that does not read holds one of them until its connection is ended, so
 * there may be {@code most}; past that connections wait for their turn, at most one place each.
 *
 * <p>It keeps threads that read for a while too: where connections come and go by the hundred a second, making and
 * ending a thread for each is most of what they cost.
 */
public final class ConnectionThreadPool {
    private static final int STACK = 128 * 1024;
    private static final long LINGER_MS = 2000;
    /** More connections than any process here may hold descriptors. */
    private static final int MOST_READERS = 1024;

    private final String name;
    private final int most;
    private final ArrayDeque<Runnable> ready = new ArrayDeque<>();
    private final ThreadPoolExecutor readers;
    private int threads;
    private int idle;

    public ConnectionThreadPool(String name, int most) {
        this.name = name;
        this.most = most;
        readers = new ThreadPoolExecutor(
                0, MOST_READERS, LINGER_MS, TimeUnit.MILLISECONDS, new SynchronousQueue<>(), what -> {
                    Thread thread = new Thread(null, what, name + "-in", STACK);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Runs it on a thread of its own as long as it takes. Where none can be had it throws what the executor throws. */
    void read(Runnable reading) {
        readers.execute(reading);
    }

    synchronized void submit(Runnable writing) {
        ready.add(writing);
        if (idle >= ready.size()) {
            notify();
        } else if (threads < most) {
            threads++;
            Thread thread = new Thread(null, this::work, name + "-out-" + threads, STACK);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void work() {
        for (Runnable next = take(); next != null; next = take()) {
            next.run();
        }
    }

    private synchronized Runnable take() {
        long until = System.nanoTime() + LINGER_MS * 1_000_000;
        while (ready.isEmpty()) {
            long left = (until - System.nanoTime()) / 1_000_000;
            // The last one stays: most of the time one is enough.
            if (left <= 0 && threads > 1) {
                threads--;
                return null;
            }
            idle++;
            try {
                wait(left <= 0 ? 0 : left);
            } catch (InterruptedException e) {
                threads--;
                return null;
            } finally {
                idle--;
            }
        }
        return ready.poll();
    }
}
