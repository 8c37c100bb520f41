package martenslip.liveness;

import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Decides when one of several connections to a peer is to be tested and when it is to be closed. A peer's process may
 * live while one connection to it carries nothing more from it; what the peer sends there, releases among it, is lost.
 * A connection is suspect where it misses what its siblings bring, or brings no reply that is expected on it. It is
 * closed where it leaves a test unanswered while a sibling shows that the peer is alive. The silence of all connections
 * is {@link LivenessMonitor}'s business.
 *
 * <p>Without I/O, threads or clock.
 */
public final class ConnectionMonitor {
    /** What the caller of {@link #check} is to do. */
    public enum Action {
        NONE,
        TEST,
        CLOSE
    }

    /** Messages on different connections overtake each other; a connection behind by less has missed nothing. */
    static final Span OVERTAKING_TOLERANCE = Span.ofMillis(500);

    static final Span TEST_AFTER = Span.ofMillis(1000);
    static final Span TEST_TIMEOUT = Span.ofMillis(1000);
    /** Bounds the tests of a sound connection on which the peer has nothing to say. */
    static final Span TEST_INTERVAL = Span.ofMillis(4000);

    private Moment replyExpectedAt;
    private Moment suspectSince;
    private Moment testedAt;
    private boolean testUnanswered;

    /** Something was sent on this connection that its peer replies to. */
    public void replyExpected(Moment now) {
        if (replyExpectedAt == null) {
            replyExpectedAt = now;
        }
    }

    /** Whether a test has been sent and nothing was received since, as of the last {@link #check}. */
    public boolean isTestUnanswered() {
        return testUnanswered;
    }

    /**
     * The action due now. A returned {@code TEST} counts as sent.
     *
     * @param lastSignal when this connection was established or last received something
     * @param siblingReport when another connection last received what the peer sends on all of them; null if never
     * @param siblingSignal when another connection was established or last received anything; null if there is none
     */
    public Action check(Moment now, Moment lastSignal, Moment siblingReport, Moment siblingSignal) {
        testUnanswered = testedAt != null && lastSignal.before(testedAt);
        updateSuspicion(lastSignal, siblingReport);
        if (testUnanswered) {
            boolean peerIsAlive = siblingSignal != null && testedAt.before(siblingSignal);
            return peerIsAlive && !TEST_TIMEOUT.longerThan(now.since(testedAt)) ? Action.CLOSE : Action.NONE;
        }
        boolean testIsDue = suspectSince != null
                && !TEST_AFTER.longerThan(now.since(suspectSince))
                && (testedAt == null || !TEST_INTERVAL.longerThan(now.since(testedAt)));
        if (!testIsDue) {
            return Action.NONE;
        }
        testedAt = now;
        testUnanswered = true;
        return Action.TEST;
    }

    private void updateSuspicion(Moment lastSignal, Moment siblingReport) {
        if (replyExpectedAt != null && !lastSignal.before(replyExpectedAt)) {
            replyExpectedAt = null;
        }
        if (suspectSince != null && !lastSignal.before(suspectSince)) {
            suspectSince = null;
        }
        if (suspectSince != null) {
            return;
        }
        boolean isBehind =
                siblingReport != null && siblingReport.since(lastSignal).longerThan(OVERTAKING_TOLERANCE);
        suspectSince = replyExpectedAt != null ? replyExpectedAt : isBehind ? siblingReport : null;
    }
}
