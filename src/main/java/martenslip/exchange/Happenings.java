package martenslip.exchange;

import java.util.ArrayDeque;
import java.util.function.BiConsumer;
import martenslip.control.Controller;
import martenslip.control.Moment;

/**
 * What has happened and the module has not heard yet. The module is told one at a time and never while it is amid
 * another, as an order that fails at once would else come back to it out of turn. Bounded by what is open.
 */
final class Happenings {
    interface Telling extends BiConsumer<Controller, Moment> { }

    private final ArrayDeque<Telling> waiting = new ArrayDeque<>();
    private final Controller controller;
    private boolean telling;

    Happenings(Controller controller) {
        this.controller = controller;
    }

    void add(Telling one) {
        waiting.add(one);
    }

    void tellAll(Moment now) {
        if (telling) {
            return;
        }
        telling = true;
        try {
            while (!waiting.isEmpty()) {
                waiting.poll().accept(controller, now);
            }
        } finally {
            telling = false;
        }
    }
}
