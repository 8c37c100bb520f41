package martenslip.simulatorprotocol;

/** Input that does not follow the wire, with the place where it was noticed. */
public final class MalformedInputException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedInputException(String what, long batch, int position) {
        super("malformed input: " + what + " (batch " + batch + ", byte " + position + " of its records)");
    }
}
