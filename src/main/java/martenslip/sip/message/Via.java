package martenslip.sip.message;

import java.util.Locale;

/** One Via value (RFC 3261 20.42): transport in capitals, the place it was sent by, parameters. */
public record Via(String transport, HostPort sentBy, Parameters params) {
    /** Branches of RFC 3261 begin with this; others name no transaction of it (8.1.1.7). */
    public static final String MAGIC_COOKIE = "z9hG4bK";

    /** Reads one value; the usual form, without blanks around its slashes, costs no more than it must. */
    public static Via parse(String text) throws InvalidValueException {
        int blank = text.startsWith("SIP/2.0/") ? text.indexOf(' ', 8) : -1;
        if (blank > 8 && HeaderScanner.token(text.substring(8, blank))) {
            return rest(text.substring(8, blank), text.substring(blank + 1).trim());
        }
        return spaced(text);
    }

    private static Via spaced(String text) throws InvalidValueException {
        int space = -1;
        int slashes = 0;
        // Blanks may stand around each slash, so the transport ends at the first blank after the second one.
        for (int i = 0; i < text.length() && space < 0; i++) {
            char c = text.charAt(i);
            slashes += c == '/' ? 1 : 0;
            boolean inside = slashes == 2
                    && (c == ' ' || c == '\t')
                    && text.charAt(i - 1) != '/'
                    && !text.substring(text.lastIndexOf('/', i) + 1, i).isBlank();
            space = inside ? i : -1;
        }
        if (space < 0) {
            throw new InvalidValueException("no protocol and place: " + text);
        }
        String[] protocol = text.substring(0, space).split("/");
        if (protocol.length != 3
                || !protocol[0].trim().equalsIgnoreCase("SIP")
                || !protocol[1].trim().equals("2.0")
                || !HeaderScanner.token(protocol[2].trim())) {
            throw new InvalidValueException("not SIP/2.0 over a transport: " + text);
        }
        return rest(protocol[2].trim(), text.substring(space).trim());
    }

    private static Via rest(String transport, String rest) throws InvalidValueException {
        int semicolon = rest.indexOf(';');
        HostPort by = HostPort.parse((semicolon < 0 ? rest : rest.substring(0, semicolon)).trim());
        Parameters params = semicolon < 0 ? Parameters.NONE : Parameters.parse(rest.substring(semicolon));
        return new Via(transport.toUpperCase(Locale.ROOT), by, params);
    }

    /** The branch, or an empty text where there is none. */
    public String branch() {
        String branch = params.get("branch");
        return branch == null ? "" : branch;
    }

    public Via with(String name, String value) {
        return new Via(transport, sentBy, params.with(name, value));
    }

    @Override
    public String toString() {
        return "SIP/2.0/" + transport + " " + sentBy + params;
    }
}
