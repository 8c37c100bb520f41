package martenslip.sip.message;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * A SIP or SIPS URI (RFC 3261 19.1). The user part and the headers stay as written; {@link #unescapedUser}
 * takes the escapes out. {@code user} is null where there is none.
 */
public record SipUri(boolean secure, String user, HostPort hostPort, Parameters params, String headers) {
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
        // An at sign ends the user part even where semicolons stand in it (RFC 3261 25.1, user-unreserved).
        int sign = rest.indexOf('@');
        String user = sign < 0 ? null : rest.substring(0, sign);
        if (user != null && (user.isEmpty() || user.indexOf(' ') >= 0)) {
            throw new InvalidValueException("a user part that is empty or has a space: " + text);
        }
        String place = rest.substring(sign + 1);
        int semicolon = place.indexOf(';');
        HostPort at = HostPort.parse(semicolon < 0 ? place : place.substring(0, semicolon));
        Parameters params = semicolon < 0 ? Parameters.NONE : Parameters.parse(place.substring(semicolon));
        return new SipUri(secure, user, at, params, headers);
    }

    public static SipUri of(String user, String host, int port) {
        return new SipUri(false, user, new HostPort(host, port), Parameters.NONE, "");
    }

    public SipUri with(String param, String value) {
        return new SipUri(secure, user, hostPort, params.with(param, value), headers);
    }

    /** The user without its parameters (RFC 4904 puts trunk groups there) and with escapes taken out. */
    public String unescapedUser() {
        if (user == null) {
            return null;
        }
        int end = user.indexOf(';');
        String name = end < 0 ? user : user.substring(0, end);
        int password = name.indexOf(':');
        return unescape(password < 0 ? name : name.substring(0, password));
    }

    /** A parameter of the user part, as {@code tgrp} and {@code trunk-context} are (RFC 4904 4.3); or null. */
    public String userParameter(String name) {
        int from = user == null ? -1 : user.indexOf(';');
        if (from < 0) {
            return null;
        }
        for (String part : HeaderScanner.split(user.substring(from + 1), ';')) {
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
        for (int i = 0; i < text.length(); i++) {
            int high = i + 2 < text.length() ? Character.digit(text.charAt(i + 1), 16) : -1;
            int low = i + 2 < text.length() ? Character.digit(text.charAt(i + 2), 16) : -1;
            if (text.charAt(i) == '%' && high >= 0 && low >= 0) {
                bytes.write(high << 4 | low);
                i += 2;
            } else {
                bytes.writeBytes(text.substring(i, i + 1).getBytes(StandardCharsets.UTF_8));
            }
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
