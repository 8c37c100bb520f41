package martenslip.sip.transaction;

import martenslip.control.Span;
import martenslip.wheel.Wheel;

/** The timers of a transaction: one that repeats what was sent, and one that ends what lingers. */
abstract class Timed {
    final Transactions layer;
    Wheel.Timer repeat;
    Wheel.Timer end;

    Timed(Transactions layer) {
        this.layer = layer;
    }

    final void stop() {
        if (repeat != null) {
            repeat.cancel();
        }
        if (end != null) {
            end.cancel();
        }
    }

    /** Ends after the span; at once where it is zero. */
    final void linger(Span span) {
        stop();
        if (span.ns() == 0) {
            terminate();
        } else {
            end = layer.wheel.loosely(span, this::terminate);
        }
    }

    abstract void terminate();
}
