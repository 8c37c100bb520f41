package martenslip.sip.transaction;

/** Why a request has no final response. */
public enum RequestFailure {
    /** Timer B or F expired after 64 T1. */
    TIMED_OUT,
    /** No connection could be established: the request never left. */
    NO_CONNECTION,
    /** The connection was lost after the request may have left. */
    BROKEN,
    /** The transaction table is full: the request never left. */
    TABLE_FULL
}
