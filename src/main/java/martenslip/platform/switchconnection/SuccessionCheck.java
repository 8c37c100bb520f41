package martenslip.platform.switchconnection;

import java.util.NavigableSet;
import java.util.TreeSet;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Finds out which connections to an address reach the process that is there now, once the switch list has told that the
 * earlier process has gone. A connection that was up well before the present process started reaches the earlier one.
 * Any other is tested: what answers a test sent after that news is the present process. Connections established later than
 * one of the present process reach it as well, so one number parts the two.
 *
 * <p>Without I/O, threads or clock.
 */
final class SuccessionCheck {
    /** A process answers a test at once; a connection without a reply by then reaches no process. */
    static final Span REPLY_TIMEOUT = Span.ofMillis(1000);

    /** No connection reaches the present process. */
    static final long NONE = Long.MAX_VALUE;

    /** By how much the list may date a start too late. */
    private static final Span LATE_START_TOLERANCE = Span.ofMillis(1000);

    private final Moment startedAt;
    private final NavigableSet<Long> unanswered = new TreeSet<>();
    private long firstNumber = NONE;

    /** {@code startedAt} is when the present process started; null if it is not known. */
    SuccessionCheck(Moment startedAt) {
        this.startedAt = startedAt;
    }

    /** Whether a connection established at this moment may reach the present process, so that a test is worth while. */
    boolean mayReachPresentProcess(Moment establishedAt) {
        return startedAt == null || !establishedAt.plus(LATE_START_TOLERANCE).before(startedAt);
    }

    /** A test was sent on the connection with this number. */
    void tested(long number) {
        unanswered.add(number);
    }

    /** The connection has answered its test. */
    void replied(long number) {
        if (unanswered.remove(number)) {
            firstNumber = Math.min(firstNumber, number);
        }
    }

    /** The connection has ended. */
    void ended(long number) {
        unanswered.remove(number);
    }

    /** Whether no reply that is still missing could change the result. */
    boolean isComplete() {
        return unanswered.isEmpty() || firstNumber < unanswered.first();
    }

    /** The lowest number of a connection known to reach the present process, or {@link #NONE}. */
    long firstNumber() {
        return firstNumber;
    }
}
