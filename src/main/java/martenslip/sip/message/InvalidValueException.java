package martenslip.sip.message;

/**
 * A value that does not follow its grammar; the message names the violation and the text. It can reach the peer as a
 * reason phrase.
 */
public final class InvalidValueException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception without a stack trace, as peers can cause it at any rate. */
    public InvalidValueException(String message) {
        super(message, null, false, false);
    }
}
