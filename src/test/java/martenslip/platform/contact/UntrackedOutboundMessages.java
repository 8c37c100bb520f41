package martenslip.platform.contact;

/** Outbound messages that do not count the open set-ups of a connection: final responses are messages like any other. */
interface UntrackedOutboundMessages extends OutboundMessages {
    @Override
    default boolean sendAnswer(long connectionId, String tag, byte[] message) {
        return sendToCaller(connectionId, message);
    }

    @Override
    default void sendRefusal(long connectionId, String tag, byte[] message) {
        sendToCaller(connectionId, message);
    }

    @Override
    default void setUpEnded(long connectionId, String tag) {
        // Needed by the caller connections only; no test checks it.
    }
}
