package martenslip.sip.message;

/**
 * Value of From, To, Contact, Route or Record-Route: an address with an optional display name (RFC 3261 20.10).
 * {@code display} keeps its quotes and is empty if absent; {@code params} are the parameters of the header, not of the
 * URI.
 */
public record NameAddr(String display, String uri, Parameters params) {
    /** Parses a value with or without angle brackets. */
    public static NameAddr parse(String text) throws InvalidValueException {
        int open = indexOfOpenAngle(text);
        if (open >= 0) {
            int close = text.indexOf('>', open);
            if (close < 0) {
                throw new InvalidValueException("an angle bracket is not closed: " + text);
            }
            return new NameAddr(
                    text.substring(0, open).trim(),
                    text.substring(open + 1, close).trim(),
                    Parameters.parse(text.substring(close + 1)));
        }
        // Without brackets all parameters belong to the header (RFC 3261 20.10).
        int semicolon = text.indexOf(';');
        String uri = (semicolon < 0 ? text : text.substring(0, semicolon)).trim();
        if (uri.indexOf(':') <= 0 || uri.indexOf(' ') >= 0 || uri.indexOf('"') >= 0) {
            throw new InvalidValueException("no address: " + text);
        }
        return new NameAddr("", uri, semicolon < 0 ? Parameters.NONE : Parameters.parse(text.substring(semicolon)));
    }

    /** Index of the opening angle bracket outside quoted strings, or -1. */
    private static int indexOfOpenAngle(String text) throws InvalidValueException {
        boolean quoted = false;
        int i = 0;
        while (i < text.length()) {
            char c = text.charAt(i);
            if (quoted && c == '\\') {
                i++;
            } else if (c == '"') {
                quoted = !quoted;
            } else if (c == '<' && !quoted) {
                return i;
            }
            i++;
        }
        if (quoted) {
            throw new InvalidValueException("a quoted string is not closed: " + text);
        }
        return -1;
    }

    /** An address without display name and header parameters. */
    public static NameAddr of(SipUri uri) {
        return new NameAddr("", uri.toString(), Parameters.NONE);
    }

    /** The tag, or an empty string if there is none. */
    public String tag() {
        String tag = params.get("tag");
        return tag == null ? "" : tag;
    }

    /** A copy with the tag set. */
    public NameAddr withTag(String tag) {
        return new NameAddr(display, uri, params.with("tag", tag));
    }

    @Override
    public String toString() {
        return (display.isEmpty() ? "" : display + " ") + "<" + uri + ">" + params;
    }
}
