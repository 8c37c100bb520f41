package martenslip.platform.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.platform.contact.CallerCancellation;
import martenslip.platform.contact.ContactSettings;
import martenslip.platform.contact.SetUpRequest;
import martenslip.sip.message.Request;

/**
 * Reads a set-up and finds out whether it is fit: figures are numbers and in their range, the skill exists, the id is
 * one. What is not is refused before anybody decides anything about it.
 */
final class SetUpParser {
    /** A set-up that can't be taken; the text is the reason phrase. */
    static final class InvalidSetUpException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidSetUpException(String why) {
            super(why, null, false, false);
        }
    }

    private static final int MOST_NUMBER = 65_535;
    private static final int MOST_WIDTH = 1024;
    private static final String NET = "@net";

    private final ContactSettings terms;

    SetUpParser(ContactSettings terms) {
        this.terms = terms;
    }

    SetUpRequest setUp(long line, Request invite, Moment heardAt, CallerCancellation caller)
            throws InvalidSetUpException {
        String tag = invite.callId();
        if (!hex(tag)) {
            throw new InvalidSetUpException("Call-ID is no id");
        }
        String key = key(invite.uri());
        Map<String, String> figures = figures(invite.headers().first("Routing-Data"));
        boolean transit = "1".equals(figures.get("transit"));
        boolean again = "1".equals(figures.get("again"));
        String at = figures.get("at");
        int skill = terms.skills().indexOf(String.valueOf(invite.headers().first("Call-Kind")));
        if (at != null) {
            // Of one that stands nothing else is needed.
            return new SetUpRequest(
                    line,
                    invite,
                    tag,
                    key,
                    Math.max(0, skill),
                    heardAt,
                    Span.ZERO,
                    0,
                    -1,
                    1,
                    transit,
                    again,
                    at,
                    "",
                    caller);
        }
        if (skill < 0) {
            throw new InvalidSetUpException("no such Call-Kind");
        }
        double within = number(
                invite.headers().first("Answer-Within"),
                "Answer-Within",
                1,
                2.0 * terms.maxPatience().ns() / 1e6);
        int destination = (int) number(figures.get("dest"), "dest", 0, MOST_NUMBER);
        int width = (int) number(figures.getOrDefault("width", "1"), "width", 1, MOST_WIDTH);
        int hint = (int) number(figures.getOrDefault("via", "-1"), "via", -1, MOST_NUMBER);
        String description = Utf8.text(invite.body());
        if (description == null) {
            throw new InvalidSetUpException("the description is no text");
        }
        return new SetUpRequest(
                line,
                invite,
                tag,
                key,
                skill,
                heardAt,
                Span.ofMillis(within),
                destination,
                hint,
                width,
                transit,
                again,
                null,
                description,
                caller);
    }

    /** 16 hex digits. */
    static boolean hex(String text) {
        if (text == null || text.length() != 16) {
            return false;
        }
        for (int i = 0; i < 16; i++) {
            char c = text.charAt(i);
            if (!(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F')) {
                return false;
            }
        }
        return true;
    }

    private static String key(String uri) throws InvalidSetUpException {
        String key = uri.startsWith("sip:") && uri.endsWith(NET) ? uri.substring(4, uri.length() - NET.length()) : "";
        if (!hex(key)) {
            throw new InvalidSetUpException("the number called is none");
        }
        return key;
    }

    private static Map<String, String> figures(String text) throws InvalidSetUpException {
        Map<String, String> figures = new HashMap<>();
        for (String one : text == null ? List.<String>of() : List.of(text.split(";"))) {
            int colon = one.indexOf(':');
            if (colon > 0) {
                String name = one.substring(0, colon).trim();
                if (figures.put(name, one.substring(colon + 1).trim()) != null) {
                    throw new InvalidSetUpException("Routing-Data has " + name + " twice");
                }
            } else if (!one.isBlank()) {
                throw new InvalidSetUpException("Routing-Data can't be read");
            }
        }
        return figures;
    }

    private static double number(String text, String what, double least, double most) throws InvalidSetUpException {
        double value;
        try {
            value = text == null || text.length() > 24 ? Double.NaN : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            value = Double.NaN;
        }
        // NaN is in no range.
        if (!(value >= least && value <= most)) {
            throw new InvalidSetUpException(what + " is no number in its range");
        }
        return value;
    }
}
