package martenslip.sip.transaction;

import martenslip.control.Span;

/**
 * Values of RFC 3261 17 table 4, from T1; timers D, H, I, J, K, L and M follow from them. {@code trying} is how long
 * an INVITE may go without a response before 100 is sent: at most 200 ms (17.2.1).
 */
public record Timers(Span t1, Span t2, Span t4, Span trying) {
    public static final Timers RFC =
            new Timers(Span.ofMillis(500), Span.ofMillis(4000), Span.ofMillis(5000), Span.ZERO);
    /** For who answers most INVITEs within 200 ms, whose 100 would only cost. */
    public static final Timers QUICK = new Timers(RFC.t1, RFC.t2, RFC.t4, Span.ofMillis(200));

    /** Timers B, F, H, J, L and M: how long a transaction may last without what it waits for. */
    public Span whole() {
        return t1.times(64);
    }

    /** Timer D on a transport that may lose: how long answers that come again are met with an ACK. */
    public Span linger() {
        return t1.times(64);
    }

    public Span next(Span last) {
        return last.times(2).most(t2);
    }
}
