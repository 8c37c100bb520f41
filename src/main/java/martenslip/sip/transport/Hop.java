package martenslip.sip.transport;

import java.net.InetSocketAddress;

/**
 * A place that messages come from or go to. {@code connection} is the number of a TCP connection, 0 where any
 * connection to the address will do.
 */
public record Hop(Kind kind, InetSocketAddress address, long connection) {
    public enum Kind {
        UDP,
        TCP
    }

    public static Hop udp(InetSocketAddress address) {
        return new Hop(Kind.UDP, address, 0);
    }

    public static Hop tcp(InetSocketAddress address) {
        return new Hop(Kind.TCP, address, 0);
    }

    /** A transport that carries each message whole once or breaks (RFC 3261 17: no repeats over it). */
    public boolean reliable() {
        return kind == Kind.TCP;
    }

    @Override
    public String toString() {
        String host = address.getAddress().getHostAddress();
        return kind.name().toLowerCase(java.util.Locale.ROOT) + ":" + host + ":" + address.getPort();
    }
}
