package martenslip.exchange;

import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;
import martenslip.signaling.ReleaseCause;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.RequestFailure;

/** How a ring ended, translated from a response, a failure or a BYE by the table in docs/sip-mapping.md. */
record RingOutcome(RingEndCause cause, RejectionReason rejectionReason) {
    static RingOutcome of(RingEndCause cause) {
        return new RingOutcome(cause, RejectionReason.NONE);
    }

    static RingOutcome of(Response response) {
        ReleaseCause releaseCause = ReleaseCause.of(response);
        return switch (response.status()) {
            case 408 -> of(RingEndCause.TIMED_OUT);
            case 487 -> of(RingEndCause.CALLED_OFF);
            case 486, 600 -> new RingOutcome(RingEndCause.BUSY, RejectionReason.LINES_BUSY);
            case 500, 503, 504 -> ofRejection(response, releaseCause);
            default -> of(RingEndCause.BUSY);
        };
    }

    private static RingOutcome ofRejection(Response response, ReleaseCause releaseCause) {
        boolean fromTransit = releaseCause != null
                && (releaseCause.hasLocation(ReleaseCause.TRANSIT_NETWORK)
                        || releaseCause.hasLocation(ReleaseCause.REMOTE_LOCAL_NETWORK));
        if (fromTransit) {
            boolean beyondFull = releaseCause.hasLocation(ReleaseCause.REMOTE_LOCAL_NETWORK)
                    && releaseCause.cause() == ReleaseCause.CONGESTION;
            return new RingOutcome(
                    RingEndCause.TURNED_BACK, beyondFull ? RejectionReason.BEYOND_FULL : RejectionReason.TANDEM);
        }
        if (response.status() == 504) {
            return of(RingEndCause.TIMED_OUT);
        }
        if (releaseCause != null && releaseCause.cause() == ReleaseCause.NO_CIRCUIT) {
            return new RingOutcome(RingEndCause.TURNED_BACK, RejectionReason.NO_CIRCUIT);
        }
        return new RingOutcome(RingEndCause.TURNED_BACK, RejectionReason.PROCESSOR);
    }

    static RingOutcome of(RequestFailure failure) {
        return of(
                switch (failure) {
                    case TIMED_OUT -> RingEndCause.TIMED_OUT;
                    case NO_CONNECTION -> RingEndCause.UNREACHABLE;
                    case BROKEN -> RingEndCause.CUT;
                    case TABLE_FULL -> RingEndCause.NOT_SENT;
                });
    }

    /** The end of an established contact. Without a BYE (null) the connection or the far side was lost. */
    static RingOutcome ofCallEnd(Request bye, RingEndCause normalEndCause) {
        ReleaseCause releaseCause = bye == null ? null : ReleaseCause.of(bye);
        boolean normalEnd =
                bye != null && (releaseCause == null || releaseCause.cause() == ReleaseCause.NORMAL_CLEARING);
        return of(normalEnd ? normalEndCause : RingEndCause.CUT);
    }
}
