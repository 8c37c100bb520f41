package martenslip.sip.message;

/** A value that does not follow its grammar; the message says which and what was read. */
public final class InvalidValueException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidValueException(String what) {
        super(what, null, false, false);
    }
}
