package martenslip.sip.transaction;

import martenslip.control.Span;

/**
 * Values of RFC 3261 17 table 4, from T1; timers D, H, I, J, K, L and M follow from them. {@code trying} is how long
 * an INVITE may go without a response before 100 is sent: at most 200 ms (17.2.1).
 */
public record TransactionTimers(Span t1, Span t2, Span t4, Span tryingDelay) {
    public static final TransactionTimers RFC_3261 =
            new TransactionTimers(Span.ofMillis(500), Span.ofMillis(4000), Span.ofMillis(5000), Span.ZERO);
    /** For who answers most INVITEs within 200 ms, whose 100 would only cost. */
    public static final TransactionTimers DELAYED_TRYING =
            new TransactionTimers(RFC_3261.t1, RFC_3261.t2, RFC_3261.t4, Span.ofMillis(200));

    /** Timers B, F, H, J, L and M: how long a transaction may last without what it waits for. */
    public Span transactionTimeout() {
        return t1.times(64);
    }

    /** Timer D on a transport that may lose: how long answers that come again are met with an ACK. */
    public Span timerD() {
        return t1.times(64);
    }

    public Span nextInterval(Span last) {
        return last.times(2).atMost(t2);
    }
}
