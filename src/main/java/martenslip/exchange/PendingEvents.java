package martenslip.exchange;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import martenslip.control.Moment;

/**
 * What has happened and the module has not heard yet. The module is told one at a time and never while it is amid
 * another, as an order that fails at once would else come back to it out of turn. Bounded by what is open.
 */
final class PendingEvents {
    private final ArrayDeque<Consumer<Moment>> waiting = new ArrayDeque<>();
    private boolean telling;

    void add(Consumer<Moment> one) {
        waiting.add(one);
    }

    void tellAll(Moment now) {
        if (telling) {
            return;
        }
        telling = true;
        try {
            while (!waiting.isEmpty()) {
                waiting.poll().accept(now);
            }
        } finally {
            telling = false;
        }
    }
}
