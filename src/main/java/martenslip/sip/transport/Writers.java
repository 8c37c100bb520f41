package martenslip.sip.transport;

import java.util.ArrayDeque;

/**
 * A few threads that write for all connections which have something to say: a connection that says nothing costs one
 * small thread, the one that reads it. A peer that does not read holds one of them until its connection is ended, so
 * there may be {@code most}; past that connections wait for their turn, at most one place each.
 */
public final class Writers {
    private static final int STACK = 128 * 1024;
    private static final long LINGER_MS = 2000;

    private final String name;
    private final int most;
    private final ArrayDeque<Runnable> ready = new ArrayDeque<>();
    private int threads;
    private int idle;

    public Writers(String name, int most) {
        this.name = name;
        this.most = most;
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
