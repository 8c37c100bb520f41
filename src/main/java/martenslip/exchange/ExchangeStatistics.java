package martenslip.exchange;

import martenslip.control.Span;
import org.HdrHistogram.Histogram;

/** Counts and spans of one exchange since its start; one thread writes, and hands out copies. */
final class ExchangeStatistics {
    private static final long MOST_MICROS = 60_000_000;

    long taken;
    long stood;
    long deferred;
    long abandoned;
    long callerGone;
    long refusedUnseen;
    long rings;
    private final Histogram setUp = new Histogram(MOST_MICROS, 3);
    private final Histogram answer = new Histogram(MOST_MICROS, 3);

    /** From the INVITE to the final answer, of whatever kind. */
    void answered(Span took) {
        answer.recordValue(micros(took));
    }

    /** From the INVITE until the contact stood. */
    void stood(Span took) {
        stood++;
        setUp.recordValue(micros(took));
    }

    /** Adds the counts and spans of another. */
    void add(ExchangeStatistics other) {
        taken += other.taken;
        stood += other.stood;
        deferred += other.deferred;
        abandoned += other.abandoned;
        callerGone += other.callerGone;
        refusedUnseen += other.refusedUnseen;
        rings += other.rings;
        setUp.add(other.setUp);
        answer.add(other.answer);
    }

    private static long micros(Span span) {
        return Math.max(0, Math.min(MOST_MICROS, span.ns() / 1000));
    }

    /** Taken is what stood, was deferred, was abandoned, lost its caller, or is open. */
    String line(int open) {
        return "taken=" + taken + " stood=" + stood + " deferred=" + deferred + " abandoned=" + abandoned
                + " caller-gone=" + callerGone + " open=" + open + " refused-unseen=" + refusedUnseen + " rings="
                + rings + " setup-p50-us=" + setUp.getValueAtPercentile(50) + " setup-p99-us="
                + setUp.getValueAtPercentile(99) + " answer-p99-us=" + answer.getValueAtPercentile(99);
    }
}
