package martenslip.sip.dialog;

/** Why an established call has ended. */
public enum CallEndReason {
    /** The remote side sent a BYE. */
    BYE,
    /** The remote side did not acknowledge the 2xx within 64 T1. */
    NO_ACK,
    /** The connection that the call was set up over was lost. */
    CONNECTION_LOST
}
