package martenslip.sip.message;

/**
 * Outcome of parsing: a message, a fault, or both if the message is invalid but can still be answered. {@code status}
 * is the status of the response to send, 0 if the message is valid.
 */
public record ParseResult(Message message, int status, String fault) {
    /** True if the message was parsed without a fault. */
    public boolean isValid() {
        return status == 0 && message != null;
    }

    /** True for an invalid request that has the headers a response needs. An ACK is never answered. */
    public boolean isAnswerable() {
        return status != 0 && message instanceof Request request && !request.hasMethod("ACK");
    }
}
