package martenslip.sip.message;

/** Value of a CSeq header: sequence number under 2^31 and method (RFC 3261 20.16). */
public record CSeq(long number, String method) {
    private static final long MAX_NUMBER = (1L << 31) - 1;

    /** Parses a CSeq value. */
    public static CSeq parse(String text) throws InvalidValueException {
        String trimmed = text.trim();
        int numberEnd = 0;
        while (numberEnd < trimmed.length() && trimmed.charAt(numberEnd) != ' ' && trimmed.charAt(numberEnd) != '\t') {
            numberEnd++;
        }
        String method = trimmed.substring(numberEnd).trim();
        long number = HeaderScanner.parseNumber(trimmed.substring(0, numberEnd), MAX_NUMBER);
        if (number < 0 || !HeaderScanner.isToken(method)) {
            throw new InvalidValueException("no number and method: " + text);
        }
        return new CSeq(number, method);
    }

    @Override
    public String toString() {
        return number + " " + method;
    }
}
