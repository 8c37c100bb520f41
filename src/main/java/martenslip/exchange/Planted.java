package martenslip.exchange;

import java.util.concurrent.TimeUnit;
import martenslip.control.Span;

/**
 * A stall that a test or a play plants in a thread: between two pieces of work, or amid a send, after its decision
 * and before its last step. Any thread may plant; the thread it is meant for stalls, once.
 */
final class Planted {
    /** Where the stall is met. */
    enum Place { BETWEEN, SENDING }

    private volatile Span amidSend;

    void plant(Span span) {
        amidSend = span;
    }

    /** Called amid each send. */
    void sending() {
        Span span = amidSend;
        if (span != null) {
            amidSend = null;
            stall(span);
        }
    }

    static void stall(Span span) {
        long end = System.nanoTime() + span.ns();
        boolean interrupted = false;
        while (System.nanoTime() < end) {
            try {
                TimeUnit.NANOSECONDS.sleep(end - System.nanoTime());
            } catch (InterruptedException e) {
                // A thread that hangs does not listen.
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
