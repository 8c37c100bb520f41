package martenslip.platform.contact;

import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;

/** How a ring ended, read off the cause and the note of a switch's release. It translates and judges nothing. */
record EndCause(RingEndCause cause, RejectionReason rejectionReason) {
    static final int NORMAL_CLEARING = 16;
    static final int TEMPORARY_FAILURE = 41;
    private static final int USER_BUSY = 17;
    private static final int NO_CIRCUIT_AVAILABLE = 34;
    private static final int RESOURCE_UNAVAILABLE = 47;
    private static final int RECOVERY_ON_TIMER_EXPIRY = 102;

    /** Before the contact stood. */
    static EndCause ofRingEnd(int q850Cause, String note) {
        return switch (q850Cause) {
            case NO_CIRCUIT_AVAILABLE -> new EndCause(RingEndCause.TURNED_BACK, rejectionReason(note));
            case USER_BUSY, RESOURCE_UNAVAILABLE -> new EndCause(RingEndCause.BUSY, rejectionReason(note));
            case RECOVERY_ON_TIMER_EXPIRY -> new EndCause(RingEndCause.NOT_SENT, rejectionReason(note));
            default -> new EndCause(RingEndCause.CUT, rejectionReason(note));
        };
    }

    /** After it stood. */
    static RingEndCause ofEstablishedEnd(int q850Cause) {
        return q850Cause == NORMAL_CLEARING ? RingEndCause.CONCLUDED : RingEndCause.CUT;
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
