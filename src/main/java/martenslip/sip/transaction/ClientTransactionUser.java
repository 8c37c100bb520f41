package martenslip.sip.transaction;

import martenslip.sip.message.Response;

/** User of one client transaction; receives the outcome of its request. */
public interface ClientTransactionUser {
    /**
     * A response was received. Of final responses other than 2xx to an INVITE, only the first is reported. A 2xx to an
     * INVITE is reported each time it arrives, as each needs an ACK (RFC 3261 13.2.2.4).
     */
    void responseReceived(ClientTransaction transaction, Response response);

    /** The request is complete, with its Via, and is about to be sent for the first time. */
    default void beforeSend(ClientTransaction transaction) {
        // Most users need no notification.
    }

    /** No final response will come. Called at most once, and not after a final response. */
    void failed(ClientTransaction transaction, RequestFailure reason);
}
