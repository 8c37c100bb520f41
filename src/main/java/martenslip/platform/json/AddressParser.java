package martenslip.platform.json;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Addresses as the platform writes them: IPv4 and a port; names are never looked up. */
public final class AddressParser {
    private AddressParser() {}

    public static InetSocketAddress parse(Object value, String where) throws IOException {
        String text = value instanceof String given ? given : "";
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        boolean literal = !host.isEmpty() && host.chars().allMatch(c -> c == '.' || c >= '0' && c <= '9');
        try {
            int port = literal ? Integer.parseInt(text.substring(colon + 1)) : -1;
            if (port >= 0 && port <= 65_535) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (NumberFormatException e) {
            throw new IOException(where + ": " + value + " is no address with a port");
        }
        throw new IOException(where + ": " + value + " is no address with a port");
    }
}
