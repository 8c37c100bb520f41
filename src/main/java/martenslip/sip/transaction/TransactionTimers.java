package martenslip.sip.transaction;

import martenslip.control.Span;

/**
 * Timer values of RFC 3261 17 table 4; timers D, H, I, J, K, L and M follow from T1 and T4. {@code tryingDelay} is how
 * long an INVITE may go without a response before 100 is sent, at most 200 ms (17.2.1).
 */
public record TransactionTimers(Span t1, Span t2, Span t4, Span tryingDelay) {
    /** Default values; 100 is sent at once. */
    public static final TransactionTimers RFC_3261 =
            new TransactionTimers(Span.ofMillis(500), Span.ofMillis(4000), Span.ofMillis(5000), Span.ZERO);
    /** For a UAS that answers most INVITEs within 200 ms, for which a 100 would be wasted. */
    public static final TransactionTimers DELAYED_TRYING =
            new TransactionTimers(RFC_3261.t1, RFC_3261.t2, RFC_3261.t4, Span.ofMillis(200));

    /** Timers B, F, H, J, L and M: 64 T1. */
    public Span transactionTimeout() {
        return t1.times(64);
    }

    /** Timer D on an unreliable transport: how long retransmitted final responses are answered with an ACK. */
    public Span timerD() {
        return t1.times(64);
    }

    /** The next retransmission interval: twice the previous one, at most T2. */
    public Span nextInterval(Span previous) {
        return previous.times(2).atMost(t2);
    }
}
