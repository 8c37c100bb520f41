package martenslip.platform.desk;

import martenslip.control.Blame;
import martenslip.control.Cause;

/** How a ring ended, read off the cause and the note of a switch's release. It translates and judges nothing. */
record Ended(Cause cause, Blame blame) {
    static final int NORMAL = 16;
    static final int CUT = 41;
    private static final int BUSY = 17;
    private static final int FULL = 34;
    private static final int FAULT = 47;
    private static final int MOOT = 102;

    /** Before the contact stood. */
    static Ended ofRing(int cause, String note) {
        return switch (cause) {
            case FULL -> new Ended(Cause.TURNED_BACK, blame(note));
            case BUSY, FAULT -> new Ended(Cause.BUSY, blame(note));
            case MOOT -> new Ended(Cause.NOT_SENT, blame(note));
            default -> new Ended(Cause.CUT, blame(note));
        };
    }

    /** After it stood. */
    static Cause ofStanding(int cause) {
        return cause == NORMAL ? Cause.CONCLUDED : Cause.CUT;
    }

    private static Blame blame(String note) {
        return switch (note == null ? "" : note) {
            case "no_circuit" -> Blame.NO_CIRCUIT;
            case "turned_back" -> Blame.TANDEM;
            case "far_overload" -> Blame.BEYOND_FULL;
            case "overload" -> Blame.PROCESSOR;
            case "lines_busy" -> Blame.LINES_BUSY;
            default -> Blame.NONE;
        };
    }
}
