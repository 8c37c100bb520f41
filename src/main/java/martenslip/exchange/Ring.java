package martenslip.exchange;

import martenslip.control.Moment;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.dialog.UacCall;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Hop;

/** A ring of a contact toward one switch. {@code told} says that the decider knows its outcome. */
final class Ring {
    final int number;
    final long target;
    final int far;
    final Moment at;
    final Moment until;
    UacCall call;
    TimerWheel.Timer limit;
    TimerWheel.Timer silence;
    boolean stood;
    boolean told;
    /** The decider knows that the switch has it. */
    boolean heard;
    /** As it left, and its 2xx: for the contact's will. */
    Request invite;

    Hop hop;
    Response okay;

    Ring(int number, long target, int far, Moment at, Moment until) {
        this.number = number;
        this.target = target;
        this.far = far;
        this.at = at;
        this.until = until;
    }

    void stopTimers() {
        if (limit != null) {
            limit.cancel();
            silence.cancel();
        }
    }

    HandoverRecord.InFlightRing out() {
        return invite == null
                ? null
                : new HandoverRecord.InFlightRing(number, target, far, at, until, invite, hop, okay);
    }
}
