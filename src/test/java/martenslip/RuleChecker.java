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
 * The five rules as the operators wrote them, over what passes between a program and its module, or between an
 * exchange and the wire. It knows nothing of the code under test. Contacts are named by their controller and id.
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

    /** A final answer that the controller gives, or the first word of a ring that stands. */
    public void contactAnswered(Moment now, String contact) {
        Moment deadline = unansweredUntil.remove(contact);
        if (deadline == null) {
            addViolation(1, contact + " was answered and owed nothing");
        } else if (deadline.before(now)) {
            addViolation(1, contact + " was answered after its patience");
        }
        ended.add(contact);
    }

    /** The caller has gone, or the controller was killed: nothing is owed any more. */
    public void callerGone(String contact) {
        unansweredUntil.remove(contact);
        ended.add(contact);
    }

    public void ringSent(Moment now, String controller, String contact, long target) {
        if (ended.contains(contact) || !unansweredUntil.containsKey(contact)) {
            addViolation(1, contact + " was rung after its end");
        }
        if (inFlight.merge(contact, 1, Integer::sum) > 1) {
            addViolation(2, contact + " has two rings out");
        }
        Moment drainSince = drainingSince.get(controller + " " + target);
        if (drainSince != null && drainSince.plus(drainGrace).before(now)) {
            addViolation(3, contact + " was sent to " + target + " after the drain grace");
        }
        Moment heldEnd = heldRingEndedAt.get(contact);
        if (heldEnd != null && now.before(heldEnd.plus(releaseTime))) {
            addViolation(5, contact + " was sent within the release");
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

    /** {@code held}: it timed out, was cut or was called off, and may still hold something. */
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

    /** A processor that takes so many set-ups a second when warm has just started. */
    public void switchStarted(Moment now, long target, double setUpsPerSecond) {
        coldStarts.put(target, new ColdStart(now, setUpsPerSecond));
        sentRings.clear();
    }

    /** Called whenever time has moved: rule 1 needs no event to break. */
    public void checkDeadlines(Moment now) {
        unansweredUntil.forEach((contact, deadline) -> {
            if (deadline.before(now)) {
                addViolation(1, contact + " has no answer and its patience is over");
            }
        });
    }
}
