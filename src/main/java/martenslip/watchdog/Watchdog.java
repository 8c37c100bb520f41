package martenslip.watchdog;

import java.util.ArrayList;
import java.util.List;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Decides which threads of a process have stalled and are to be replaced. It knows only when each thread began its last
 * loop iteration and when it was itself called. Without I/O, threads or clock; owned by one thread.
 *
 * <p>A pause of the whole process (garbage collection, a machine short of CPU time) also delays the watchdog's check. A
 * check that comes late can't tell such a pause from a stall and therefore doesn't count the time before it. An
 * unneeded replacement loses nothing and costs little, so the timeout is short compared with the patience of contacts;
 * but hung threads remain, so the number of replacements is bounded.
 */
public final class Watchdog {
    /** An idle loop iterates every 50 ms; garbage collection paused a busy process for up to 60 ms. */
    public static final Span STALL_TIMEOUT = Span.ofMillis(150);
    /** Interval between checks; a stall is found at most this much later. */
    public static final Span CHECK_INTERVAL = Span.ofMillis(20);
    /** A check later than this shows that the process did not run, but not which thread stalled. */
    private static final Span MAX_CHECK_GAP = Span.ofMillis(60);
    /**
     * Time that a replacement gets before it is checked. It first takes over the state of its predecessor, without a
     * loop iteration, and would otherwise be replaced while it does so.
     */
    private static final Span REPLACEMENT_GRACE = Span.ofMillis(500);
    /**
     * Maximum number of replacements, of all threads together, within {@link #REPLACEMENT_WINDOW}. Beyond it the
     * machine itself fails and more threads don't help; each hung thread also remains.
     */
    private static final int MAX_REPLACEMENTS = 8;

    /** Period over which replacements are counted. */
    private static final Span REPLACEMENT_WINDOW = Span.ofMillis(30_000);

    private final Moment[] lastIterationAt;
    /** From when a thread is checked; later than its last iteration after a replacement or a late check. */
    private final Moment[] countedFrom;

    private final List<Moment> replacedAt = new ArrayList<>();
    private Moment lastCheckAt;
    private long lateChecks;
    private long suppressedReplacements;

    /** Starts with all {@code threads} having begun an iteration at {@code now}. */
    public Watchdog(int threads, Moment now) {
        lastIterationAt = new Moment[threads];
        countedFrom = new Moment[threads];
        for (int i = 0; i < threads; i++) {
            lastIterationAt[i] = now;
            countedFrom[i] = now;
        }
        lastCheckAt = now;
    }

    /** Records when a thread began its last loop iteration. */
    public void iterationStarted(int thread, Moment at) {
        lastIterationAt[thread] = at;
    }

    /** Index of the thread to replace now, or -1; at most one at each check. */
    public int findStalled(Moment now) {
        if (now.since(lastCheckAt).longerThan(MAX_CHECK_GAP)) {
            lateChecks++;
            for (int i = 0; i < countedFrom.length; i++) {
                countedFrom[i] = countedFrom[i].before(now) ? now : countedFrom[i];
            }
        }
        lastCheckAt = now;
        int stalledThread = -1;
        for (int i = 0; i < lastIterationAt.length; i++) {
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
        lastIterationAt[stalledThread] = now;
        countedFrom[stalledThread] = now.plus(REPLACEMENT_GRACE);
        return stalledThread;
    }

    /** How long the thread has not iterated, without the time that is not counted against it. */
    public Span stalledFor(int thread, Moment now) {
        Moment from =
                lastIterationAt[thread].before(countedFrom[thread]) ? countedFrom[thread] : lastIterationAt[thread];
        return now.since(from);
    }

    /** Number of checks that came too late to find a stall. */
    public long lateChecks() {
        return lateChecks;
    }

    /** Number of stalls whose replacement was suppressed because the limit was reached. */
    public long suppressedReplacements() {
        return suppressedReplacements;
    }
}
