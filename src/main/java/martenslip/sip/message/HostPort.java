package martenslip.sip.message;

/** A host as written, an IPv6 address in brackets, and a port; -1 if no port was written. */
public record HostPort(String host, int port) {
    /** Parses {@code host}, {@code host:port} or {@code [IPv6]:port}. */
    public static HostPort parse(String text) throws InvalidValueException {
        int hostEnd = text.startsWith("[") ? text.indexOf(']') + 1 : text.indexOf(':');
        if (text.startsWith("[") && hostEnd == 0) {
            throw new InvalidValueException("an IPv6 address without its end: " + text);
        }
        String host = (hostEnd < 0 ? text : text.substring(0, hostEnd)).trim();
        String portPart = hostEnd < 0 ? "" : text.substring(hostEnd).trim();
        if (!isValidHost(host)) {
            throw new InvalidValueException("no host: " + text);
        }
        if (portPart.isEmpty()) {
            return new HostPort(host, -1);
        }
        int port = portPart.startsWith(":")
                ? (int) HeaderScanner.parseNumber(portPart.substring(1).trim(), 65535)
                : -1;
        if (port <= 0) {
            throw new InvalidValueException("no port: " + text);
        }
        return new HostPort(host, port);
    }

    private static boolean isValidHost(String host) {
        if (host.isEmpty()) {
            return false;
        }
        boolean ipv6 = host.startsWith("[");
        for (int i = ipv6 ? 1 : 0; i < host.length() - (ipv6 ? 1 : 0); i++) {
            char c = host.charAt(i);
            boolean nameCharacter = Character.isLetterOrDigit(c) && c < 128 || c == '.' || c == '-' || c == '_';
            if (!nameCharacter && !(ipv6 && c == ':')) {
                return false;
            }
        }
        return true;
    }

    /** The host without brackets, as the socket API expects it. */
    public String hostWithoutBrackets() {
        return host.startsWith("[") ? host.substring(1, host.length() - 1) : host;
    }

    @Override
    public String toString() {
        return port < 0 ? host : host + ":" + port;
    }
}
