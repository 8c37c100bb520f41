package martenslip.sip.message;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Scanning of header values past quoted strings and angle brackets (RFC 3261 25.1). */
final class HeaderScanner {
    /** Numbers of so many digits always fit into a long. */
    private static final int MAX_LONG_DIGITS = 18;

    private HeaderScanner() {}

    /** Index of the first {@code wanted} that is neither in a quoted string nor between angle brackets, or -1. */
    static int indexOutsideQuotes(String text, char wanted, int start) {
        boolean quoted = false;
        boolean angle = false;
        int i = start;
        while (i < text.length()) {
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
            i++;
        }
        return -1;
    }

    /**
     * Splits at separators outside quotes and brackets and trims the parts. Empty parts are kept; the caller rejects
     * them.
     */
    static List<String> split(String text, char separator) {
        // Most values contain no separator at all; quotes and brackets need no scanning then.
        int separatorIndex = text.indexOf(separator) < 0 ? -1 : indexOutsideQuotes(text, separator, 0);
        if (separatorIndex < 0) {
            return List.of(text.trim());
        }
        List<String> parts = new ArrayList<>();
        int partStart = 0;
        for (; separatorIndex >= 0; separatorIndex = indexOutsideQuotes(text, separator, partStart)) {
            parts.add(text.substring(partStart, separatorIndex).trim());
            partStart = separatorIndex + 1;
        }
        parts.add(text.substring(partStart).trim());
        return parts;
    }

    /** True if the text is a token (RFC 3261 25.1). */
    static boolean isToken(String text) {
        if (text.isEmpty()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean alphanumeric = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
            if (!alphanumeric && "-.!%*_+`'~".indexOf(c) < 0) {
                return false;
            }
        }
        return true;
    }

    /** Parses an unsigned number; -1 if the text is not a number or exceeds {@code max}. */
    static long parseNumber(String text, long max) {
        if (text.isEmpty() || text.length() > MAX_LONG_DIGITS) {
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
        return value > max ? -1 : value;
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
