package martenslip.sip.message;

/** A host as written, an IPv6 address in its brackets, and a port or -1. */
public record HostPort(String host, int port) {
    /** Reads {@code host}, {@code host:port} or {@code [v6]:port}. */
    public static HostPort parse(String text) throws InvalidValueException {
        int end = text.startsWith("[") ? text.indexOf(']') + 1 : text.indexOf(':');
        if (text.startsWith("[") && end == 0) {
            throw new InvalidValueException("an IPv6 address without its end: " + text);
        }
        String host = (end < 0 ? text : text.substring(0, end)).trim();
        String rest = end < 0 ? "" : text.substring(end).trim();
        if (!plausible(host)) {
            throw new InvalidValueException("no host: " + text);
        }
        if (rest.isEmpty()) {
            return new HostPort(host, -1);
        }
        int port = rest.startsWith(":")
                ? (int) HeaderScanner.number(rest.substring(1).trim(), 65535)
                : -1;
        if (port <= 0) {
            throw new InvalidValueException("no port: " + text);
        }
        return new HostPort(host, port);
    }

    private static boolean plausible(String host) {
        if (host.isEmpty()) {
            return false;
        }
        boolean six = host.startsWith("[");
        for (int i = six ? 1 : 0; i < host.length() - (six ? 1 : 0); i++) {
            char c = host.charAt(i);
            boolean name = Character.isLetterOrDigit(c) && c < 128 || c == '.' || c == '-' || c == '_';
            if (!name && !(six && c == ':')) {
                return false;
            }
        }
        return true;
    }

    /** The host without brackets, as the socket interfaces want it. */
    public String hostWithoutBrackets() {
        return host.startsWith("[") ? host.substring(1, host.length() - 1) : host;
    }

    @Override
    public String toString() {
        return port < 0 ? host : host + ":" + port;
    }
}
