package martenslip.sip.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.HostPort;
import martenslip.sip.message.SipUri;

/** The place that a URI names (RFC 3263 without its look-ups: hosts are addresses, names are not asked for). */
public final class Hops {
    private static final int DEFAULT_PORT = 5060;

    private Hops() {}

    public static Hop of(SipUri uri) throws BadValue {
        String transport = uri.params().get("transport");
        if (uri.secure()) {
            throw new BadValue("sips is not served");
        }
        if (transport != null && !transport.equalsIgnoreCase("udp") && !transport.equalsIgnoreCase("tcp")) {
            throw new BadValue("transport " + transport + " is not served");
        }
        InetSocketAddress at = address(uri.at());
        return transport != null && transport.equalsIgnoreCase("tcp") ? Hop.tcp(at) : Hop.udp(at);
    }

    public static InetSocketAddress address(HostPort at) throws BadValue {
        String host = at.bare();
        boolean literal = host.indexOf(':') >= 0 || host.chars().allMatch(c -> c == '.' || c >= '0' && c <= '9');
        if (!literal) {
            throw new BadValue("host " + host + " is no address, and names are not looked up");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), at.port() < 0 ? DEFAULT_PORT : at.port());
        } catch (UnknownHostException e) {
            throw new BadValue("host " + host + " is no address");
        }
    }
}
