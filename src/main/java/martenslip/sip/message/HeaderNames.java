package martenslip.sip.message;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Names of header fields: compact forms (RFC 3261 7.3.3, 20) and the one spelling that is kept of each. */
public final class HeaderNames {
    /** Those that stand in nearly every message. */
    private static final String[] USUAL = {
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

    private static final Map<String, String> KNOWN = new HashMap<>();
    /** Fields whose values may stand in one line, parted by commas; each becomes a field of its own. */
    private static final Set<String> LISTS = Set.of(
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
    /** Fields of which a message has one at most (RFC 3261 7.3.1). */
    private static final Set<String> SINGLE = Set.of(
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
            KNOWN.put(name.toLowerCase(Locale.ROOT), name);
        }
        String[] compact = {
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
        for (int i = 0; i < compact.length; i += 2) {
            KNOWN.put(compact[i], compact[i + 1]);
        }
    }

    private HeaderNames() {}

    /** The long form in its usual spelling; a name that is not known stays as it was written. */
    public static String canonical(String written) {
        String same = KNOWN.get(written);
        if (same != null) {
            return same;
        }
        return KNOWN.getOrDefault(written.toLowerCase(Locale.ROOT), written);
    }

    /** The name that stands in these bytes in its usual spelling, or null. */
    static String usual(byte[] bytes, int from, int to) {
        for (String name : USUAL) {
            if (name.length() == to - from && name.charAt(0) == bytes[from] && same(name, bytes, from)) {
                return name;
            }
        }
        return null;
    }

    private static boolean same(String name, byte[] bytes, int from) {
        for (int i = 1; i < name.length(); i++) {
            if (name.charAt(i) != bytes[from + i]) {
                return false;
            }
        }
        return true;
    }

    static boolean list(String canonical) {
        return LISTS.contains(canonical);
    }

    static boolean single(String canonical) {
        return SINGLE.contains(canonical);
    }
}
