package martenslip.control;

/** Who or what turned a ring away, as far as the far side says. */
public enum RejectionReason {
    NONE,
    /** No circuit (or no agent) was free. */
    NO_CIRCUIT,
    /** The tandem sent the contact back. */
    TANDEM,
    /** The tandem sent it back since the destination's processor was full. */
    BEYOND_FULL,
    /** The processor of the switch that was sent to was full (or, if never sent, the own one is down). */
    PROCESSOR,
    /** All lines of the number are busy. */
    LINES_BUSY
}
