package martenslip.sip.transaction;

import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Hop;

/** The transaction user (RFC 3261 5): takes what is new. */
public interface TransactionUser {
    /** A request that began a transaction; never an ACK or a CANCEL. */
    void requestReceived(ServerTransaction transaction);

    /** A CANCEL of this INVITE, which has no final response yet. The CANCEL has been answered. */
    void cancelled(ServerTransaction invite, Request cancel);

    /** An ACK that belongs to no transaction: that of a 2xx. */
    void ackReceived(Request ack, Hop from);

    /** A response without a transaction; a late 2xx to an INVITE still wants an ACK and a BYE. */
    void unmatchedResponse(Response response, Hop from);

    /** A server transaction has ended: its request would count as a new one if it came again. */
    void transactionEnded(ServerTransaction transaction);

    /** A connection broke, for dialogs that went over it. */
    void connectionLost(Hop hop, boolean everUp);
}
