package martenslip.platform.json;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Parses addresses as the platform writes them: an IPv4 address and a port. Host names are never resolved. */
public final class AddressParser {
    private AddressParser() {}

    /**
     * Parses {@code address:port}.
     *
     * @param path where the value was read, named in the error message
     * @throws IOException if the value is not an IPv4 address with a port
     */
    public static InetSocketAddress parse(Object value, String path) throws IOException {
        String text = value instanceof String string ? string : "";
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        boolean isIpv4Literal = !host.isEmpty() && host.chars().allMatch(c -> c == '.' || c >= '0' && c <= '9');
        try {
            int port = isIpv4Literal ? Integer.parseInt(text.substring(colon + 1)) : -1;
            if (port >= 0 && port <= 65_535) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (NumberFormatException e) {
            throw new IOException(path + ": " + value + " is no address with a port");
        }
        throw new IOException(path + ": " + value + " is no address with a port");
    }
}
