package martenslip.expect;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import martenslip.expect.Expectation.Condition;
import martenslip.expect.Expectation.Outcome;
import martenslip.expect.Expectation.Quantifier;
import martenslip.expect.Expectation.Route;

/**
 * Pairs of expectations that can't both hold in one state. An expectation without conditions speaks of the state in
 * which nothing is wrong, so it meets none that has some.
 */
public final class Contradictions {
    /** The two, why, and a state in which both are demanded. */
    public record Contradiction(Expectation one, Expectation other, String reason, List<Condition> state) {}

    private Contradictions() {}

    public static List<Contradiction> find(List<Expectation> all) {
        List<Contradiction> pairs = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            for (int j = i + 1; j < all.size(); j++) {
                List<Condition> state = together(all.get(i), all.get(j));
                String why = state == null || !meet(all.get(i), all.get(j)) ? null : why(all.get(i), all.get(j));
                if (why != null) {
                    pairs.add(new Contradiction(all.get(i), all.get(j), why, state));
                }
            }
        }
        if (pairs.isEmpty()) {
            parts(all, pairs);
        }
        return pairs;
    }

    /** Parts of the same contacts in the same state that go apart from each other and add up past all of them. */
    private static void parts(List<Expectation> all, List<Contradiction> pairs) {
        for (int i = 0; i < all.size(); i++) {
            Expectation first = all.get(i);
            List<Route> taken = new ArrayList<>();
            int sum = 0;
            for (int j = i; j < all.size() && sum <= 100; j++) {
                Expectation one = all.get(j);
                if (one.often() == Quantifier.AT_LEAST
                        && one.outcome() instanceof Outcome.Routed goes
                        && alike(first, one)
                        && taken.stream()
                                .allMatch(route -> apart(route, goes.routes().get(0)))) {
                    taken.add(goes.routes().get(0));
                    sum += one.percent();
                    if (sum > 100) {
                        pairs.add(new Contradiction(
                                first,
                                one,
                                "the parts of " + taken.size() + " lines add up to " + sum + "%",
                                first.conditions()));
                    }
                }
            }
        }
    }

    private static boolean alike(Expectation a, Expectation b) {
        return a.skill() == b.skill()
                && a.from().equals(b.from())
                && a.to().equals(b.to())
                && Set.copyOf(a.conditions()).equals(Set.copyOf(b.conditions()));
    }

    private static boolean apart(Route a, Route b) {
        return a.via().isEmpty() != b.via().isEmpty()
                || !a.via().isEmpty() && a.via().stream().noneMatch(b.via()::contains);
    }

    /** True where some contact is spoken of by both. */
    private static boolean meet(Expectation a, Expectation b) {
        boolean skill = a.skill() < 0 || b.skill() < 0 || a.skill() == b.skill();
        return skill && overlap(a.from(), b.from()) && overlap(a.to(), b.to());
    }

    private static boolean overlap(Set<Integer> a, Set<Integer> b) {
        return a.isEmpty() || b.isEmpty() || a.stream().anyMatch(b::contains);
    }

    /** The least state that meets both conditions, or null where they exclude each other. */
    static List<Condition> together(Expectation a, Expectation b) {
        if (a.conditions().isEmpty() != b.conditions().isEmpty()) {
            return null;
        }
        Set<Condition> all = new LinkedHashSet<>(a.conditions());
        all.addAll(b.conditions());
        Set<Object> spoken = new HashSet<>();
        for (Condition one : all) {
            Object of = one instanceof Condition.Desk desk
                    ? (Object) desk.exchange()
                    : one instanceof Condition.Group group ? group.name() : "cut";
            if (!spoken.add(of)) {
                return null;
            }
        }
        return List.copyOf(all);
    }

    private static String why(Expectation a, Expectation b) {
        if (a.outcome() instanceof Outcome.Routed one && b.outcome() instanceof Outcome.Routed other) {
            return routes(a, one.routes().get(0), b, other.routes().get(0));
        }
        boolean same = a.outcome().getClass() == b.outcome().getClass();
        if (same) {
            return clash(a.often(), b.often()) ? "one says never" : null;
        }
        boolean goes = a.outcome() instanceof Outcome.Routed || b.outcome() instanceof Outcome.Routed;
        if (goes) {
            // A contact that was rung for may still stand or be deferred.
            return null;
        }
        return shares(a) + shares(b) > 100 ? "a contact that stands is not deferred" : null;
    }

    private static boolean clash(Quantifier a, Quantifier b) {
        return a == Quantifier.NEVER && b != Quantifier.NEVER || b == Quantifier.NEVER && a != Quantifier.NEVER;
    }

    /** What part of contacts it claims, at least. */
    private static int shares(Expectation one) {
        return switch (one.often()) {
            case ALWAYS -> 100;
            case AT_LEAST -> one.percent();
            case MAY -> 1;
            case NEVER -> 0;
        };
    }

    private static String routes(Expectation a, Route one, Expectation b, Route other) {
        if (a.often() == Quantifier.NEVER && b.often() == Quantifier.NEVER) {
            return null;
        }
        if (a.often() == Quantifier.NEVER || b.often() == Quantifier.NEVER) {
            Route never = a.often() == Quantifier.NEVER ? one : other;
            Route wanted = a.often() == Quantifier.NEVER ? other : one;
            boolean within = never.via().isEmpty()
                    ? wanted.via().isEmpty()
                    : !wanted.via().isEmpty() && never.via().containsAll(wanted.via());
            return within ? "one says never" : null;
        }
        return apart(one, other) && shares(a) + shares(b) > 100
                ? "the first ring can't go both ways" + (shares(a) + shares(b) < 200 ? " that often" : "")
                : null;
    }
}
