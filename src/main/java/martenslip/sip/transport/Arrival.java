package martenslip.sip.transport;

import martenslip.sip.message.Message;
import martenslip.sip.message.Request;

/** What the sockets hand up. */
public sealed interface Arrival {
    /** A message that was read whole and is right as far as its grammar goes. */
    record Received(Message message, Hop from) implements Arrival {}

    /** A request that is wrong, with the answer that RFC 3261 has for it and the reason phrase. */
    record Wrong(Request request, int status, String fault, Hop from) implements Arrival {}

    /** A connection that ended or could not be had; whatever waited on it will not be answered over it. */
    record Broken(Hop hop, boolean everUp, String why) implements Arrival {}
}
