package martenslip.simulatorprotocol;

/** Input that does not follow the wire, with the place where it was noticed. */
public final class MalformedInputException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedInputException(String reason, long batchNumber, int position) {
        super("malformed input: " + reason + " (batch " + batchNumber + ", byte " + position + " of its records)");
    }
}
