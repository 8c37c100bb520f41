package martenslip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Checks the operators' five rules (see {@link martenslip.control}) on all calls and messages between a program and its
 * module, or between an exchange and the network, without knowledge of the code under test. Contacts are named by their
 * controller and id.
 *
 * <ol>
 *   <li>Each contact gets one final answer within its patience, and no ring after it.
 *   <li>A contact has at most one ring in flight.
 *   <li>A draining switch gets no rings after the drain grace.
 *   <li>A cold switch gets no more rings in a window than its budget.
 *   <li>After a ring that may still hold circuits, no ring is sent for the contact during the release time.
 * </ol>
 */
public final class RuleChecker {
    private record ColdStart(Moment since, double setUpsPerSecond) {}

    private record SentRing(long target, Moment sentAt) {}

    private static final double COLD_SHARE = 0.3;
    private static final double MAX_COLD_MULTIPLE = 3;
    private static final Span COLD_WINDOW = Span.ofMillis(1500);

    private final Span drainGrace;
    private final Span releaseTime;
    private final Span warmUpTime;
    private final Map<String, Moment> unansweredUntil = new HashMap<>();
    private final Set<String> ended = new HashSet<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Map<String, Moment> heldRingEndedAt = new HashMap<>();
    private final Map<String, Moment> drainingSince = new HashMap<>();
    private final Map<Long, ColdStart> coldStarts = new HashMap<>();
    private final List<SentRing> sentRings = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    public RuleChecker(Span drainGrace, Span releaseTime, Span warmUpTime) {
        this.drainGrace = drainGrace;
        this.releaseTime = releaseTime;
        this.warmUpTime = warmUpTime;
    }

    public List<String> violations() {
        return violations;
    }

    public void addViolation(Object rule, String description) {
        violations.add(rule + ": " + description);
    }

    public void contactTaken(String contact, Moment deadline) {
        unansweredUntil.put(contact, deadline);
    }

    /** The controller sent a final answer, or a ring of the contact was established. */
    public void contactAnswered(Moment now, String contact) {
        Moment deadline = unansweredUntil.remove(contact);
        if (deadline == null) {
            addViolation(1, contact + " was answered though no answer was owed");
        } else if (deadline.before(now)) {
            addViolation(1, contact + " was answered after its patience");
        }
        ended.add(contact);
    }

    /** The caller has gone or the controller was killed; no answer is owed any more. */
    public void callerGone(String contact) {
        unansweredUntil.remove(contact);
        ended.add(contact);
    }

    public void ringSent(Moment now, String controller, String contact, long target) {
        if (ended.contains(contact) || !unansweredUntil.containsKey(contact)) {
            addViolation(1, contact + " was rung after its end");
        }
        if (inFlight.merge(contact, 1, Integer::sum) > 1) {
            addViolation(2, contact + " has two rings in flight");
        }
        Moment drainSince = drainingSince.get(controller + " " + target);
        if (drainSince != null && drainSince.plus(drainGrace).before(now)) {
            addViolation(3, contact + " was sent to " + target + " after the drain grace");
        }
        Moment heldEnd = heldRingEndedAt.get(contact);
        if (heldEnd != null && now.before(heldEnd.plus(releaseTime))) {
            addViolation(5, contact + " was sent within the release time");
        }
        sentRings.add(new SentRing(target, now));
        ColdStart coldStart = coldStarts.get(target);
        if (coldStart != null) {
            double warmUpProgress = Math.min(1, now.since(coldStart.since).ratioTo(warmUpTime));
            double budget = MAX_COLD_MULTIPLE
                    * coldStart.setUpsPerSecond
                    * (COLD_SHARE + (1 - COLD_SHARE) * warmUpProgress)
                    * COLD_WINDOW.ns()
                    / 1e9;
            long recent = sentRings.stream()
                    .filter(ring ->
                            ring.target == target && !now.since(ring.sentAt).longerThan(COLD_WINDOW))
                    .count();
            if (recent > budget) {
                addViolation(4, target + " got " + recent + " set-ups while cold, budget " + budget);
            }
        }
    }

    /** {@code mayHoldCircuits}: the ring timed out, was cut or was cancelled, and may still hold circuits. */
    public void ringEnded(Moment now, String contact, boolean mayHoldCircuits) {
        inFlight.merge(contact, -1, Integer::sum);
        if (mayHoldCircuits) {
            heldRingEndedAt.put(contact, now);
        }
    }

    public void setDraining(Moment now, String controller, long target, boolean draining) {
        if (draining) {
            drainingSince.putIfAbsent(controller + " " + target, now);
        } else {
            drainingSince.remove(controller + " " + target);
        }
    }

    /** A processor has just started that accepts this many set-ups a second when warm. */
    public void switchStarted(Moment now, long target, double setUpsPerSecond) {
        coldStarts.put(target, new ColdStart(now, setUpsPerSecond));
        sentRings.clear();
    }

    /** Called whenever time has advanced, as rule 1 (final answer in time) can be violated without an event. */
    public void checkDeadlines(Moment now) {
        unansweredUntil.forEach((contact, deadline) -> {
            if (deadline.before(now)) {
                addViolation(1, contact + " has no answer and its patience is over");
            }
        });
    }
}
