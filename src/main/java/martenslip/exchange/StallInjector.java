package martenslip.exchange;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import martenslip.control.Span;

/**
 * Injects a stall into a thread for a test or a scenario: between two tasks, or during a send, after the decision to
 * send and before the fence is checked. Any thread may request the stall; the target thread stalls once.
 */
final class StallInjector {
    private record StallDuringSend(Span duration, byte[] messagePrefix) {}

    private volatile StallDuringSend pendingStall;

    /** Stalls the next send of a message that starts with this prefix; an empty prefix matches any message. */
    void stallNextSend(Span duration, String messagePrefix) {
        pendingStall = new StallDuringSend(duration, messagePrefix.getBytes(StandardCharsets.US_ASCII));
    }

    /** Called by the lane during each send. */
    void beforeSend(byte[] bytes) {
        StallDuringSend stall = pendingStall;
        if (stall != null
                && bytes.length >= stall.messagePrefix.length
                && Arrays.equals(
                        bytes, 0, stall.messagePrefix.length, stall.messagePrefix, 0, stall.messagePrefix.length)) {
            pendingStall = null;
            stall(stall.duration);
        }
    }

    /** Blocks the calling thread for the whole duration, also if it is interrupted. */
    static void stall(Span duration) {
        long deadlineNanos = System.nanoTime() + duration.ns();
        boolean interrupted = false;
        while (System.nanoTime() < deadlineNanos) {
            try {
                TimeUnit.NANOSECONDS.sleep(deadlineNanos - System.nanoTime());
            } catch (InterruptedException e) {
                // A stalled thread ignores interrupts.
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
