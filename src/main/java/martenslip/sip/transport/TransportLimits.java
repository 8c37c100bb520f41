package martenslip.sip.transport;

import martenslip.control.Span;

/**
 * What sockets may take. At {@code connections} a new connection is closed at once; one is closed that brings
 * no whole message within {@code first} of its start or nothing for {@code idle}, that needs more than {@code whole} for one message from its first byte, or whose
 * peer leaves more than {@code unsent} bytes unread or reads none for {@code stuck}.
 */
public record TransportLimits(
        int maxConnections,
        Span firstMessageTimeout,
        Span idleTimeout,
        Span messageTimeout,
        int maxUnsentBytes,
        Span writeStallTimeout,
        Span connectTimeout) {
    /** Starting values: a neighbour exchange needs one or two connections; ten minutes spare a keep-alive. */
    public static final TransportLimits DEFAULTS = new TransportLimits(
            512, Span.ofMillis(600_000), Span.ofMillis(5_000), 1 << 20, Span.ofMillis(10_000), Span.ofMillis(500));

    /** The first message may take as long as any other. */
    public TransportLimits(int connections, Span idle, Span whole, int unsent, Span stuck, Span connect) {
        this(connections, idle, idle, whole, unsent, stuck, connect);
    }
}
