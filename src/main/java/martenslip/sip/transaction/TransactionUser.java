package martenslip.sip.transaction;

import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Hop;

/** The transaction user (RFC 3261 5). */
public interface TransactionUser {
    /** A request began a new transaction; never an ACK or a CANCEL. */
    void requestReceived(ServerTransaction transaction);

    /** A CANCEL arrived for this INVITE, which has no final response yet. The CANCEL has been answered. */
    void cancelled(ServerTransaction invite, Request cancel);

    /** An ACK arrived that belongs to no transaction: that of a 2xx. */
    void ackReceived(Request ack, Hop from);

    /** A response arrived that matches no transaction. A late 2xx to an INVITE still needs an ACK and a BYE. */
    void unmatchedResponse(Response response, Hop from);

    /** A server transaction has ended: its request, if received again, begins a new one. */
    void transactionEnded(ServerTransaction transaction);

    /** A connection has ended or could not be established; dialogs may depend on it. */
    void connectionLost(Hop hop, boolean wasEstablished);
}
