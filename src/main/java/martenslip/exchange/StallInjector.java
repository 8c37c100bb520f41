package martenslip.exchange;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import martenslip.control.Span;

/**
 * A stall that a test or a play plants in a thread: between two pieces of work, or amid a send, after its decision
 * and before its last step. Any thread may plant; the thread it is meant for stalls, once.
 */
final class StallInjector {
    private record StallDuringSend(Span span, byte[] start) {}

    private volatile StallDuringSend amid;

    /** Amid the next send of a message that begins so; an empty text is any. */
    void plant(Span span, String start) {
        amid = new StallDuringSend(span, start.getBytes(StandardCharsets.US_ASCII));
    }

    /** Called amid each send. */
    void sending(byte[] bytes) {
        StallDuringSend now = amid;
        if (now != null
                && bytes.length >= now.start.length
                && Arrays.equals(bytes, 0, now.start.length, now.start, 0, now.start.length)) {
            amid = null;
            stall(now.span);
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
