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
 * Parses and validates an INVITE: numbers are in their range, the skill exists, the ids are well formed. Invalid
 * set-ups are refused before any routing decision.
 */
final class SetUpParser {
    /** An invalid set-up; the message is the SIP reason phrase of the refusal. */
    static final class InvalidSetUpException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidSetUpException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** Hex digits of an id. */
    private static final int ID_LENGTH = 16;

    /** Longest text that is parsed as a number. */
    private static final int MAX_NUMBER_LENGTH = 24;

    private static final int MAX_EXCHANGE_NUMBER = 65_535;
    private static final int MAX_WIDTH = 1024;
    private static final String URI_SUFFIX = "@net";

    private final ContactSettings settings;

    SetUpParser(ContactSettings settings) {
        this.settings = settings;
    }

    /**
     * Parses an INVITE. If {@code Routing-Data} names the switch where the contact is already established
     * ({@code at}), the other fields are not needed and get default values.
     */
    SetUpRequest parse(long connectionId, Request invite, Moment receivedAt, CallerCancellation cancellation)
            throws InvalidSetUpException {
        String tag = invite.callId();
        if (!isHexId(tag)) {
            throw new InvalidSetUpException("Call-ID is no id");
        }
        String calledNumber = parseCalledNumber(invite.uri());
        Map<String, String> routingData = parseRoutingData(invite.headers().first("Routing-Data"));
        boolean transit = "1".equals(routingData.get("transit"));
        boolean redial = "1".equals(routingData.get("again"));
        String establishedSwitch = routingData.get("at");
        int skill = settings.skills().indexOf(String.valueOf(invite.headers().first("Call-Kind")));
        if (establishedSwitch != null) {
            return new SetUpRequest(
                    connectionId,
                    invite,
                    tag,
                    calledNumber,
                    Math.max(0, skill),
                    receivedAt,
                    Span.ZERO,
                    0,
                    -1,
                    1,
                    transit,
                    redial,
                    establishedSwitch,
                    "",
                    cancellation);
        }
        if (skill < 0) {
            throw new InvalidSetUpException("no such Call-Kind");
        }
        double patienceMs = parseNumber(
                invite.headers().first("Answer-Within"),
                "Answer-Within",
                1,
                // Twice the longest patience of any skill, in milliseconds.
                2.0 * settings.maxPatience().ns() / 1e6);
        int destination = (int) parseNumber(routingData.get("dest"), "dest", 0, MAX_EXCHANGE_NUMBER);
        int width = (int) parseNumber(routingData.getOrDefault("width", "1"), "width", 1, MAX_WIDTH);
        int hint = (int) parseNumber(routingData.getOrDefault("via", "-1"), "via", -1, MAX_EXCHANGE_NUMBER);
        String description = Utf8.decode(invite.body());
        if (description == null) {
            throw new InvalidSetUpException("the description is no text");
        }
        return new SetUpRequest(
                connectionId,
                invite,
                tag,
                calledNumber,
                skill,
                receivedAt,
                Span.ofMillis(patienceMs),
                destination,
                hint,
                width,
                transit,
                redial,
                null,
                description,
                cancellation);
    }

    /** Whether the text is an id: 16 hex digits. */
    static boolean isHexId(String text) {
        if (text == null || text.length() != ID_LENGTH) {
            return false;
        }
        for (int i = 0; i < ID_LENGTH; i++) {
            char c = text.charAt(i);
            if (!(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F')) {
                return false;
            }
        }
        return true;
    }

    private static String parseCalledNumber(String uri) throws InvalidSetUpException {
        String calledNumber = uri.startsWith("sip:") && uri.endsWith(URI_SUFFIX)
                ? uri.substring(4, uri.length() - URI_SUFFIX.length())
                : "";
        if (!isHexId(calledNumber)) {
            throw new InvalidSetUpException("the number called is none");
        }
        return calledNumber;
    }

    private static Map<String, String> parseRoutingData(String text) throws InvalidSetUpException {
        Map<String, String> values = new HashMap<>();
        for (String entry : text == null ? List.<String>of() : List.of(text.split(";"))) {
            int colon = entry.indexOf(':');
            if (colon > 0) {
                String name = entry.substring(0, colon).trim();
                if (values.put(name, entry.substring(colon + 1).trim()) != null) {
                    throw new InvalidSetUpException("Routing-Data has " + name + " twice");
                }
            } else if (!entry.isBlank()) {
                throw new InvalidSetUpException("Routing-Data can't be read");
            }
        }
        return values;
    }

    private static double parseNumber(String text, String name, double min, double max) throws InvalidSetUpException {
        double value;
        try {
            value = text == null || text.length() > MAX_NUMBER_LENGTH ? Double.NaN : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            value = Double.NaN;
        }
        // Written so that NaN, which is outside every range, is refused.
        if (!(value >= min && value <= max)) {
            throw new InvalidSetUpException(name + " is no number in its range");
        }
        return value;
    }
}
