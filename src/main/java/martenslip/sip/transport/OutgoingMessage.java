package martenslip.sip.transport;

/**
 * A message queued on a connection. Whether it is sent at all is decided by the writing thread when its write begins;
 * this is the only check between the queue and the socket.
 */
public interface OutgoingMessage {
    /** Bytes counted against the limit of unsent data. */
    int size();

    /** The bytes to write, or null if the message is no longer to be sent. Called once, as the write begins. */
    byte[] bytes();

    /** The message will not be written any further: it was written or withdrawn, or the connection has ended. */
    default void completed() {
        // Most senders need no notification.
    }

    /** A message that is never withdrawn. */
    static OutgoingMessage of(byte[] message) {
        return of(message, () -> {});
    }

    /**
     * A message that is never withdrawn; {@code onCompleted} is run by the writing thread or by the thread that ends the
     * connection.
     */
    static OutgoingMessage of(byte[] message, Runnable onCompleted) {
        return new OutgoingMessage() {
            @Override
            public int size() {
                return message.length;
            }

            @Override
            public byte[] bytes() {
                return message;
            }

            @Override
            public void completed() {
                onCompleted.run();
            }
        };
    }
}
