package martenslip.sip.transaction;

import martenslip.sip.transport.Hop;

/** Where the layer's bytes go: sockets, or a driven network in tests. */
public interface MessageSender {
    /** False where it is known not to have left. */
    boolean send(byte[] bytes, Hop to);

    /** Host and port that a Via for this transport names. */
    String sentBy(Hop.Protocol kind);
}
