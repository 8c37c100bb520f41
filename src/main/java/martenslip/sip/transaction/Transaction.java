package martenslip.sip.transaction;

import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;

/** The timers of a transaction: one that repeats what was sent, and one that ends what lingers. */
abstract class Transaction {
    final TransactionLayer layer;
    TimerWheel.Timer repeat;
    TimerWheel.Timer end;

    Transaction(TransactionLayer layer) {
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
            end = layer.wheel.scheduleCoarse(span, this::terminate);
        }
    }

    abstract void terminate();
}
