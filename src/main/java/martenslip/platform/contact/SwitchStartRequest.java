package martenslip.platform.contact;

import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * A START that waits to be written to a switch. It is due until its deadline and only while its caller waits; the time
 * that remains is taken when it is written.
 */
public record SwitchStartRequest(
        String tag,
        String skill,
        String calledNumber,
        String description,
        Moment deadline,
        CallerCancellation cancellation) {
    /** The time from {@code now} to the deadline; zero or less where that has passed. */
    public Span remaining(Moment now) {
        return deadline.since(now);
    }

    /** Whether it should still be sent. */
    public boolean isDue(Moment now) {
        return !cancellation.isCancelled() && remaining(now).longerThan(Span.ZERO);
    }
}
