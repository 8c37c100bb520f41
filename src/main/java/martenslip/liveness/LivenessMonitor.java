package martenslip.liveness;

import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Decides, from how long a switch has been silent, when to probe it and when to take its contacts as ended. A machine
 * that disappeared closes no connection and releases nothing: its contacts end unnoticed, and their callers are owed a
 * release within 8 s of that. A healthy switch may be silent as long when nothing changes, so silence alone proves
 * nothing. The probe is a further connection: a live machine accepts it at once and reports its state on it.
 *
 * <p>Without I/O, threads or clock.
 */
public final class LivenessMonitor {
    /** What the caller of {@link #check} is to do. */
    public enum Action {
        NONE,
        PROBE,
        DECLARE_DEAD
    }

    /** Two missed one-second reports of an ordinary switch, with time left for a second probe. */
    static final Span PROBE_AFTER = Span.ofMillis(3000);

    /** Time between probes of a switch that stays silent. */
    static final Span PROBE_INTERVAL = Span.ofMillis(1000);
    /** Below the 8 s by the time that a check, the connect timeout and the transport of the release may take. */
    static final Span DEAD_AFTER = Span.ofMillis(6300);
    /**
     * For a switch that never gave a sign of life: it may have disappeared before this monitor was created, with
     * contacts that are over since.
     */
    static final Span NEVER_HEARD_DEAD_AFTER = Span.ofMillis(4000);
    /** A switch that has left the list is not probed; it reports nothing more. */
    static final Span UNLISTED_DEAD_AFTER = Span.ofMillis(3000);

    private Moment lastSignalAt;
    private Moment probedAt;
    private boolean heard;
    private boolean probeFailed;
    private boolean listed = true;
    private boolean declaredDead;

    /** The silence of the switch counts from here on. */
    public LivenessMonitor(Moment now) {
        lastSignalAt = now;
    }

    /** The switch has sent something or accepted a connection. */
    public void signalReceived(Moment now) {
        lastSignalAt = now;
        heard = true;
        probedAt = null;
        probeFailed = false;
        declaredDead = false;
    }

    /** A connection to the switch could not be established. */
    public void connectFailed(Moment now) {
        probeFailed |= probedAt != null && !now.before(probedAt);
    }

    /** Whether the switch is still in the switch list. */
    public void setListed(boolean listed) {
        this.listed = listed;
    }

    /**
     * Whether the switch has been declared dead and has given no sign of life since. A contact that a caller names there
     * meanwhile is over too.
     */
    public boolean isDeclaredDead() {
        return declaredDead;
    }

    /** The action due now. A returned {@code PROBE} counts as sent, and each silence is declared dead only once. */
    public Action check(Moment now) {
        Span silence = now.since(lastSignalAt);
        Span deadAfter = heard ? DEAD_AFTER : NEVER_HEARD_DEAD_AFTER;
        boolean dead =
                listed ? probeFailed && !deadAfter.longerThan(silence) : !UNLISTED_DEAD_AFTER.longerThan(silence);
        if (dead && !declaredDead) {
            declaredDead = true;
            return Action.DECLARE_DEAD;
        }
        boolean probeDue =
                probedAt == null ? !PROBE_AFTER.longerThan(silence) : !PROBE_INTERVAL.longerThan(now.since(probedAt));
        if (listed && !declaredDead && probeDue) {
            probedAt = now;
            return Action.PROBE;
        }
        return Action.NONE;
    }
}
