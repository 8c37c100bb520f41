package martenslip.sip.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import martenslip.sip.message.HostPort;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.SipUri;

/** The place that a URI names (RFC 3263 without its look-ups: hosts are addresses, names are not asked for). */
public final class HopResolver {
    private static final int DEFAULT_PORT = 5060;

    private HopResolver() {}

    public static Hop resolve(SipUri uri) throws InvalidValueException {
        String transport = uri.params().get("transport");
        if (uri.secure()) {
            throw new InvalidValueException("sips is not served");
        }
        if (transport != null && !transport.equalsIgnoreCase("udp") && !transport.equalsIgnoreCase("tcp")) {
            throw new InvalidValueException("transport " + transport + " is not served");
        }
        InetSocketAddress at = parseAddress(uri.hostPort());
        return transport != null && transport.equalsIgnoreCase("tcp") ? Hop.tcp(at) : Hop.udp(at);
    }

    public static InetSocketAddress parseAddress(HostPort at) throws InvalidValueException {
        String host = at.hostWithoutBrackets();
        boolean literal = host.indexOf(':') >= 0 || host.chars().allMatch(c -> c == '.' || c >= '0' && c <= '9');
        if (!literal) {
            throw new InvalidValueException("host " + host + " is no address, and names are not looked up");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), at.port() < 0 ? DEFAULT_PORT : at.port());
        } catch (UnknownHostException e) {
            throw new InvalidValueException("host " + host + " is no address");
        }
    }
}
