package martenslip.sip.transport;

import java.net.InetSocketAddress;

/**
 * Address that messages come from or go to. {@code connectionId} is the identifier of a TCP connection, or 0 if any
 * connection to the address will do.
 */
public record Hop(Protocol protocol, InetSocketAddress address, long connectionId) {
    /** Transport protocol. */
    public enum Protocol {
        UDP,
        TCP
    }

    /** A UDP address. */
    public static Hop udp(InetSocketAddress address) {
        return new Hop(Protocol.UDP, address, 0);
    }

    /** A TCP address that any connection may serve. */
    public static Hop tcp(InetSocketAddress address) {
        return new Hop(Protocol.TCP, address, 0);
    }

    /**
     * True if the transport delivers each message once or breaks, so nothing is retransmitted over it (RFC 3261 17).
     */
    public boolean isReliable() {
        return protocol == Protocol.TCP;
    }

    @Override
    public String toString() {
        String host = address.getAddress().getHostAddress();
        return protocol.name().toLowerCase(java.util.Locale.ROOT) + ":" + host + ":" + address.getPort();
    }
}
