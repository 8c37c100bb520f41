package martenslip.sip.message;

/** Numbers without sign in header values, read without patterns: they stand in every message. */
public final class Digits {
    private Digits() {}

    /** True for 1 to {@code most} decimal digits and nothing else. */
    public static boolean isDigits(String text, int most) {
        return text != null && within(text, 0, text.length(), most);
    }

    /** True where text from a place to another is 1 to {@code most} digits. */
    private static boolean within(String text, int from, int to, int most) {
        if (to <= from || to - from > most) {
            return false;
        }
        for (int i = from; i < to; i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    /** A telephone number: a plus sign or none, and 1 to 15 digits (E.164). */
    public static boolean isTelephoneNumber(String text) {
        return text != null && within(text, text.startsWith("+") ? 1 : 0, text.length(), 15);
    }

    /** A number with a fraction or none, up to 9 digits before the point and 6 after it; -1 where it is none. */
    public static double parseDecimal(String text) {
        if (text == null) {
            return -1;
        }
        int point = text.indexOf('.');
        boolean whole = within(text, 0, point < 0 ? text.length() : point, 9);
        return whole && (point < 0 || within(text, point + 1, text.length(), 6)) ? Double.parseDouble(text) : -1;
    }
}
