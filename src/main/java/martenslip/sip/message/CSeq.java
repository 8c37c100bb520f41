package martenslip.sip.message;

/** Sequence number, under 2^31, and method (RFC 3261 20.16). */
public record CSeq(long number, String method) {
    private static final long MOST = (1L << 31) - 1;

    public static CSeq parse(String text) throws InvalidValueException {
        String all = text.trim();
        int blank = 0;
        while (blank < all.length() && all.charAt(blank) != ' ' && all.charAt(blank) != '\t') {
            blank++;
        }
        String method = all.substring(blank).trim();
        long number = HeaderScanner.number(all.substring(0, blank), MOST);
        if (number < 0 || !HeaderScanner.token(method)) {
            throw new InvalidValueException("no number and method: " + text);
        }
        return new CSeq(number, method);
    }

    @Override
    public String toString() {
        return number + " " + method;
    }
}
