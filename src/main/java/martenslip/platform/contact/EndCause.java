package martenslip.platform.contact;

import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;

/** How a ring ended, read off the cause and the note of a switch's release. It translates and judges nothing. */
record EndCause(RingEndCause cause, RejectionReason blame) {
    static final int NORMAL = 16;
    static final int CUT = 41;
    private static final int BUSY = 17;
    private static final int FULL = 34;
    private static final int FAULT = 47;
    private static final int MOOT = 102;

    /** Before the contact stood. */
    static EndCause ofRing(int cause, String note) {
        return switch (cause) {
            case FULL -> new EndCause(RingEndCause.TURNED_BACK, blame(note));
            case BUSY, FAULT -> new EndCause(RingEndCause.BUSY, blame(note));
            case MOOT -> new EndCause(RingEndCause.NOT_SENT, blame(note));
            default -> new EndCause(RingEndCause.CUT, blame(note));
        };
    }

    /** After it stood. */
    static RingEndCause ofStanding(int cause) {
        return cause == NORMAL ? RingEndCause.CONCLUDED : RingEndCause.CUT;
    }

    private static RejectionReason blame(String note) {
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
