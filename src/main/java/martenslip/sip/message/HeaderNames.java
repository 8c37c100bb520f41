package martenslip.sip.message;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Header field names: compact forms (RFC 3261 7.3.3, 20) and the canonical spelling under which a field is stored. */
public final class HeaderNames {
    /** Names that occur in nearly every message. */
    private static final String[] FREQUENT_NAMES = {
        "Via",
        "From",
        "To",
        "Call-ID",
        "CSeq",
        "Contact",
        "Max-Forwards",
        "Content-Length",
        "Content-Type",
        "Record-Route",
        "Route",
        "Expires",
        "Reason",
        "Session-ID",
        "Resource-Priority",
        "Event",
        "Subscription-State",
        "Call-Kind",
        "Answer-Within",
        "Routing-Data"
    };

    /** Canonical names by lower-case long form and by compact form. */
    private static final Map<String, String> CANONICAL_NAMES = new HashMap<>();
    /** Fields whose values may share one line, separated by commas; each value is stored as a field of its own. */
    private static final Set<String> COMMA_SEPARATED = Set.of(
            "Via",
            "Route",
            "Record-Route",
            "Contact",
            "Require",
            "Proxy-Require",
            "Supported",
            "Unsupported",
            "Allow",
            "Reason",
            "Resource-Priority");
    /** Fields that a message has at most once (RFC 3261 7.3.1). */
    private static final Set<String> SINGLE_VALUED = Set.of(
            "From",
            "To",
            "Call-ID",
            "CSeq",
            "Max-Forwards",
            "Content-Length",
            "Content-Type",
            "Expires",
            "Event",
            "Subscription-State",
            "Call-Kind",
            "Answer-Within",
            "Routing-Data");

    static {
        for (String name : new String[] {
            "Via",
            "From",
            "To",
            "Call-ID",
            "CSeq",
            "Contact",
            "Max-Forwards",
            "Route",
            "Record-Route",
            "Require",
            "Proxy-Require",
            "Supported",
            "Unsupported",
            "Expires",
            "Retry-After",
            "Reason",
            "Resource-Priority",
            "Content-Length",
            "Content-Type",
            "Allow",
            "Event",
            "Subscription-State",
            "Session-ID",
            "User-Agent",
            "Subject",
            "Content-Encoding",
            "Allow-Events",
            "Refer-To",
            "Referred-By",
            "Session-Expires",
            "Min-Expires",
            "Accept",
            "Call-Kind",
            "Answer-Within",
            "Routing-Data",
            "Come-Back-Ms"
        }) {
            CANONICAL_NAMES.put(name.toLowerCase(Locale.ROOT), name);
        }
        // Pairs of compact and long form.
        String[] compactForms = {
            "i",
            "Call-ID",
            "m",
            "Contact",
            "e",
            "Content-Encoding",
            "l",
            "Content-Length",
            "c",
            "Content-Type",
            "f",
            "From",
            "s",
            "Subject",
            "k",
            "Supported",
            "t",
            "To",
            "v",
            "Via",
            "o",
            "Event",
            "u",
            "Allow-Events",
            "r",
            "Refer-To",
            "b",
            "Referred-By",
            "x",
            "Session-Expires"
        };
        for (int i = 0; i < compactForms.length; i += 2) {
            CANONICAL_NAMES.put(compactForms[i], compactForms[i + 1]);
        }
    }

    private HeaderNames() {}

    /** The long form in its canonical spelling; an unknown name is returned as written. */
    public static String canonical(String written) {
        String exact = CANONICAL_NAMES.get(written);
        if (exact != null) {
            return exact;
        }
        return CANONICAL_NAMES.getOrDefault(written.toLowerCase(Locale.ROOT), written);
    }

    /** The frequent name that these bytes spell exactly, or null; avoids creating a string. */
    static String frequentName(byte[] bytes, int start, int end) {
        for (String name : FREQUENT_NAMES) {
            if (name.length() == end - start && name.charAt(0) == bytes[start] && matches(name, bytes, start)) {
                return name;
            }
        }
        return null;
    }

    private static boolean matches(String name, byte[] bytes, int start) {
        for (int i = 1; i < name.length(); i++) {
            if (name.charAt(i) != bytes[start + i]) {
                return false;
            }
        }
        return true;
    }

    static boolean isCommaSeparated(String canonical) {
        return COMMA_SEPARATED.contains(canonical);
    }

    static boolean isSingleValued(String canonical) {
        return SINGLE_VALUED.contains(canonical);
    }
}
