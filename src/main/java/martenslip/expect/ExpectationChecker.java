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
 * Holds expectations against what the module does. Draws of a tandem are covered by seeds: with n trials without a
 * failure, what fails in more than 3 of n would have been seen with 95%. The same trial is made once, whatever number
 * of expectations asks for it. One thread.
 */
public final class ExpectationChecker {
    /** What came of one expectation. {@code why} is empty where it holds. */
    public record Result(Expectation expectation, int trials, int metCount, String reason) {
        public boolean holds() {
            return reason.isEmpty();
        }
    }

    private record TrialKey(int skill, int to, Set<Condition> conditions, long seed) {}

    /** For one pair and skill; wide expectations have fewer for each, and no fewer than {@link #LEAST}. */
    private static final int TRIALS = 60;

    private static final int LEAST = 6;
    private static final int WIDE = 600;
    /** For a part: its deviation is then under 3 in 100. */
    private static final int FOR_PART = 300;

    private final Map<Integer, ExchangeConfiguration> sites;
    private final ExchangeConfiguration origin;
    private final Map<Integer, String> regions;
    private final Map<Integer, String> names;
    private final ControllerFactory maker;
    private final Map<TrialKey, ContactTrial.RouteTaken> made = new HashMap<>();

    public ExpectationChecker(
            Map<Integer, ExchangeConfiguration> sites,
            int origin,
            ExpectationFile.Contents read,
            ControllerFactory maker) {
        this.sites = sites;
        this.origin = sites.get(origin);
        regions = read.regions();
        names = read.names();
        this.maker = maker;
    }

    /** Trials that were made, each once. */
    public int trialCount() {
        return made.size();
    }

    private List<Integer> destinations(Expectation one) {
        List<Integer> all = new ArrayList<>();
        for (int far : origin.numbering().exchanges()) {
            if (far != origin.number()
                    && (one == null || one.to().isEmpty() || one.to().contains(far))) {
                all.add(far);
            }
        }
        return all;
    }

    private ContactTrial.RouteTaken path(int skill, int to, List<Condition> conditions, long seed) {
        return made.computeIfAbsent(
                new TrialKey(skill, to, Set.copyOf(conditions), seed),
                any -> new ContactTrial(sites, origin.number(), regions, maker, conditions, seed).offer(skill, to));
    }

    public Result check(Expectation one) {
        List<Integer> to = destinations(one);
        List<Integer> skills = new ArrayList<>();
        for (int i = 0; i < origin.skills().size(); i++) {
            if (one.skill() < 0 || one.skill() == i) {
                skills.add(i);
            }
        }
        int pairs = Math.max(1, to.size() * skills.size());
        int each = one.often() == Quantifier.AT_LEAST ? FOR_PART : Math.max(LEAST, Math.min(TRIALS, WIDE / pairs));
        int trials = 0;
        int met = 0;
        String against = "";
        for (int far : to) {
            for (int skill : skills) {
                int here = 0;
                for (int seed = 0; seed < each; seed++) {
                    ContactTrial.RouteTaken path = path(skill, far, one.conditions(), seed);
                    boolean meets = meets(one, path, far);
                    here += meets ? 1 : 0;
                    boolean wrong =
                            one.often() == Quantifier.ALWAYS && !meets || one.often() == Quantifier.NEVER && meets;
                    if (wrong && against.isEmpty()) {
                        against = origin.skills().get(skill).name() + " to " + name(far) + " went " + told(path, far);
                    }
                }
                trials += each;
                met += here;
                against = against.isEmpty() ? share(one, here, each, far, skill) : against;
            }
        }
        return new Result(one, trials, met, to.isEmpty() ? "it speaks of no contact" : against);
    }

    private String share(Expectation one, int met, int trials, int far, int skill) {
        String which = origin.skills().get(skill).name() + " to " + name(far);
        if (one.often() == Quantifier.MAY && met == 0) {
            return which + " never did in " + trials + " trials; " + most(one, far, skill);
        }
        // Below what is asked by more than chance: two deviations.
        double part = one.percent() / 100.0;
        double slack = 2 * Math.sqrt(part * (1 - part) / trials);
        if (one.often() == Quantifier.AT_LEAST && (double) met / trials < part - slack) {
            return which + " did in " + Math.round(100.0 * met / trials) + "% of " + trials + " trials; "
                    + most(one, far, skill);
        }
        return "";
    }

    /** What most trials did. */
    private String most(Expectation one, int far, int skill) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int seed = 0; seed < LEAST; seed++) {
            counts.merge(told(path(skill, far, one.conditions(), seed), far), 1, Integer::sum);
        }
        return "most went "
                + counts.entrySet().stream()
                        .max(Map.Entry.comparingByValue())
                        .orElseThrow()
                        .getKey();
    }

    private static boolean meets(Expectation one, ContactTrial.RouteTaken path, int destination) {
        if (one.outcome() instanceof Outcome.Established) {
            return path.end() == ContactTrial.FinalState.STOOD;
        }
        if (one.outcome() instanceof Outcome.Deferred) {
            return path.end() == ContactTrial.FinalState.DEFERRED;
        }
        List<Route> routes = ((Outcome.Routed) one.outcome()).routes();
        if (one.often() == Quantifier.NEVER) {
            return path.tries().stream()
                    .anyMatch(far -> routes.get(0).takes(far, destination)
                            && (routes.get(0).via().isEmpty() || far != destination));
        }
        for (int i = 0; i < path.tries().size(); i++) {
            Route route = routes.get(Math.min(i, routes.size() - 1));
            if (!route.takes(path.tries().get(i), destination)) {
                // Without an else only the first ring is spoken of.
                return routes.size() == 1 && i > 0;
            }
        }
        return !path.tries().isEmpty();
    }

    private String name(int exchange) {
        return names.getOrDefault(exchange, "exchange " + exchange);
    }

    private String told(ContactTrial.RouteTaken path, int destination) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < path.tries().size(); i++) {
            int far = path.tries().get(i);
            String came = i < path.became().size() ? path.became().get(i) : "no answer";
            text.append(i == 0 ? "" : ", then ")
                    .append(far == destination ? "direct" : "via " + name(far))
                    .append(" (")
                    .append(came)
                    .append(')');
        }
        String end = path.end().toString().toLowerCase(java.util.Locale.ROOT);
        return text.isEmpty() ? "nowhere and was " + end : text + " and " + (end.equals("stood") ? end : "was " + end);
    }

    /** Skills and destinations that none of them speaks of. */
    public List<String> uncovered(List<Expectation> all) {
        List<String> left = new ArrayList<>();
        for (int far : destinations(null)) {
            for (int skill = 0; skill < origin.skills().size(); skill++) {
                int which = skill;
                boolean spoken = all.stream()
                        .anyMatch(one -> (one.skill() < 0 || one.skill() == which)
                                && (one.to().isEmpty() || one.to().contains(far)));
                if (!spoken) {
                    left.add(origin.skills().get(skill).name() + " to " + name(far));
                }
            }
        }
        return left;
    }

    /** What is wrong or weak with no expectation written: unreachable desks, desks that hang on one tandem, prefixes. */
    public List<String> findings() {
        List<String> found = new ArrayList<>();
        int skill = origin.defaultSkill();
        for (int far : destinations(null)) {
            Set<Integer> by = new java.util.TreeSet<>();
            int stood = 0;
            for (int seed = 0; seed < TRIALS; seed++) {
                ContactTrial.RouteTaken path = path(skill, far, List.of(), seed);
                stood += path.end() == ContactTrial.FinalState.STOOD ? 1 : 0;
                if (path.end() == ContactTrial.FinalState.STOOD) {
                    by.add(path.tries().get(path.tries().size() - 1));
                }
            }
            if (stood == 0) {
                found.add("nothing reaches " + name(far) + ": it went " + told(path(skill, far, List.of(), 0), far));
            } else if (by.size() == 1 && !by.contains(far)) {
                found.add(name(far) + " is reached by one tandem alone, "
                        + name(by.iterator().next()));
            }
        }
        origin.numbering()
                .redundant()
                .forEach(digits ->
                        found.add("prefix " + digits + " changes nothing: a shorter one leads to the same exchange"));
        origin.numbering()
                .shadowed()
                .forEach(digits ->
                        found.add("prefix " + digits + " is never met: longer ones take each digit that may follow"));
        return found;
    }

    /** An expectation for each skill and destination, as it holds today with nothing wrong. */
    public List<String> suggested() {
        List<String> lines = new ArrayList<>();
        for (int far : destinations(null)) {
            for (int skill = 0; skill < origin.skills().size(); skill++) {
                Set<Integer> first = new java.util.TreeSet<>();
                boolean stood = true;
                for (int seed = 0; seed < TRIALS; seed++) {
                    ContactTrial.RouteTaken path = path(skill, far, List.of(), seed);
                    stood &= path.end() == ContactTrial.FinalState.STOOD;
                    first.add(path.tries().isEmpty() ? -1 : path.tries().get(0));
                }
                String what = origin.skills().get(skill).name() + " to " + name(far) + " ";
                if (first.equals(Set.of(far))) {
                    lines.add(what + "goes direct");
                } else if (!first.contains(-1) && !first.contains(far)) {
                    lines.add(what + "goes via "
                            + String.join(" or ", first.stream().map(this::name).toList()));
                } else if (stood) {
                    lines.add(what + "stands");
                }
            }
        }
        return lines;
    }
}
