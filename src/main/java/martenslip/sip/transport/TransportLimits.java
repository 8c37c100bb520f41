package martenslip.sip.transport;

import martenslip.control.Span;

/**
 * Limits of the sockets. At {@code maxConnections} a new connection is closed at once. A connection is closed if it
 * delivers no whole message within {@code firstMessageTimeout} of its start, delivers nothing for {@code idleTimeout},
 * needs longer than {@code messageTimeout} for one message from its first byte, or if its peer leaves more than
 * {@code maxUnsentBytes} unread or reads nothing for {@code writeStallTimeout}. {@code connectTimeout} bounds the
 * establishment of an outgoing connection. {@code unsentBudget} bounds the unsent bytes of all connections that share it,
 * {@code readBudget} what they have read and not handed on.
 */
public record TransportLimits(
        int maxConnections,
        Span firstMessageTimeout,
        Span idleTimeout,
        Span messageTimeout,
        int maxUnsentBytes,
        Span writeStallTimeout,
        Span connectTimeout,
        UnsentBudget unsentBudget,
        ReadBudget readBudget) {
    /**
     * A neighbour exchange needs one or two connections; an idle timeout of ten minutes makes keep-alives unnecessary.
     */
    public static final TransportLimits DEFAULTS = new TransportLimits(
            512, Span.ofMillis(600_000), Span.ofMillis(5_000), 1 << 20, Span.ofMillis(10_000), Span.ofMillis(500));

    /** Limits under which the first message may take as long as any other. */
    public TransportLimits(
            int maxConnections,
            Span idleTimeout,
            Span messageTimeout,
            int maxUnsentBytes,
            Span writeStallTimeout,
            Span connectTimeout) {
        this(
                maxConnections,
                idleTimeout,
                idleTimeout,
                messageTimeout,
                maxUnsentBytes,
                writeStallTimeout,
                connectTimeout);
    }

    /** Limits of each connection alone. */
    public TransportLimits(
            int maxConnections,
            Span firstMessageTimeout,
            Span idleTimeout,
            Span messageTimeout,
            int maxUnsentBytes,
            Span writeStallTimeout,
            Span connectTimeout) {
        this(
                maxConnections,
                firstMessageTimeout,
                idleTimeout,
                messageTimeout,
                maxUnsentBytes,
                writeStallTimeout,
                connectTimeout,
                UnsentBudget.UNLIMITED,
                ReadBudget.UNLIMITED);
    }
}
