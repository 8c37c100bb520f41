package martenslip.sip.message;

/** Sequence number, under 2^31, and method (RFC 3261 20.16). */
public record CSeq(long number, String method) {
    private static final long MOST = (1L << 31) - 1;

    public static CSeq parse(String text) throws BadValue {
        String[] parts = text.trim().split("[ \t]+");
        long number = parts.length == 2 ? Text.number(parts[0], MOST) : -1;
        if (number < 0 || !Text.token(parts[1])) {
            throw new BadValue("no number and method: " + text);
        }
        return new CSeq(number, parts[1]);
    }

    @Override
    public String toString() {
        return number + " " + method;
    }
}
