package martenslip.sip.message;

/**
 * A name with an address: From, To, Contact, Route, Record-Route (RFC 3261 20.10). {@code display} keeps its
 * quotes, and is empty where there is none; {@code params} are those of the header, not of the URI.
 */
public record NameAddr(String display, String uri, Parameters params) {
    public static NameAddr parse(String text) throws InvalidValueException {
        int open = openAngle(text);
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

    private static int openAngle(String text) throws InvalidValueException {
        boolean quoted = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (quoted && c == '\\') {
                i++;
            } else if (c == '"') {
                quoted = !quoted;
            } else if (c == '<' && !quoted) {
                return i;
            }
        }
        if (quoted) {
            throw new InvalidValueException("a quoted string is not closed: " + text);
        }
        return -1;
    }

    public static NameAddr of(SipUri uri) {
        return new NameAddr("", uri.toString(), Parameters.NONE);
    }

    /** The tag, or an empty text where there is none. */
    public String tag() {
        String tag = params.get("tag");
        return tag == null ? "" : tag;
    }

    public NameAddr withTag(String tag) {
        return new NameAddr(display, uri, params.with("tag", tag));
    }

    @Override
    public String toString() {
        return (display.isEmpty() ? "" : display + " ") + "<" + uri + ">" + params;
    }
}
