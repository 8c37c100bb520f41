package martenslip.tracking;

import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * When a contact that the module has not answered is answered without it. The module answers a timer round before the
 * patience ends, so this deadline is reached only if the module has stalled or an order was lost.
 */
public final class AnswerDeadline {
    /** Half a timer round of the module: later than its own deadline, with time for a busy loop iteration. */
    private static final Span MARGIN = Span.ofMillis(12);

    private AnswerDeadline() {}

    /** The deadline of a contact that was taken at this moment with this patience. */
    public static Moment forContact(Moment takenAt, Span patience) {
        return takenAt.plus(patience.minus(MARGIN).atLeast(Span.ZERO));
    }
}
