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
    public record Contradiction(Expectation first, Expectation second, String reason, List<Condition> state) {}

    private Contradictions() {}

    public static List<Contradiction> find(List<Expectation> expectations) {
        List<Contradiction> contradictions = new ArrayList<>();
        for (int i = 0; i < expectations.size(); i++) {
            for (int j = i + 1; j < expectations.size(); j++) {
                List<Condition> state = commonState(expectations.get(i), expectations.get(j));
                String reason = state == null || !shareContacts(expectations.get(i), expectations.get(j)) ? null : reason(expectations.get(i), expectations.get(j));
                if (reason != null) {
                    contradictions.add(new Contradiction(expectations.get(i), expectations.get(j), reason, state));
                }
            }
        }
        if (contradictions.isEmpty()) {
            findExcessiveShares(expectations, contradictions);
        }
        return contradictions;
    }

    /** Parts of the same contacts in the same state that go apart from each other and add up past all of them. */
    private static void findExcessiveShares(List<Expectation> expectations, List<Contradiction> contradictions) {
        for (int i = 0; i < expectations.size(); i++) {
            Expectation first = expectations.get(i);
            List<Route> disjointRoutes = new ArrayList<>();
            int percentSum = 0;
            for (int j = i; j < expectations.size() && percentSum <= 100; j++) {
                Expectation expectation = expectations.get(j);
                if (expectation.quantifier() == Quantifier.AT_LEAST
                        && expectation.outcome() instanceof Outcome.Routed routed
                        && sameContactsAndState(first, expectation)
                        && disjointRoutes.stream()
                                .allMatch(route -> disjoint(route, routed.routes().get(0)))) {
                    disjointRoutes.add(routed.routes().get(0));
                    percentSum += expectation.percent();
                    if (percentSum > 100) {
                        contradictions.add(new Contradiction(
                                first,
                                expectation,
                                "the parts of " + disjointRoutes.size() + " lines add up to " + percentSum + "%",
                                first.conditions()));
                    }
                }
            }
        }
    }

    private static boolean sameContactsAndState(Expectation first, Expectation second) {
        return first.skill() == second.skill()
                && first.origins().equals(second.origins())
                && first.destinations().equals(second.destinations())
                && Set.copyOf(first.conditions()).equals(Set.copyOf(second.conditions()));
    }

    private static boolean disjoint(Route first, Route second) {
        return first.via().isEmpty() != second.via().isEmpty()
                || !first.via().isEmpty() && first.via().stream().noneMatch(second.via()::contains);
    }

    /** True where some contact is spoken of by both. */
    private static boolean shareContacts(Expectation first, Expectation second) {
        boolean sameSkill = first.skill() < 0 || second.skill() < 0 || first.skill() == second.skill();
        return sameSkill && overlap(first.origins(), second.origins()) && overlap(first.destinations(), second.destinations());
    }

    private static boolean overlap(Set<Integer> first, Set<Integer> second) {
        return first.isEmpty() || second.isEmpty() || first.stream().anyMatch(second::contains);
    }

    /** The least state that meets both conditions, or null where they exclude each other. */
    static List<Condition> commonState(Expectation first, Expectation second) {
        if (first.conditions().isEmpty() != second.conditions().isEmpty()) {
            return null;
        }
        Set<Condition> conditions = new LinkedHashSet<>(first.conditions());
        conditions.addAll(second.conditions());
        Set<Object> subjects = new HashSet<>();
        for (Condition condition : conditions) {
            Object subject = condition instanceof Condition.Desk desk
                    ? (Object) desk.exchange()
                    : condition instanceof Condition.Group group ? group.name() : "cut";
            if (!subjects.add(subject)) {
                return null;
            }
        }
        return List.copyOf(conditions);
    }

    private static String reason(Expectation first, Expectation second) {
        if (first.outcome() instanceof Outcome.Routed firstRouted && second.outcome() instanceof Outcome.Routed secondRouted) {
            return routeConflict(first, firstRouted.routes().get(0), second, secondRouted.routes().get(0));
        }
        boolean sameOutcome = first.outcome().getClass() == second.outcome().getClass();
        if (sameOutcome) {
            return exactlyOneNever(first.quantifier(), second.quantifier()) ? "one says never" : null;
        }
        boolean anyRouted = first.outcome() instanceof Outcome.Routed || second.outcome() instanceof Outcome.Routed;
        if (anyRouted) {
            // A contact that was rung for may still stand or be deferred.
            return null;
        }
        return minimumPercent(first) + minimumPercent(second) > 100 ? "a contact that stands is not deferred" : null;
    }

    private static boolean exactlyOneNever(Quantifier first, Quantifier second) {
        return first == Quantifier.NEVER && second != Quantifier.NEVER || second == Quantifier.NEVER && first != Quantifier.NEVER;
    }

    /** What part of contacts it claims, at least. */
    private static int minimumPercent(Expectation expectation) {
        return switch (expectation.quantifier()) {
            case ALWAYS -> 100;
            case AT_LEAST -> expectation.percent();
            case MAY -> 1;
            case NEVER -> 0;
        };
    }

    private static String routeConflict(Expectation first, Route firstRoute, Expectation second, Route secondRoute) {
        if (first.quantifier() == Quantifier.NEVER && second.quantifier() == Quantifier.NEVER) {
            return null;
        }
        if (first.quantifier() == Quantifier.NEVER || second.quantifier() == Quantifier.NEVER) {
            Route forbidden = first.quantifier() == Quantifier.NEVER ? firstRoute : secondRoute;
            Route required = first.quantifier() == Quantifier.NEVER ? secondRoute : firstRoute;
            boolean contradictory = forbidden.via().isEmpty()
                    ? required.via().isEmpty()
                    : !required.via().isEmpty() && forbidden.via().containsAll(required.via());
            return contradictory ? "one says never" : null;
        }
        return disjoint(firstRoute, secondRoute) && minimumPercent(first) + minimumPercent(second) > 100
                ? "the first ring can't go both ways" + (minimumPercent(first) + minimumPercent(second) < 200 ? " that often" : "")
                : null;
    }
}
