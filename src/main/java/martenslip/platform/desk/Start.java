package martenslip.platform.desk;

import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * A set-up toward a switch as it waits to be written: not after {@code until}, which {@code left} is counted to at that
 * moment, and not once its caller has gone.
 */
public record Start(String tag, String skill, String key, String description, Moment until, Withdrawal caller) {
    public Span left(Moment now) {
        return until.since(now);
    }

    /** Whether there is still a reason to send it. */
    public boolean due(Moment now) {
        return !caller.made() && left(now).longerThan(Span.ZERO);
    }
}
