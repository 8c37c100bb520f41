package martenslip.platform.contact;

import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;

/** How a ring ended, translated from the Q.850 cause and the note of a switch's FINISH. */
record EndCause(RingEndCause cause, RejectionReason rejectionReason) {
    /** Cause values by their Q.850 names. The platform reports 102 for a set-up that the switch did not carry out. */
    static final int NORMAL_CLEARING = 16;

    static final int TEMPORARY_FAILURE = 41;
    private static final int USER_BUSY = 17;
    private static final int NO_CIRCUIT_AVAILABLE = 34;
    private static final int RESOURCE_UNAVAILABLE = 47;
    private static final int RECOVERY_ON_TIMER_EXPIRY = 102;

    /** Translates the end of a ring that was not answered. */
    static EndCause ofRingEnd(int q850Cause, String note) {
        return switch (q850Cause) {
            case NO_CIRCUIT_AVAILABLE -> new EndCause(RingEndCause.TURNED_BACK, rejectionReason(note));
            case USER_BUSY, RESOURCE_UNAVAILABLE -> new EndCause(RingEndCause.BUSY, rejectionReason(note));
            case RECOVERY_ON_TIMER_EXPIRY -> new EndCause(RingEndCause.NOT_SENT, rejectionReason(note));
            default -> new EndCause(RingEndCause.CUT, rejectionReason(note));
        };
    }

    /** Translates the end of an established contact. */
    static RingEndCause ofEstablishedEnd(int q850Cause) {
        return q850Cause == NORMAL_CLEARING ? RingEndCause.CONCLUDED : RingEndCause.CUT;
    }

    /** The cause to send a caller for a switch's release: every cause but normal clearing is a temporary failure. */
    static int toCaller(int q850Cause) {
        return q850Cause == NORMAL_CLEARING ? NORMAL_CLEARING : TEMPORARY_FAILURE;
    }

    private static RejectionReason rejectionReason(String note) {
        return switch (note == null ? "" : note) {
            case "no_circuit" -> RejectionReason.NO_CIRCUIT;
            case "turned_back" -> RejectionReason.TANDEM;
            case "far_overload" -> RejectionReason.BEYOND_FULL;
            case "overload" -> RejectionReason.PROCESSOR;
            case "lines_busy" -> RejectionReason.LINES_BUSY;
            default -> RejectionReason.NONE;
        };
    }
}
