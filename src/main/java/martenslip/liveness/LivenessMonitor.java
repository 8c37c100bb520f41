package martenslip.liveness;

import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Decides from one switch's silence when to ask for a sign of life, and when what stands there is to be taken as over.
 * A machine that disappeared ends no connection and releases nothing: what stands on it ends unheard, and its callers
 * are owed a release within 8 s of that. A healthy switch may be as silent where nothing changes, so silence alone
 * proves nothing: a further connection is asked for, which a machine that lives takes at once and tells its state on.
 *
 * <p>Without I/O, threads or clock.
 */
public final class LivenessMonitor {
    /** What is to be done now. */
    public enum Action {
        NONE,
        PROBE,
        DECLARE_DEAD
    }

    /** Two missed seconds of an ordinary switch's states, and time left for a second question. */
    static final Span PROBE_AFTER = Span.ofMillis(3000);

    static final Span PROBE_INTERVAL = Span.ofMillis(1000);
    /** Under the 8 s by what a look, a connection's limit and the release's way may take. */
    static final Span DEAD_AFTER = Span.ofMillis(6300);
    /** One that has left the list is no longer asked; it has told all that it will. */
    static final Span UNLISTED_DEAD_AFTER = Span.ofMillis(3000);

    private Moment lastSignalAt;
    private Moment probedAt;
    private boolean probeFailed;
    private boolean setListed = true;
    private boolean declaredDead;

    public LivenessMonitor(Moment now) {
        lastSignalAt = now;
    }

    /** It has said something, or taken a connection. */
    public void signalReceived(Moment now) {
        lastSignalAt = now;
        probedAt = null;
        probeFailed = false;
        declaredDead = false;
    }

    /** A connection that was asked for has not come up. */
    public void connectFailed(Moment now) {
        probeFailed |= probedAt != null && !now.before(probedAt);
    }

    public void setListed(boolean listed) {
        setListed = listed;
    }

    /** Looks at it; where it says to ask, that counts as asked, and each silence is over but once. */
    public Action check(Moment now) {
        Span silence = now.since(lastSignalAt);
        boolean dead = setListed ? probeFailed && !DEAD_AFTER.longerThan(silence) : !UNLISTED_DEAD_AFTER.longerThan(silence);
        if (dead && !declaredDead) {
            declaredDead = true;
            return Action.DECLARE_DEAD;
        }
        boolean probeDue = probedAt == null ? !PROBE_AFTER.longerThan(silence) : !PROBE_INTERVAL.longerThan(now.since(probedAt));
        if (setListed && !declaredDead && probeDue) {
            probedAt = now;
            return Action.PROBE;
        }
        return Action.NONE;
    }
}
