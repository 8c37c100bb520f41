package martenslip.sip.transaction;

import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;

/** Timers of a transaction: one retransmits the message that was sent, the other ends the transaction. */
abstract class Transaction {
    final TransactionLayer layer;
    TimerWheel.Timer retransmitTimer;
    TimerWheel.Timer endTimer;

    Transaction(TransactionLayer layer) {
        this.layer = layer;
    }

    final void stopTimers() {
        if (retransmitTimer != null) {
            retransmitTimer.cancel();
        }
        if (endTimer != null) {
            endTimer.cancel();
        }
    }

    /** Terminates after the delay; at once if it is zero. */
    final void terminateAfter(Span delay) {
        stopTimers();
        if (delay.ns() == 0) {
            terminate();
        } else {
            endTimer = layer.timerWheel.scheduleCoarse(delay, this::terminate);
        }
    }

    abstract void terminate();
}
