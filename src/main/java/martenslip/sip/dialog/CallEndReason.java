package martenslip.sip.dialog;

/** Why a call that stood is over. */
public enum CallEndReason {
    /** The far side sent a BYE. */
    BYE,
    /** The far side never acknowledged the 2xx, within 64 T1. */
    NO_ACK,
    /** The connection that it went over broke. */
    CONNECTION_LOST
}
