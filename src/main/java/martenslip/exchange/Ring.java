package martenslip.exchange;

import martenslip.control.Moment;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.dialog.UacCall;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Hop;

/**
 * A ring of a contact toward one switch: {@code target} is the id of the switch, {@code farExchange} the number of its
 * exchange or -1.
 */
final class Ring {
    final int number;
    final long target;
    final int farExchange;
    final Moment startedAt;
    final Moment expiresAt;
    UacCall call;
    TimerWheel.Timer timeLimitTimer;
    TimerWheel.Timer silenceTimer;
    boolean established;
    /** The outcome was reported to the decider. Also set on a restored ring that ended before the takeover. */
    boolean endReported;
    /** The first response was reported to the decider. */
    boolean firstResponseReported;
    /** The INVITE as sent; recorded for a handover, as are the hop and the 2xx response. */
    Request invite;

    Hop hop;
    Response successResponse;

    Ring(int number, long target, int farExchange, Moment startedAt, Moment expiresAt) {
        this.number = number;
        this.target = target;
        this.farExchange = farExchange;
        this.startedAt = startedAt;
        this.expiresAt = expiresAt;
    }

    void stopTimers() {
        if (timeLimitTimer != null) {
            timeLimitTimer.cancel();
            silenceTimer.cancel();
        }
    }

    /** The state of the ring for a handover, or null if it was not sent. */
    HandoverRecord.RecordedRing toRecordedRing() {
        return invite == null
                ? null
                : new HandoverRecord.RecordedRing(
                        number, target, farExchange, startedAt, expiresAt, invite, hop, successResponse);
    }
}
