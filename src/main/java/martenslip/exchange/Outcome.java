package martenslip.exchange;

import martenslip.control.Blame;
import martenslip.control.Cause;
import martenslip.signal.Release;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.Failure;

/**
 * How a ring ended, read off a response, a failure or a BYE; the table is in docs/sip-mapping.md. It translates
 * and judges nothing.
 */
record Outcome(Cause cause, Blame blame) {
    static Outcome of(Cause cause) {
        return new Outcome(cause, Blame.NONE);
    }

    static Outcome of(Response response) {
        Release release = Release.of(response);
        return switch (response.status()) {
            case 408 -> of(Cause.TIMED_OUT);
            case 487 -> of(Cause.CALLED_OFF);
            case 486, 600 -> new Outcome(Cause.BUSY, Blame.LINES_BUSY);
            case 500, 503, 504 -> turnedBack(response, release);
            default -> of(Cause.BUSY);
        };
    }

    private static Outcome turnedBack(Response response, Release release) {
        boolean transit = release != null && (release.from(Release.TRANSIT) || release.from(Release.BEYOND));
        if (transit) {
            boolean full = release.from(Release.BEYOND) && release.cause() == Release.CONGESTION;
            return new Outcome(Cause.TURNED_BACK, full ? Blame.BEYOND_FULL : Blame.TANDEM);
        }
        if (response.status() == 504) {
            return of(Cause.TIMED_OUT);
        }
        if (release != null && release.cause() == Release.NO_CIRCUIT) {
            return new Outcome(Cause.TURNED_BACK, Blame.NO_CIRCUIT);
        }
        return new Outcome(Cause.TURNED_BACK, Blame.PROCESSOR);
    }

    static Outcome of(Failure why) {
        return of(
                switch (why) {
                    case TIMED_OUT -> Cause.TIMED_OUT;
                    case NO_CONNECTION -> Cause.UNREACHABLE;
                    case BROKEN -> Cause.CUT;
                    case TABLE_FULL -> Cause.NOT_SENT;
                });
    }

    /** The end of a standing contact; no BYE means that its connection or its far side was lost. */
    static Outcome ofEnd(Request bye, Cause inOrder) {
        Release release = bye == null ? null : Release.of(bye);
        boolean order = bye != null && (release == null || release.cause() == Release.NORMAL);
        return of(order ? inOrder : Cause.CUT);
    }
}
