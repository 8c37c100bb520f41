package martenslip.verification;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Rule 4: in any window of the stated length the rings of all controllers to a cold switch stay under the stated
 * multiple of what it can do then.
 */
final class ColdStartRule {
    /** A few more than the budget are chance, as the stand-in's own count of a push has it. */
    private static final int SLACK = 3;

    private static final class ColdSwitch {
        final Moment at;
        final double capacity;
        final double from;
        final Span warm;
        final Deque<Moment> recent = new ArrayDeque<>();
        boolean told;

        ColdSwitch(Moment at, double capacity, double from, Span warm) {
            this.at = at;
            this.capacity = capacity;
            this.from = from;
            this.warm = warm;
        }
    }

    private final Map<String, ColdSwitch> cold = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private double multiple = 3;
    private Span window = Span.ofMillis(1500);
    private long judged;

    void budget(double times, Span span) {
        multiple = times;
        window = span;
    }

    void started(String at, Moment when, double capacity, double from, Span warm) {
        cold.put(at, new ColdSwitch(when, capacity, from, warm));
    }

    void sent(Moment at, int controller, String to) {
        ColdSwitch one = cold.get(to);
        if (one == null || at.since(one.at).longerThan(one.warm)) {
            return;
        }
        judged++;
        one.recent.add(at);
        while (at.since(one.recent.peek()).longerThan(window)) {
            one.recent.poll();
        }
        double part = one.from + (1 - one.from) * at.since(one.at).ratioTo(one.warm);
        double most = multiple * one.capacity * part * window.ns() / 1e9;
        if (one.recent.size() > most + SLACK && !one.told) {
            one.told = true;
            broken.add("switch " + to + ": " + one.recent.size() + " rings in " + window.ns() / 1_000_000 + " ms, "
                    + at.since(one.at).ns() / 1_000_000 + " ms after its cold start; " + Math.round(most)
                    + " are the most, the last from controller " + controller);
        }
    }

    RuleResult verdict() {
        return new RuleResult(4, "no cold switch pushed over", judged, broken);
    }
}
