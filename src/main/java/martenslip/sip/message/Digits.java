package martenslip.sip.message;

/** Checks of unsigned numbers in header values. They occur in every message, so no regular expressions are used. */
public final class Digits {
    private static final int MAX_E164_DIGITS = 15;
    private static final int MAX_INTEGER_DIGITS = 9;
    private static final int MAX_FRACTION_DIGITS = 6;

    private Digits() {}

    /** True for 1 to {@code maxDigits} decimal digits and nothing else. */
    public static boolean isDigits(String text, int maxDigits) {
        return text != null && isDigitRange(text, 0, text.length(), maxDigits);
    }

    /** True if the text from {@code start} to {@code end} (exclusive) is 1 to {@code maxDigits} digits. */
    private static boolean isDigitRange(String text, int start, int end, int maxDigits) {
        if (end <= start || end - start > maxDigits) {
            return false;
        }
        for (int i = start; i < end; i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    /** True for a telephone number: an optional plus sign and 1 to 15 digits (E.164). */
    public static boolean isTelephoneNumber(String text) {
        return text != null && isDigitRange(text, text.startsWith("+") ? 1 : 0, text.length(), MAX_E164_DIGITS);
    }

    /**
     * Parses a number of up to 9 digits with an optional fraction of up to 6 digits; -1 if the text is not such a
     * number.
     */
    public static double parseDecimal(String text) {
        if (text == null) {
            return -1;
        }
        int point = text.indexOf('.');
        boolean integerPartValid = isDigitRange(text, 0, point < 0 ? text.length() : point, MAX_INTEGER_DIGITS);
        return integerPartValid && (point < 0 || isDigitRange(text, point + 1, text.length(), MAX_FRACTION_DIGITS))
                ? Double.parseDouble(text)
                : -1;
    }
}
