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
    private static final Span MAX_CHECK_GAP = Span.ofMillis(60);
    /** A replacement has its inheritance to take over before it is judged. */
    private static final Span REPLACEMENT_GRACE = Span.ofMillis(500);
    /** Replacements in {@link #REPLACEMENT_WINDOW}; past them it is the machine that fails, and more threads don't help. */
    private static final int MAX_REPLACEMENTS = 8;

    private static final Span REPLACEMENT_WINDOW = Span.ofMillis(30_000);

    private final Moment[] loopTurned;
    private final Moment[] judgedFrom;
    private final List<Moment> replacedAt = new ArrayList<>();
    private Moment lastCheckAt;
    private long lateChecks;
    private long suppressedReplacements;

    /** All {@code places} have just begun at {@code now}. */
    public Watchdog(int threads, Moment now) {
        loopTurned = new Moment[threads];
        judgedFrom = new Moment[threads];
        for (int i = 0; i < threads; i++) {
            loopTurned[i] = now;
            judgedFrom[i] = now;
        }
        lastCheckAt = now;
    }

    /** When the place's thread began its last turn. */
    public void loopTurned(int thread, Moment at) {
        loopTurned[thread] = at;
    }

    /** The place whose thread is to be replaced now, or -1: at most one a look. */
    public int findStalled(Moment now) {
        if (now.since(lastCheckAt).longerThan(MAX_CHECK_GAP)) {
            lateChecks++;
            for (int i = 0; i < judgedFrom.length; i++) {
                judgedFrom[i] = judgedFrom[i].before(now) ? now : judgedFrom[i];
            }
        }
        lastCheckAt = now;
        int stalledThread = -1;
        for (int i = 0; i < loopTurned.length; i++) {
            if (stalledFor(i, now).longerThan(STALL_TIMEOUT)
                    && (stalledThread < 0 || stalledFor(i, now).longerThan(stalledFor(stalledThread, now)))) {
                stalledThread = i;
            }
        }
        if (stalledThread < 0) {
            return -1;
        }
        replacedAt.removeIf(replacement -> now.since(replacement).longerThan(REPLACEMENT_WINDOW));
        if (replacedAt.size() >= MAX_REPLACEMENTS) {
            suppressedReplacements++;
            return -1;
        }
        replacedAt.add(now);
        loopTurned[stalledThread] = now;
        judgedFrom[stalledThread] = now.plus(REPLACEMENT_GRACE);
        return stalledThread;
    }

    /** How long the place has not turned, as far as it may be held against it. */
    public Span stalledFor(int thread, Moment now) {
        Moment from = loopTurned[thread].before(judgedFrom[thread]) ? judgedFrom[thread] : loopTurned[thread];
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
