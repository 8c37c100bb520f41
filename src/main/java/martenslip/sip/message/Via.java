package martenslip.sip.message;

import java.util.Locale;

/** One Via value (RFC 3261 20.42): transport in capitals, sent-by address and parameters. */
public record Via(String transport, HostPort sentBy, Parameters params) {
    /** Prefix of branches that identify a transaction by RFC 3261 (8.1.1.7); other branches follow the older rules. */
    public static final String MAGIC_COOKIE = "z9hG4bK";

    /** Parses one value. The common form without whitespace around the slashes takes a fast path. */
    public static Via parse(String text) throws InvalidValueException {
        int transportEnd = text.startsWith("SIP/2.0/") ? text.indexOf(' ', 8) : -1;
        if (transportEnd > 8 && HeaderScanner.isToken(text.substring(8, transportEnd))) {
            return parseSentBy(
                    text.substring(8, transportEnd),
                    text.substring(transportEnd + 1).trim());
        }
        return parseWithSpaces(text);
    }

    /** Parses a value with optional whitespace around the slashes. */
    private static Via parseWithSpaces(String text) throws InvalidValueException {
        int transportEnd = -1;
        int slashes = 0;
        // Whitespace is allowed around each slash, so the transport ends at the first blank after its first character.
        for (int i = 0; i < text.length() && transportEnd < 0; i++) {
            char c = text.charAt(i);
            slashes += c == '/' ? 1 : 0;
            boolean endsTransport = slashes == 2
                    && (c == ' ' || c == '\t')
                    && text.charAt(i - 1) != '/'
                    && !text.substring(text.lastIndexOf('/', i) + 1, i).isBlank();
            transportEnd = endsTransport ? i : -1;
        }
        if (transportEnd < 0) {
            throw new InvalidValueException("no protocol and place: " + text);
        }
        String[] protocol = text.substring(0, transportEnd).split("/");
        if (protocol.length != 3
                || !protocol[0].trim().equalsIgnoreCase("SIP")
                || !protocol[1].trim().equals("2.0")
                || !HeaderScanner.isToken(protocol[2].trim())) {
            throw new InvalidValueException("not SIP/2.0 over a transport: " + text);
        }
        return parseSentBy(protocol[2].trim(), text.substring(transportEnd).trim());
    }

    private static Via parseSentBy(String transport, String sentByAndParams) throws InvalidValueException {
        int semicolon = sentByAndParams.indexOf(';');
        HostPort sentBy =
                HostPort.parse((semicolon < 0 ? sentByAndParams : sentByAndParams.substring(0, semicolon)).trim());
        Parameters params = semicolon < 0 ? Parameters.NONE : Parameters.parse(sentByAndParams.substring(semicolon));
        return new Via(transport.toUpperCase(Locale.ROOT), sentBy, params);
    }

    /** The branch, or an empty string if there is none. */
    public String branch() {
        String branch = params.get("branch");
        return branch == null ? "" : branch;
    }

    /** A copy with the parameter set. */
    public Via with(String name, String value) {
        return new Via(transport, sentBy, params.with(name, value));
    }

    @Override
    public String toString() {
        return "SIP/2.0/" + transport + " " + sentBy + params;
    }
}
