package martenslip.exchange;

import martenslip.control.Moment;
import martenslip.sip.dialog.CallOut;
import martenslip.wheel.Wheel;

/** A ring of a contact toward one switch. {@code told} says that the module knows its outcome. */
final class Ring {
    final int number;
    final long target;
    final int far;
    final Moment at;
    CallOut call;
    Wheel.Timer limit;
    Wheel.Timer silence;
    boolean stood;
    boolean told;

    Ring(int number, long target, int far, Moment at) {
        this.number = number;
        this.target = target;
        this.far = far;
        this.at = at;
    }

    void stopTimers() {
        if (limit != null) {
            limit.cancel();
            silence.cancel();
        }
    }
}
