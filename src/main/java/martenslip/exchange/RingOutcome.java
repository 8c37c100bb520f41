package martenslip.exchange;

import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;
import martenslip.signaling.ReleaseCause;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.RequestFailure;

/**
 * How a ring ended, read off a response, a failure or a BYE; the table is in docs/sip-mapping.md. It translates
 * and judges nothing.
 */
record RingOutcome(RingEndCause cause, RejectionReason blame) {
    static RingOutcome of(RingEndCause cause) {
        return new RingOutcome(cause, RejectionReason.NONE);
    }

    static RingOutcome of(Response response) {
        ReleaseCause release = ReleaseCause.of(response);
        return switch (response.status()) {
            case 408 -> of(RingEndCause.TIMED_OUT);
            case 487 -> of(RingEndCause.CALLED_OFF);
            case 486, 600 -> new RingOutcome(RingEndCause.BUSY, RejectionReason.LINES_BUSY);
            case 500, 503, 504 -> turnedBack(response, release);
            default -> of(RingEndCause.BUSY);
        };
    }

    private static RingOutcome turnedBack(Response response, ReleaseCause release) {
        boolean transit = release != null
                && (release.hasLocation(ReleaseCause.TRANSIT_NETWORK)
                        || release.hasLocation(ReleaseCause.REMOTE_LOCAL_NETWORK));
        if (transit) {
            boolean full = release.hasLocation(ReleaseCause.REMOTE_LOCAL_NETWORK)
                    && release.cause() == ReleaseCause.CONGESTION;
            return new RingOutcome(
                    RingEndCause.TURNED_BACK, full ? RejectionReason.BEYOND_FULL : RejectionReason.TANDEM);
        }
        if (response.status() == 504) {
            return of(RingEndCause.TIMED_OUT);
        }
        if (release != null && release.cause() == ReleaseCause.NO_CIRCUIT) {
            return new RingOutcome(RingEndCause.TURNED_BACK, RejectionReason.NO_CIRCUIT);
        }
        return new RingOutcome(RingEndCause.TURNED_BACK, RejectionReason.PROCESSOR);
    }

    static RingOutcome of(RequestFailure why) {
        return of(
                switch (why) {
                    case TIMED_OUT -> RingEndCause.TIMED_OUT;
                    case NO_CONNECTION -> RingEndCause.UNREACHABLE;
                    case BROKEN -> RingEndCause.CUT;
                    case TABLE_FULL -> RingEndCause.NOT_SENT;
                });
    }

    /** The end of a standing contact; no BYE means that its connection or its far side was lost. */
    static RingOutcome ofEnd(Request bye, RingEndCause inOrder) {
        ReleaseCause release = bye == null ? null : ReleaseCause.of(bye);
        boolean order = bye != null && (release == null || release.cause() == ReleaseCause.NORMAL_CLEARING);
        return of(order ? inOrder : RingEndCause.CUT);
    }
}
