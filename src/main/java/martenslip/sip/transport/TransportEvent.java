package martenslip.sip.transport;

import martenslip.control.Moment;
import martenslip.sip.message.Message;
import martenslip.sip.message.Request;

/** What the transport reports to the transaction layer. */
public sealed interface TransportEvent {
    /**
     * A whole message whose grammar is valid.
     *
     * @param receivedAt when its last byte was read; it may have waited since
     */
    record MessageReceived(Message message, Hop from, Moment receivedAt) implements TransportEvent {}

    /** An invalid request with the status and reason phrase of the response that RFC 3261 prescribes. */
    record InvalidRequest(Request request, int status, String reasonPhrase, Hop from) implements TransportEvent {}

    /** A connection that has ended or could not be established; nothing pending will be answered over it. */
    record ConnectionLost(Hop hop, boolean wasEstablished, String reason) implements TransportEvent {}
}
