package martenslip.watchdog;

import java.util.ArrayList;
import java.util.List;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Decides which of a process's threads have stalled and are to be replaced. It knows only when each began its last
 * turn and when it looks itself. Without I/O, threads or clock; one thread owns it.
 *
 * <p>A pause of the whole process (a collector, a starved machine) stops the look-out too: it then sees its own look
 * come late and forgives what it can't tell apart. A replacement costs little where it was not needed, as nothing is
 * lost by it, so the span is short against the patience of contacts; but the threads that hang stay, so their number
 * is bounded.
 */
public final class Watchdog {
    /** An idle loop turns each 50 ms; collectors were seen to pause a busy process by up to 60. */
    public static final Span STALL_TIMEOUT = Span.ofMillis(150);
    /** How often to look: a stall is met at most this much later. */
    public static final Span CHECK_INTERVAL = Span.ofMillis(20);
    /** A look this late says that the process did not run, and not which thread did not. */
    private static final Span BLIND = Span.ofMillis(60);
    /** A replacement has its inheritance to take over before it is judged. */
    private static final Span GRACE = Span.ofMillis(500);
    /** Replacements in {@link #WITHIN}; past them it is the machine that fails, and more threads don't help. */
    private static final int MOST = 8;

    private static final Span WITHIN = Span.ofMillis(30_000);

    private final Moment[] loopTurned;
    private final Moment[] judgedFrom;
    private final List<Moment> replaced = new ArrayList<>();
    private Moment lastLook;
    private long lateChecks;
    private long suppressedReplacements;

    /** All {@code places} have just begun at {@code now}. */
    public Watchdog(int places, Moment now) {
        loopTurned = new Moment[places];
        judgedFrom = new Moment[places];
        for (int i = 0; i < places; i++) {
            loopTurned[i] = now;
            judgedFrom[i] = now;
        }
        lastLook = now;
    }

    /** When the place's thread began its last turn. */
    public void loopTurned(int place, Moment at) {
        loopTurned[place] = at;
    }

    /** The place whose thread is to be replaced now, or -1: at most one a look. */
    public int findStalled(Moment now) {
        if (now.since(lastLook).longerThan(BLIND)) {
            lateChecks++;
            for (int i = 0; i < judgedFrom.length; i++) {
                judgedFrom[i] = judgedFrom[i].before(now) ? now : judgedFrom[i];
            }
        }
        lastLook = now;
        int worst = -1;
        for (int i = 0; i < loopTurned.length; i++) {
            if (stalledFor(i, now).longerThan(STALL_TIMEOUT)
                    && (worst < 0 || stalledFor(i, now).longerThan(stalledFor(worst, now)))) {
                worst = i;
            }
        }
        if (worst < 0) {
            return -1;
        }
        replaced.removeIf(at -> now.since(at).longerThan(WITHIN));
        if (replaced.size() >= MOST) {
            suppressedReplacements++;
            return -1;
        }
        replaced.add(now);
        loopTurned[worst] = now;
        judgedFrom[worst] = now.plus(GRACE);
        return worst;
    }

    /** How long the place has not turned, as far as it may be held against it. */
    public Span stalledFor(int place, Moment now) {
        Moment from = loopTurned[place].before(judgedFrom[place]) ? judgedFrom[place] : loopTurned[place];
        return now.since(from);
    }

    /** Looks that came too late to judge by. */
    public long lateChecks() {
        return lateChecks;
    }

    /** Stalls that were seen and left, as too many had been met before. */
    public long suppressedReplacements() {
        return suppressedReplacements;
    }
}
