package martenslip.control;

/** Why a ring was rejected, as far as the far side reports it. Logs and counts write the value names out. */
public enum RejectionReason {
    /** No reason was reported. */
    NONE,
    /** No circuit (or no agent) was free. */
    NO_CIRCUIT,
    /** The tandem rejected the contact. */
    TANDEM,
    /** The tandem rejected the contact because the destination's processor was full. */
    BEYOND_FULL,
    /** The processor of the target switch was full or, if the ring was never sent, the own processor is down. */
    PROCESSOR,
    /** All lines of the number are busy. */
    LINES_BUSY
}
