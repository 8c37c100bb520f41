package martenslip.sip.message;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Scanning of header values past quoted strings and angle brackets (RFC 3261 25.1). */
final class HeaderScanner {
    private HeaderScanner() {}

    /** The first place of {@code wanted} that is neither in a quoted string nor between angle brackets, or -1. */
    static int outside(String text, char wanted, int from) {
        boolean quoted = false;
        boolean angle = false;
        for (int i = from; i < text.length(); i++) {
            char c = text.charAt(i);
            if (quoted) {
                if (c == '\\') {
                    i++;
                } else if (c == '"') {
                    quoted = false;
                }
            } else if (c == wanted && !angle) {
                return i;
            } else if (c == '"') {
                quoted = true;
            } else if (c == '<') {
                angle = true;
            } else if (c == '>') {
                angle = false;
            }
        }
        return -1;
    }

    /** Parts between separators, trimmed; an empty part is kept, as it is for the caller to refuse. */
    static List<String> split(String text, char separator) {
        // Most values have none at all, and then quotes and brackets don't matter.
        int at = text.indexOf(separator) < 0 ? -1 : outside(text, separator, 0);
        if (at < 0) {
            return List.of(text.trim());
        }
        List<String> parts = new ArrayList<>();
        int from = 0;
        for (; at >= 0; at = outside(text, separator, from)) {
            parts.add(text.substring(from, at).trim());
            from = at + 1;
        }
        parts.add(text.substring(from).trim());
        return parts;
    }

    static boolean token(String text) {
        if (text.isEmpty()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean word = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
            if (!word && "-.!%*_+`'~".indexOf(c) < 0) {
                return false;
            }
        }
        return true;
    }

    /** A number without sign; -1 where it is none or over the limit. */
    static long number(String text, long limit) {
        if (text.isEmpty() || text.length() > 18) {
            return -1;
        }
        long value = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            value = value * 10 + digit;
        }
        return value > limit ? -1 : value;
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
