package martenslip.exchange;

import martenslip.control.Span;
import org.HdrHistogram.Histogram;

/**
 * Counts and durations of one lane thread since its start. Only that thread writes; a sum over all lanes covers the
 * exchange.
 */
final class ExchangeStatistics {
    private static final long MAX_RECORDED_MICROS = 60_000_000;

    long accepted;
    long established;
    long deferred;
    long abandoned;
    long callerGone;
    long refusedBeforeOffer;
    long ringsSent;
    private final Histogram setupTimes = new Histogram(MAX_RECORDED_MICROS, 3);
    private final Histogram answerTimes = new Histogram(MAX_RECORDED_MICROS, 3);

    /** Records the time from the INVITE to the final answer of any kind. */
    void recordAnswer(Span answerTime) {
        answerTimes.recordValue(clampedMicros(answerTime));
    }

    /** Counts an established contact with the time since its INVITE. */
    void recordEstablished(Span setupTime) {
        established++;
        setupTimes.recordValue(clampedMicros(setupTime));
    }

    /** Adds the counts and durations of another instance. */
    void add(ExchangeStatistics other) {
        accepted += other.accepted;
        established += other.established;
        deferred += other.deferred;
        abandoned += other.abandoned;
        callerGone += other.callerGone;
        refusedBeforeOffer += other.refusedBeforeOffer;
        ringsSent += other.ringsSent;
        setupTimes.add(other.setupTimes);
        answerTimes.add(other.answerTimes);
    }

    private static long clampedMicros(Span span) {
        return Math.max(0, Math.min(MAX_RECORDED_MICROS, span.ns() / 1000));
    }

    /**
     * The counts as a log line. The accepted contacts ({@code taken}) are the sum of those established ({@code stood}),
     * deferred, abandoned, left by the caller and open.
     */
    String toLogLine(int unansweredCount) {
        return "taken=" + accepted + " stood=" + established + " deferred=" + deferred + " abandoned=" + abandoned
                + " caller-gone=" + callerGone + " open=" + unansweredCount + " refused-unseen=" + refusedBeforeOffer
                + " rings="
                + ringsSent + " setup-p50-us=" + setupTimes.getValueAtPercentile(50) + " setup-p99-us="
                + setupTimes.getValueAtPercentile(99) + " answer-p99-us=" + answerTimes.getValueAtPercentile(99);
    }
}
