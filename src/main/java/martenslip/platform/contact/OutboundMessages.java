package martenslip.platform.contact;

import martenslip.sip.transport.QueuedMessage;

/** What the desk has sent. Nothing here waits; what fails at once is told by the result, what fails later as news. */
public interface OutboundMessages {
    /** Toward a caller on its line; false where that is over. */
    boolean sendToCaller(long connectionId, byte[] message);

    /** A connection that callers who behave have open, another than this one if there is one; or 0. */
    long otherCallerConnection(long excludedConnectionId);

    /** The set-up of this line has its final answer. */
    void contactAnswered(long connectionId, String tag);

    /** Ends a line whose caller misbehaves. */
    void disconnect(long connectionId, String reason);

    /**
     * A set-up toward a switch, which can be taken back until its write begins; null where no connection can be had.
     * {@code unsent} comes as news where its reason no longer held by then.
     */
    QueuedMessage sendStart(long switchId, SwitchStartRequest start, Runnable unsent);

    /**
     * Gives a ring up, or releases what stands, on the connection if it is up, else on any. {@code written} comes as
     * news once it has been written or can't be any more.
     */
    void sendFinish(long switchId, long switchConnectionId, String tag, int cause, Runnable written);

    /** Says that a release was heard. */
    void sendFinished(long switchId, long switchConnectionId, String tag);

    void sendNote(int peer, byte[] note);

    void log(String kind, String message);
}
