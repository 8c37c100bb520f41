package martenslip.sip.transport;

/**
 * What waits on a connection. What has been queued is not yet sent: whether it is said at all is settled when its write
 * begins, by the thread that writes. Nobody looks again between the queue and the socket but here.
 */
public interface OutgoingMessage {
    /** What it counts for against the bound of what is unsent. */
    int size();

    /** What is to be written, or null where there is nothing any more to say. Asked once, as the write begins. */
    byte[] bytes();

    /** Nothing of it is going to be written any more: it has been, it had nothing to say, or the connection is over. */
    default void completed() {
        // Most who queue something don't ask what became of it.
    }

    static OutgoingMessage of(byte[] message) {
        return of(message, () -> {});
    }

    /** {@code done} is run by the writing thread, or by whoever ends the connection. */
    static OutgoingMessage of(byte[] message, Runnable done) {
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
                done.run();
            }
        };
    }
}
