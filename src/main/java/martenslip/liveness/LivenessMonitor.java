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
    static final Span ASK_AFTER = Span.ofMillis(3000);

    static final Span ASK_AGAIN = Span.ofMillis(1000);
    /** Under the 8 s by what a look, a connection's limit and the release's way may take. */
    static final Span OVER_AFTER = Span.ofMillis(6300);
    /** One that has left the list is no longer asked; it has told all that it will. */
    static final Span LEFT_AFTER = Span.ofMillis(3000);

    private Moment heardAt;
    private Moment askedAt;
    private boolean inVain;
    private boolean setListed = true;
    private boolean over;

    public LivenessMonitor(Moment now) {
        heardAt = now;
    }

    /** It has said something, or taken a connection. */
    public void signalReceived(Moment now) {
        heardAt = now;
        askedAt = null;
        inVain = false;
        over = false;
    }

    /** A connection that was asked for has not come up. */
    public void connectFailed(Moment now) {
        inVain |= askedAt != null && !now.before(askedAt);
    }

    public void setListed(boolean still) {
        setListed = still;
    }

    /** Looks at it; where it says to ask, that counts as asked, and each silence is over but once. */
    public Action check(Moment now) {
        Span silence = now.since(heardAt);
        boolean dead = setListed ? inVain && !OVER_AFTER.longerThan(silence) : !LEFT_AFTER.longerThan(silence);
        if (dead && !over) {
            over = true;
            return Action.DECLARE_DEAD;
        }
        boolean due = askedAt == null ? !ASK_AFTER.longerThan(silence) : !ASK_AGAIN.longerThan(now.since(askedAt));
        if (setListed && !over && due) {
            askedAt = now;
            return Action.PROBE;
        }
        return Action.NONE;
    }
}
