package martenslip.sip.transaction;

/** Why a request has no final response. */
public enum RequestFailure {
    /** Timer B or F: 64 T1 have passed. */
    TIMED_OUT,
    /** No connection could be had: the request never left. */
    NO_CONNECTION,
    /** The connection broke after the request may have left. */
    BROKEN,
    /** The table of transactions is full; the request never left. */
    TABLE_FULL
}
