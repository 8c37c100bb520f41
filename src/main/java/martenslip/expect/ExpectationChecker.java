package martenslip.expect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.ControllerFactory;
import martenslip.expect.Expectation.Condition;
import martenslip.expect.Expectation.Outcome;
import martenslip.expect.Expectation.Quantifier;
import martenslip.expect.Expectation.Route;

/**
 * Checks expectations against the behaviour of the routing policy, by simulated contacts. Random choices of a tandem
 * are covered by several seeds: if n trials pass, a failure rate above 3/n would have shown with a probability of 95
 * percent. Expectations share the results of equal trials. Not thread-safe.
 */
public final class ExpectationChecker {
    /** The result for one expectation: {@code metCount} of the trials met it; the reason is empty where it holds. */
    public record Result(Expectation expectation, int trials, int metCount, String reason) {
        /** Returns whether the expectation holds. */
        public boolean holds() {
            return reason.isEmpty();
        }
    }

    private record TrialKey(int skill, int destination, Set<Condition> conditions, long seed) {}

    /** Trials for a destination and skill; fewer for an expectation of many pairs, see the next two constants. */
    private static final int TRIALS_PER_PAIR = 60;

    private static final int MIN_TRIALS_PER_PAIR = 6;
    private static final int MAX_TRIALS_PER_EXPECTATION = 600;
    /** Trials for a share: its standard deviation is then below 3 percent. */
    private static final int TRIALS_FOR_SHARE = 300;

    private final Map<Integer, ExchangeConfiguration> configurations;
    private final ExchangeConfiguration origin;
    private final Map<Integer, String> regionsByExchange;
    private final Map<Integer, String> namesByExchange;
    private final ControllerFactory controllerFactory;
    private final Map<TrialKey, ContactTrial.RouteTaken> trials = new HashMap<>();

    /**
     * Creates a checker.
     *
     * @param configurations configurations by exchange number: of the origin and, as far as known, of others
     * @param originNumber number of the exchange whose routing is checked
     * @param contents names and regions of exchanges
     */
    public ExpectationChecker(
            Map<Integer, ExchangeConfiguration> configurations,
            int originNumber,
            ExpectationFile.Contents contents,
            ControllerFactory controllerFactory) {
        this.configurations = configurations;
        this.origin = configurations.get(originNumber);
        regionsByExchange = contents.regions();
        namesByExchange = contents.names();
        this.controllerFactory = controllerFactory;
    }

    /** Returns the number of trials that were run; trials that expectations share count once. */
    public int trialCount() {
        return trials.size();
    }

    /** Returns the destinations that the expectation applies to, or all where it is null. */
    private List<Integer> destinations(Expectation expectation) {
        List<Integer> destinations = new ArrayList<>();
        for (int exchange : origin.numbering().exchanges()) {
            if (exchange != origin.number()
                    && (expectation == null
                            || expectation.destinations().isEmpty()
                            || expectation.destinations().contains(exchange))) {
                destinations.add(exchange);
            }
        }
        return destinations;
    }

    /** Returns the route of a trial; runs the trial at the first request. */
    private ContactTrial.RouteTaken route(int skill, int destination, List<Condition> conditions, long seed) {
        return trials.computeIfAbsent(
                new TrialKey(skill, destination, Set.copyOf(conditions), seed),
                key -> new ContactTrial(
                                configurations, origin.number(), regionsByExchange, controllerFactory, conditions, seed)
                        .offer(skill, destination));
    }

    /** Checks one expectation; the reason of a violation names the first contact that violates it. */
    public Result check(Expectation expectation) {
        List<Integer> destinations = destinations(expectation);
        List<Integer> skills = new ArrayList<>();
        for (int i = 0; i < origin.skills().size(); i++) {
            if (expectation.skill() < 0 || expectation.skill() == i) {
                skills.add(i);
            }
        }
        int pairCount = Math.max(1, destinations.size() * skills.size());
        int trialsPerPair = expectation.quantifier() == Quantifier.AT_LEAST
                ? TRIALS_FOR_SHARE
                : Math.max(MIN_TRIALS_PER_PAIR, Math.min(TRIALS_PER_PAIR, MAX_TRIALS_PER_EXPECTATION / pairCount));
        int trialCount = 0;
        int metCount = 0;
        String reason = "";
        for (int destination : destinations) {
            for (int skill : skills) {
                int metForPair = 0;
                for (int seed = 0; seed < trialsPerPair; seed++) {
                    ContactTrial.RouteTaken route = route(skill, destination, expectation.conditions(), seed);
                    boolean satisfied = satisfies(expectation, route, destination);
                    metForPair += satisfied ? 1 : 0;
                    boolean violated = expectation.quantifier() == Quantifier.ALWAYS && !satisfied
                            || expectation.quantifier() == Quantifier.NEVER && satisfied;
                    if (violated && reason.isEmpty()) {
                        reason = origin.skills().get(skill).name() + " to " + name(destination) + " went "
                                + describe(route, destination);
                    }
                }
                trialCount += trialsPerPair;
                metCount += metForPair;
                reason = reason.isEmpty()
                        ? shareFailure(expectation, metForPair, trialsPerPair, destination, skill)
                        : reason;
            }
        }
        return new Result(
                expectation, trialCount, metCount, destinations.isEmpty() ? "it applies to no contact" : reason);
    }

    /** Returns why the share of trials is too small for a {@code may} or {@code at least}; empty where it isn't. */
    private String shareFailure(Expectation expectation, int metCount, int trials, int destination, int skill) {
        String contacts = origin.skills().get(skill).name() + " to " + name(destination);
        if (expectation.quantifier() == Quantifier.MAY && metCount == 0) {
            return contacts + " never did in " + trials + " trials; "
                    + mostFrequentRoute(expectation, destination, skill);
        }
        // Two standard deviations below the expected share are still put down to chance.
        double expectedShare = expectation.percent() / 100.0;
        double tolerance = 2 * Math.sqrt(expectedShare * (1 - expectedShare) / trials);
        if (expectation.quantifier() == Quantifier.AT_LEAST && (double) metCount / trials < expectedShare - tolerance) {
            return contacts + " did in " + Math.round(100.0 * metCount / trials) + "% of " + trials + " trials; "
                    + mostFrequentRoute(expectation, destination, skill);
        }
        return "";
    }

    /** Describes the most frequent route of the first trials. */
    private String mostFrequentRoute(Expectation expectation, int destination, int skill) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int seed = 0; seed < MIN_TRIALS_PER_PAIR; seed++) {
            counts.merge(
                    describe(route(skill, destination, expectation.conditions(), seed), destination), 1, Integer::sum);
        }
        return "most went "
                + counts.entrySet().stream()
                        .max(Map.Entry.comparingByValue())
                        .orElseThrow()
                        .getKey();
    }

    private static boolean satisfies(Expectation expectation, ContactTrial.RouteTaken taken, int destination) {
        if (expectation.outcome() instanceof Outcome.Established) {
            return taken.finalState() == ContactTrial.FinalState.STOOD;
        }
        if (expectation.outcome() instanceof Outcome.Deferred) {
            return taken.finalState() == ContactTrial.FinalState.DEFERRED;
        }
        List<Route> routes = ((Outcome.Routed) expectation.outcome()).routes();
        if (expectation.quantifier() == Quantifier.NEVER) {
            return taken.triedExchanges().stream()
                    .anyMatch(exchange -> routes.get(0).takes(exchange, destination)
                            && (routes.get(0).via().isEmpty() || exchange != destination));
        }
        for (int i = 0; i < taken.triedExchanges().size(); i++) {
            Route route = routes.get(Math.min(i, routes.size() - 1));
            if (!route.takes(taken.triedExchanges().get(i), destination)) {
                // Without an else, the expectation applies to the first ring only.
                return routes.size() == 1 && i > 0;
            }
        }
        return !taken.triedExchanges().isEmpty();
    }

    private String name(int exchange) {
        return namesByExchange.getOrDefault(exchange, "exchange " + exchange);
    }

    /** Describes a route: the exchange and result of each ring, then the final state. */
    private String describe(ContactTrial.RouteTaken route, int destination) {
        StringBuilder description = new StringBuilder();
        for (int i = 0; i < route.triedExchanges().size(); i++) {
            int exchange = route.triedExchanges().get(i);
            String result = i < route.ringResults().size() ? route.ringResults().get(i) : "no answer";
            description
                    .append(i == 0 ? "" : ", then ")
                    .append(exchange == destination ? "direct" : "via " + name(exchange))
                    .append(" (")
                    .append(result)
                    .append(')');
        }
        String finalState = route.finalState().toString().toLowerCase(java.util.Locale.ROOT);
        return description.isEmpty()
                ? "nowhere and was " + finalState
                : description + " and " + (finalState.equals("stood") ? finalState : "was " + finalState);
    }

    /** Returns the pairs of skill and destination that no expectation applies to. */
    public List<String> uncovered(List<Expectation> expectations) {
        List<String> uncovered = new ArrayList<>();
        for (int destination : destinations(null)) {
            for (int skill = 0; skill < origin.skills().size(); skill++) {
                int skillIndex = skill;
                boolean covered = expectations.stream()
                        .anyMatch(expectation -> (expectation.skill() < 0 || expectation.skill() == skillIndex)
                                && (expectation.destinations().isEmpty()
                                        || expectation.destinations().contains(destination)));
                if (!covered) {
                    uncovered.add(origin.skills().get(skill).name() + " to " + name(destination));
                }
            }
        }
        return uncovered;
    }

    /**
     * Returns weaknesses of the configuration that need no expectation: unreachable destinations, destinations that
     * depend on a single tandem, and redundant or shadowed prefixes.
     */
    public List<String> findings() {
        List<String> findings = new ArrayList<>();
        int skill = origin.defaultSkill();
        for (int destination : destinations(null)) {
            Set<Integer> lastExchanges = new java.util.TreeSet<>();
            int establishedCount = 0;
            for (int seed = 0; seed < TRIALS_PER_PAIR; seed++) {
                ContactTrial.RouteTaken route = route(skill, destination, List.of(), seed);
                establishedCount += route.finalState() == ContactTrial.FinalState.STOOD ? 1 : 0;
                if (route.finalState() == ContactTrial.FinalState.STOOD) {
                    lastExchanges.add(
                            route.triedExchanges().get(route.triedExchanges().size() - 1));
                }
            }
            if (establishedCount == 0) {
                findings.add("nothing reaches " + name(destination) + ": it went "
                        + describe(route(skill, destination, List.of(), 0), destination));
            } else if (lastExchanges.size() == 1 && !lastExchanges.contains(destination)) {
                findings.add(name(destination) + " is reached by one tandem alone, "
                        + name(lastExchanges.iterator().next()));
            }
        }
        origin.numbering()
                .redundant()
                .forEach(digits ->
                        findings.add("prefix " + digits + " is redundant: a shorter one leads to the same exchange"));
        origin.numbering()
                .shadowed()
                .forEach(digits -> findings.add(
                        "prefix " + digits + " is shadowed: longer ones cover each digit that may follow"));
        return findings;
    }

    /** Returns, for each skill and destination, an expectation that holds without any fault. */
    public List<String> suggested() {
        List<String> lines = new ArrayList<>();
        for (int destination : destinations(null)) {
            for (int skill = 0; skill < origin.skills().size(); skill++) {
                Set<Integer> firstExchanges = new java.util.TreeSet<>();
                boolean alwaysEstablished = true;
                for (int seed = 0; seed < TRIALS_PER_PAIR; seed++) {
                    ContactTrial.RouteTaken route = route(skill, destination, List.of(), seed);
                    alwaysEstablished &= route.finalState() == ContactTrial.FinalState.STOOD;
                    firstExchanges.add(
                            route.triedExchanges().isEmpty()
                                    ? -1
                                    : route.triedExchanges().get(0));
                }
                String contacts = origin.skills().get(skill).name() + " to " + name(destination) + " ";
                if (firstExchanges.equals(Set.of(destination))) {
                    lines.add(contacts + "goes direct");
                } else if (!firstExchanges.contains(-1) && !firstExchanges.contains(destination)) {
                    lines.add(contacts + "goes via "
                            + String.join(
                                    " or ",
                                    firstExchanges.stream().map(this::name).toList()));
                } else if (alwaysEstablished) {
                    lines.add(contacts + "stands");
                }
            }
        }
        return lines;
    }
}
