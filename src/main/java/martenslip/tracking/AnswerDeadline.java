package martenslip.tracking;

import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * When a contact that the module has not answered is answered without it. The module answers a round before the end
 * of the patience; only one that has stalled, or an order that was lost, lets it come to this.
 */
public final class AnswerDeadline {
    /** Half a round of the module: after its own last moment, and with room for a turn that is busy. */
    private static final Span MARGIN = Span.ofMillis(12);

    private AnswerDeadline() {}

    public static Moment forContact(Moment takenAt, Span patience) {
        return takenAt.plus(patience.minus(MARGIN).atLeast(Span.ZERO));
    }
}
