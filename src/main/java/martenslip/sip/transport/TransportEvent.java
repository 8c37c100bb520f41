package martenslip.sip.transport;

import martenslip.sip.message.Message;
import martenslip.sip.message.Request;

/** What the sockets hand up. */
public sealed interface TransportEvent {
    /** A message that was read whole and is right as far as its grammar goes. */
    record MessageReceived(Message message, Hop from) implements TransportEvent {}

    /** A request that is wrong, with the answer that RFC 3261 has for it and the reason phrase. */
    record InvalidRequest(Request request, int status, String reasonPhrase, Hop from) implements TransportEvent {}

    /** A connection that ended or could not be had; whatever waited on it will not be answered over it. */
    record ConnectionLost(Hop hop, boolean wasEstablished, String reason) implements TransportEvent {}
}
