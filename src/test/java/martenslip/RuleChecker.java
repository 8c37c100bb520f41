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
    private record ColdStart(Moment since, double perSecond) {}

    private record SentRing(long target, Moment at) {}

    private static final double COLD_SHARE = 0.3;
    private static final double MULTIPLE = 3;
    private static final Span WINDOW = Span.ofMillis(1500);

    private final Span grace;
    private final Span release;
    private final Span warm;
    private final Map<String, Moment> owed = new HashMap<>();
    private final Set<String> over = new HashSet<>();
    private final Map<String, Integer> out = new HashMap<>();
    private final Map<String, Moment> mayHold = new HashMap<>();
    private final Map<String, Moment> drained = new HashMap<>();
    private final Map<Long, ColdStart> cold = new HashMap<>();
    private final List<SentRing> sent = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    public RuleChecker(Span grace, Span release, Span warm) {
        this.grace = grace;
        this.release = release;
        this.warm = warm;
    }

    public List<String> violations() {
        return violations;
    }

    public void addViolation(Object rule, String what) {
        violations.add(rule + ": " + what);
    }

    public void contactTaken(String contact, Moment until) {
        owed.put(contact, until);
    }

    /** A final answer that the controller gives, or the first word of a ring that stands. */
    public void contactAnswered(Moment now, String contact) {
        Moment until = owed.remove(contact);
        if (until == null) {
            addViolation(1, contact + " was answered and owed nothing");
        } else if (until.before(now)) {
            addViolation(1, contact + " was answered after its patience");
        }
        over.add(contact);
    }

    /** The caller has gone, or the controller was killed: nothing is owed any more. */
    public void callerGone(String contact) {
        owed.remove(contact);
        over.add(contact);
    }

    public void ringSent(Moment now, String controller, String contact, long target) {
        if (over.contains(contact) || !owed.containsKey(contact)) {
            addViolation(1, contact + " was rung after its end");
        }
        if (out.merge(contact, 1, Integer::sum) > 1) {
            addViolation(2, contact + " has two rings out");
        }
        Moment told = drained.get(controller + " " + target);
        if (told != null && told.plus(grace).before(now)) {
            addViolation(3, contact + " was sent to " + target + " after the drain grace");
        }
        Moment held = mayHold.get(contact);
        if (held != null && now.before(held.plus(release))) {
            addViolation(5, contact + " was sent within the release");
        }
        sent.add(new SentRing(target, now));
        ColdStart start = cold.get(target);
        if (start != null) {
            double age = Math.min(1, now.since(start.since).ratioTo(warm));
            double budget = MULTIPLE * start.perSecond * (COLD_SHARE + (1 - COLD_SHARE) * age) * WINDOW.ns() / 1e9;
            long recent = sent.stream()
                    .filter(one -> one.target == target && !now.since(one.at).longerThan(WINDOW))
                    .count();
            if (recent > budget) {
                addViolation(4, target + " got " + recent + " set-ups while cold, budget " + budget);
            }
        }
    }

    /** {@code held}: it timed out, was cut or was called off, and may still hold something. */
    public void ringEnded(Moment now, String contact, boolean held) {
        out.merge(contact, -1, Integer::sum);
        if (held) {
            mayHold.put(contact, now);
        }
    }

    public void setDraining(Moment now, String controller, long target, boolean drains) {
        if (drains) {
            drained.putIfAbsent(controller + " " + target, now);
        } else {
            drained.remove(controller + " " + target);
        }
    }

    /** A processor that takes so many set-ups a second when warm has just started. */
    public void switchStarted(Moment now, long target, double perSecond) {
        cold.put(target, new ColdStart(now, perSecond));
        sent.clear();
    }

    /** Called whenever time has moved: rule 1 needs no event to break. */
    public void checkDeadlines(Moment now) {
        owed.forEach((contact, until) -> {
            if (until.before(now)) {
                addViolation(1, contact + " has no answer and its patience is over");
            }
        });
    }
}
