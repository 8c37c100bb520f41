package martenslip.platform.contact;

import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * A set-up toward a switch as it waits to be written: not after {@code until}, which {@code left} is counted to at that
 * moment, and not once its caller has gone.
 */
public record SwitchStartRequest(
        String tag,
        String skill,
        String calledNumber,
        String description,
        Moment deadline,
        CallerCancellation cancellation) {
    public Span remaining(Moment now) {
        return deadline.since(now);
    }

    /** Whether there is still a reason to send it. */
    public boolean isDue(Moment now) {
        return !cancellation.isCancelled() && remaining(now).longerThan(Span.ZERO);
    }
}
