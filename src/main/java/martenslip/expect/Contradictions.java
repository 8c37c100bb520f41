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
 * Finds expectations that can't hold together. An expectation without conditions applies only to the state without any
 * fault, so it never contradicts one that has conditions.
 */
public final class Contradictions {
    /** Two expectations, the reason why they contradict each other, and a state in which both apply. */
    public record Contradiction(Expectation first, Expectation second, String reason, List<Condition> state) {}

    private Contradictions() {}

    /**
     * Returns the pairs that contradict each other. Where there are none, returns groups of shares that add up to more
     * than 100 percent, each as its first and last expectation.
     */
    public static List<Contradiction> find(List<Expectation> expectations) {
        List<Contradiction> contradictions = new ArrayList<>();
        for (int i = 0; i < expectations.size(); i++) {
            for (int j = i + 1; j < expectations.size(); j++) {
                List<Condition> state = commonState(expectations.get(i), expectations.get(j));
                String reason = state == null || !shareContacts(expectations.get(i), expectations.get(j))
                        ? null
                        : reason(expectations.get(i), expectations.get(j));
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

    /**
     * Finds shares of the same contacts in the same state with disjoint routes that add up to more than 100 percent.
     */
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
                                .allMatch(
                                        route -> disjoint(route, routed.routes().get(0)))) {
                    disjointRoutes.add(routed.routes().get(0));
                    percentSum += expectation.percent();
                    if (percentSum > 100) {
                        contradictions.add(new Contradiction(
                                first,
                                expectation,
                                "the shares of " + disjointRoutes.size() + " lines add up to " + percentSum + "%",
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

    /** Returns whether no ring takes both routes. */
    private static boolean disjoint(Route first, Route second) {
        return first.via().isEmpty() != second.via().isEmpty()
                || !first.via().isEmpty() && first.via().stream().noneMatch(second.via()::contains);
    }

    /** Returns whether some contact is subject to both expectations. */
    private static boolean shareContacts(Expectation first, Expectation second) {
        boolean sameSkill = first.skill() < 0 || second.skill() < 0 || first.skill() == second.skill();
        return sameSkill
                && overlap(first.origins(), second.origins())
                && overlap(first.destinations(), second.destinations());
    }

    /** Returns whether the sets have a common element; an empty set contains all. */
    private static boolean overlap(Set<Integer> first, Set<Integer> second) {
        return first.isEmpty() || second.isEmpty() || first.stream().anyMatch(second::contains);
    }

    /**
     * Returns the smallest state in which both expectations apply, or null where their conditions exclude each other.
     */
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

    /** Returns why the two outcomes exclude each other, or null where they don't. */
    private static String reason(Expectation first, Expectation second) {
        if (first.outcome() instanceof Outcome.Routed firstRouted
                && second.outcome() instanceof Outcome.Routed secondRouted) {
            return routeConflict(
                    first,
                    firstRouted.routes().get(0),
                    second,
                    secondRouted.routes().get(0));
        }
        boolean sameOutcome = first.outcome().getClass() == second.outcome().getClass();
        if (sameOutcome) {
            return exactlyOneNever(first.quantifier(), second.quantifier()) ? "one of them says never" : null;
        }
        boolean anyRouted = first.outcome() instanceof Outcome.Routed || second.outcome() instanceof Outcome.Routed;
        if (anyRouted) {
            // A contact may be routed as expected and still be established or deferred.
            return null;
        }
        return minimumPercent(first) + minimumPercent(second) > 100
                ? "a contact can't be both established and deferred"
                : null;
    }

    private static boolean exactlyOneNever(Quantifier first, Quantifier second) {
        return first == Quantifier.NEVER && second != Quantifier.NEVER
                || second == Quantifier.NEVER && first != Quantifier.NEVER;
    }

    /** Returns the smallest percentage of contacts that must have the outcome; 1 means at least one contact. */
    private static int minimumPercent(Expectation expectation) {
        return switch (expectation.quantifier()) {
            case ALWAYS -> 100;
            case AT_LEAST -> expectation.percent();
            case MAY -> 1;
            case NEVER -> 0;
        };
    }

    /** Returns why the first routes of two expectations exclude each other, or null where they don't. */
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
            return contradictory ? "one of them says never" : null;
        }
        return disjoint(firstRoute, secondRoute) && minimumPercent(first) + minimumPercent(second) > 100
                ? "the first ring can't take both routes"
                        + (minimumPercent(first) + minimumPercent(second) < 200 ? " that often" : "")
                : null;
    }
}
