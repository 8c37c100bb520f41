package martenslip.sip.message;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * A SIP or SIPS URI (RFC 3261 19.1). {@code user} is the user part as written, with escapes and parameters, or null;
 * {@link #unescapedUser} decodes it. {@code headers} is the part after the question mark as written, or empty.
 */
public record SipUri(boolean secure, String user, HostPort hostPort, Parameters params, String headers) {
    /** Parses a SIP or SIPS URI. */
    public static SipUri parse(String text) throws InvalidValueException {
        int colon = text.indexOf(':');
        boolean secure = colon == 4 && text.regionMatches(true, 0, "sips", 0, 4);
        if (!secure && !(colon == 3 && text.regionMatches(true, 0, "sip", 0, 3))) {
            throw new InvalidValueException("not a SIP URI: " + text);
        }
        String rest = text.substring(colon + 1);
        int question = rest.indexOf('?', Math.max(0, rest.indexOf('@')));
        String headers = question < 0 ? "" : rest.substring(question + 1);
        rest = question < 0 ? rest : rest.substring(0, question);
        // The user part ends at the at sign and may contain semicolons (RFC 3261 25.1, user-unreserved).
        int atSign = rest.indexOf('@');
        String user = atSign < 0 ? null : rest.substring(0, atSign);
        if (user != null && (user.isEmpty() || user.indexOf(' ') >= 0)) {
            throw new InvalidValueException("a user part that is empty or has a space: " + text);
        }
        String hostPart = rest.substring(atSign + 1);
        int semicolon = hostPart.indexOf(';');
        HostPort hostPort = HostPort.parse(semicolon < 0 ? hostPart : hostPart.substring(0, semicolon));
        Parameters params = semicolon < 0 ? Parameters.NONE : Parameters.parse(hostPart.substring(semicolon));
        return new SipUri(secure, user, hostPort, params, headers);
    }

    /** A SIP URI without parameters; port -1 leaves the port out. */
    public static SipUri of(String user, String host, int port) {
        return new SipUri(false, user, new HostPort(host, port), Parameters.NONE, "");
    }

    /** A copy with a URI parameter set; a null value writes the name alone. */
    public SipUri with(String name, String value) {
        return new SipUri(secure, user, hostPort, params.with(name, value), headers);
    }

    /** The user without parameters (RFC 4904 puts trunk groups there) and password, with escapes decoded; or null. */
    public String unescapedUser() {
        if (user == null) {
            return null;
        }
        int parametersStart = user.indexOf(';');
        String name = parametersStart < 0 ? user : user.substring(0, parametersStart);
        int passwordSeparator = name.indexOf(':');
        return unescape(passwordSeparator < 0 ? name : name.substring(0, passwordSeparator));
    }

    /**
     * A parameter of the user part, such as {@code tgrp} and {@code trunk-context} (RFC 4904 4.3), unescaped; or null.
     */
    public String userParameter(String name) {
        int parametersStart = user == null ? -1 : user.indexOf(';');
        if (parametersStart < 0) {
            return null;
        }
        for (String part : HeaderScanner.split(user.substring(parametersStart + 1), ';')) {
            int equals = part.indexOf('=');
            if (equals > 0 && part.substring(0, equals).equalsIgnoreCase(name)) {
                return unescape(part.substring(equals + 1));
            }
        }
        return null;
    }

    static String unescape(String text) {
        if (text.indexOf('%') < 0) {
            return text;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int i = 0;
        while (i < text.length()) {
            int high = i + 2 < text.length() ? Character.digit(text.charAt(i + 1), 16) : -1;
            int low = i + 2 < text.length() ? Character.digit(text.charAt(i + 2), 16) : -1;
            if (text.charAt(i) == '%' && high >= 0 && low >= 0) {
                bytes.write(high << 4 | low);
                i += 2;
            } else {
                bytes.writeBytes(text.substring(i, i + 1).getBytes(StandardCharsets.UTF_8));
            }
            i++;
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return (secure ? "sips:" : "sip:")
                + (user == null ? "" : user + "@")
                + hostPort
                + params
                + (headers.isEmpty() ? "" : "?" + headers);
    }
}
