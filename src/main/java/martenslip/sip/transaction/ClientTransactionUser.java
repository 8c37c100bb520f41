package martenslip.sip.transaction;

import martenslip.sip.message.Response;

/** Hears what becomes of a request that it sent. */
public interface ClientTransactionUser {
    /**
     * A response; of the final ones other than 2xx to an INVITE only the first is handed up. A 2xx to an INVITE
     * comes each time that it arrives, as each wants its own ACK (RFC 3261 13.2.2.4).
     */
    void responseReceived(ClientTransaction transaction, Response response);

    /** The request is complete, with its Via, and is about to leave for the first time. */
    default void beforeSend(ClientTransaction transaction) {
        // Most askers need not know.
    }

    /** No final response will come. Called once at most, and not after a final response. */
    void failed(ClientTransaction transaction, RequestFailure why);
}
