package martenslip.sip.transport;

import java.net.InetSocketAddress;

/**
 * A place that messages come from or go to. {@code connection} is the number of a TCP connection, 0 where any
 * connection to the address will do.
 */
public record Hop(Protocol protocol, InetSocketAddress address, long connectionId) {
    public enum Protocol {
        UDP,
        TCP
    }

    public static Hop udp(InetSocketAddress address) {
        return new Hop(Protocol.UDP, address, 0);
    }

    public static Hop tcp(InetSocketAddress address) {
        return new Hop(Protocol.TCP, address, 0);
    }

    /** A transport that carries each message whole once or breaks (RFC 3261 17: no repeats over it). */
    public boolean isReliable() {
        return protocol == Protocol.TCP;
    }

    @Override
    public String toString() {
        String host = address.getAddress().getHostAddress();
        return protocol.name().toLowerCase(java.util.Locale.ROOT) + ":" + host + ":" + address.getPort();
    }
}
