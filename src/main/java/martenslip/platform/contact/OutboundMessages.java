package martenslip.platform.contact;

import java.util.Set;
import martenslip.sip.transport.QueuedMessage;

/**
 * What the contact table sends. No method blocks. A failure known at once is returned; a later one is reported as an
 * event on the decision thread.
 */
public interface OutboundMessages {
    /** Sends to a caller on its connection; false where that connection has ended. */
    boolean sendToCaller(long connectionId, byte[] message);

    /**
     * An open connection of a well-behaved caller: one that is not excluded if there is such a one; 0 where none is
     * open.
     */
    long otherCallerConnection(Set<Long> excludedConnectionIds);

    /**
     * Sends the 200 of the set-up with this tag on the connection it came on; false where that connection has ended. The
     * set-up stays open on its connection until its final response has been written.
     */
    boolean sendAnswer(long connectionId, String tag, byte[] message);

    /** Sends the refusal of the set-up with this tag, as {@link #sendAnswer}. */
    void sendRefusal(long connectionId, String tag, byte[] message);

    /** The set-up with this tag, received on this connection, needs no final response. */
    void setUpEnded(long connectionId, String tag);

    /** Ends the connection of a caller that misbehaves. */
    void disconnect(long connectionId, String reason);

    /**
     * Sends a START to a switch. It can be revoked until its write begins. Returns null where no connection can be had.
     * {@code unsent} runs on the decision thread if the START was no longer due when its write was to begin.
     */
    QueuedMessage sendStart(long switchId, SwitchStartRequest start, Runnable unsent);

    /**
     * Sends a FINISH that cancels a ring or releases an established contact, on the given connection if it is up, else
     * on any. {@code written} runs on the decision thread once the FINISH has been written or can no longer be.
     */
    void sendFinish(long switchId, long switchConnectionId, String tag, int q850Cause, Runnable written);

    /** Acknowledges a FINISH of a switch. */
    void sendFinished(long switchId, long switchConnectionId, String tag);

    /** Sends a note to a peer controller, or to all of them. */
    void sendNote(int peer, byte[] note);

    /** Writes a line to the operators' log under this kind. */
    void log(String kind, String message);
}
