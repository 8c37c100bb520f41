package martenslip.sip.transaction;

import martenslip.control.Moment;
import martenslip.sip.transport.Hop;

/** Sends the bytes of the transaction layer: over sockets, or over a simulated network in tests. */
public interface MessageSender {
    /** Returns false if the message is known not to have left. */
    boolean send(byte[] bytes, Hop to);

    /** A request sent over a reliable transport at this moment has got no response until its timeout. */
    default void requestUnanswered(Hop hop, Moment sentAt) {}

    /** Host and port for a Via of this protocol. */
    String sentBy(Hop.Protocol protocol);
}
