package martenslip.control;

/** How a ring ended. */
public enum RingEndCause {
    /** The contact stood and has now been released in good order. */
    CONCLUDED,
    /** All lines of the number are busy, or signalling went wrong. */
    BUSY,
    /** Turned away before any set-up: see {@link RejectionReason}. */
    TURNED_BACK,
    /** No answer within the ring's limit; the set-up may have gone on. */
    TIMED_OUT,
    /** No connection to the switch could be had. */
    UNREACHABLE,
    /** The set-up or the standing contact was cut. */
    CUT,
    /** Called off, or released from the caller's side. */
    CALLED_OFF,
    /** It never left: no circuit free, own processor down, or the contact was over. */
    NOT_SENT
}
