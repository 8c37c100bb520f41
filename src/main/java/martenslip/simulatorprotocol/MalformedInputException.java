package martenslip.simulatorprotocol;

/** Thrown for input that does not follow the simulator protocol; the message names batch and byte position. */
public final class MalformedInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for one fault of the input.
     *
     * @param reason what is wrong
     * @param batchNumber number of the batch, from its header
     * @param position byte offset within the records of the batch
     */
    public MalformedInputException(String reason, long batchNumber, int position) {
        super("malformed input: " + reason + " (batch " + batchNumber + ", byte " + position + " of its records)");
    }
}
