package martenslip.exchange;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import martenslip.control.Moment;

/**
 * Events that the controller has not received yet. They are delivered one at a time and never while the controller
 * handles another one: the failure of an order that fails at once would otherwise reach it out of order. Bounded by the
 * number of open contacts.
 */
final class PendingEvents {
    private final ArrayDeque<Consumer<Moment>> events = new ArrayDeque<>();
    private boolean delivering;

    void add(Consumer<Moment> event) {
        events.add(event);
    }

    /** Delivers all events in the order of their arrival; does nothing if called during a delivery. */
    void deliverAll(Moment now) {
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            while (!events.isEmpty()) {
                events.poll().accept(now);
            }
        } finally {
            delivering = false;
        }
    }
}
