package martenslip.sip.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import martenslip.sip.message.HostPort;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.SipUri;

/** Resolves a URI to an address (RFC 3263 without DNS: hosts must be IP addresses). */
public final class HopResolver {
    private static final int DEFAULT_PORT = 5060;

    private HopResolver() {}

    /** The address that requests to the URI go to; UDP unless the URI names a transport. */
    public static Hop resolve(SipUri uri) throws InvalidValueException {
        String transport = uri.params().get("transport");
        if (uri.secure()) {
            throw new InvalidValueException("sips is not served");
        }
        if (transport != null && !transport.equalsIgnoreCase("udp") && !transport.equalsIgnoreCase("tcp")) {
            throw new InvalidValueException("transport " + transport + " is not served");
        }
        InetSocketAddress address = parseAddress(uri.hostPort());
        return transport != null && transport.equalsIgnoreCase("tcp") ? Hop.tcp(address) : Hop.udp(address);
    }

    /** The socket address of a literal host; the port defaults to 5060. */
    public static InetSocketAddress parseAddress(HostPort hostPort) throws InvalidValueException {
        String host = hostPort.hostWithoutBrackets();
        boolean literal = host.indexOf(':') >= 0 || host.chars().allMatch(c -> c == '.' || c >= '0' && c <= '9');
        if (!literal) {
            throw new InvalidValueException("host " + host + " is no address, and names are not looked up");
        }
        try {
            return new InetSocketAddress(
                    InetAddress.getByName(host), hostPort.port() < 0 ? DEFAULT_PORT : hostPort.port());
        } catch (UnknownHostException e) {
            throw new InvalidValueException("host " + host + " is no address");
        }
    }
}
