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
 * Rule 4 (cold start): in any window of the configured length, all controllers together send a cold switch no more
 * rings than the configured multiple of its capacity at that time.
 */
final class ColdStartRule {
    /** Rings above the limit that count as chance; the simulated switch allows as many before it fails. */
    private static final int RING_TOLERANCE = 3;

    private static final class ColdSwitch {
        final Moment startedAt;
        final double capacity;
        final double initialShare;
        final Span warmUpTime;
        final Deque<Moment> recentRings = new ArrayDeque<>();
        boolean reported;

        ColdSwitch(Moment startedAt, double capacity, double initialShare, Span warmUpTime) {
            this.startedAt = startedAt;
            this.capacity = capacity;
            this.initialShare = initialShare;
            this.warmUpTime = warmUpTime;
        }
    }

    private final Map<String, ColdSwitch> coldSwitches = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private double loadMultiple = 3;
    private Span window = Span.ofMillis(1500);
    private long caseCount;

    void setLoadLimit(double newMultiple, Span newWindow) {
        loadMultiple = newMultiple;
        window = newWindow;
    }

    void coldStartObserved(
            String switchAddress, Moment startTime, double capacity, double initialShare, Span warmUpTime) {
        coldSwitches.put(switchAddress, new ColdSwitch(startTime, capacity, initialShare, warmUpTime));
    }

    void ringSent(Moment time, int controller, String switchAddress) {
        ColdSwitch coldSwitch = coldSwitches.get(switchAddress);
        if (coldSwitch == null || time.since(coldSwitch.startedAt).longerThan(coldSwitch.warmUpTime)) {
            return;
        }
        caseCount++;
        coldSwitch.recentRings.add(time);
        while (time.since(coldSwitch.recentRings.peek()).longerThan(window)) {
            coldSwitch.recentRings.poll();
        }
        double capacityShare = coldSwitch.initialShare
                + (1 - coldSwitch.initialShare)
                        * time.since(coldSwitch.startedAt).ratioTo(coldSwitch.warmUpTime);
        double maxRings = loadMultiple * coldSwitch.capacity * capacityShare * window.ns() / 1e9;
        if (coldSwitch.recentRings.size() > maxRings + RING_TOLERANCE && !coldSwitch.reported) {
            coldSwitch.reported = true;
            violations.add("switch " + switchAddress + ": " + coldSwitch.recentRings.size() + " rings in "
                    + window.ns() / 1_000_000 + " ms, "
                    + time.since(coldSwitch.startedAt).ns() / 1_000_000 + " ms after its cold start; "
                    + Math.round(maxRings)
                    + " are allowed; the last came from controller " + controller);
        }
    }

    RuleResult result() {
        return new RuleResult(4, "no cold switch pushed over", caseCount, violations);
    }
}
