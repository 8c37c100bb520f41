package martenslip.control;

/** How a ring ended. Logs, journals and counts write the value names out. */
public enum RingEndCause {
    /** The contact was established and has been released normally. */
    CONCLUDED,
    /** All lines of the number are busy, or signalling failed. */
    BUSY,
    /** Rejected before any set-up; see {@link RejectionReason}. */
    TURNED_BACK,
    /** No answer within the ring's time limit; the far side may still be setting the contact up. */
    TIMED_OUT,
    /** No connection to the switch could be established. */
    UNREACHABLE,
    /** The set-up or the established contact was interrupted. */
    CUT,
    /** Cancelled, or released from the caller's side. */
    CALLED_OFF,
    /** The ring was never sent: no circuit was free, the own processor was down, or the contact had ended. */
    NOT_SENT
}
