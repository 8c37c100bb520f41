package martenslip.sip.message;

/**
 * What was read: a message, a fault, or both where the message is wrong but can still be answered.
 * {@code status} is the answer to it, 0 where there is nothing wrong.
 */
public record ParseResult(Message message, int status, String fault) {
    public boolean isValid() {
        return status == 0 && message != null;
    }

    /** A request that is wrong, yet says whom to answer. An ACK is never answered. */
    public boolean isAnswerable() {
        return status != 0 && message instanceof Request request && !request.hasMethod("ACK");
    }
}
