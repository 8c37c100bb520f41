package martenslip.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import martenslip.configuration.Skill;
import martenslip.control.Span;
import martenslip.standin.ProcessorModel;

/** Traffic weights between exchanges and the sizes of trunk groups, derived from a day and its seed. */
public final class TrafficPlan {
    /** A trunk group between two exchanges, given by their numbers. */
    public record Group(String name, int lowerExchange, int higherExchange, int circuits) {}

    private final double[][] weights;
    private final List<Group> groups = new ArrayList<>();
    private final Span setUpTime;

    /** Derives the plan of a day; the same day always gives the same plan. */
    public TrafficPlan(Day day) {
        int exchangeCount = day.exchanges();
        SplittableRandom random = new SplittableRandom(day.seed());
        weights = new double[exchangeCount][exchangeCount];
        for (int i = 0; i < exchangeCount; i++) {
            for (int j = 0; j < i; j++) {
                // One draw for each pair, so that both directions carry about the same traffic.
                double weight = Math.exp(day.groups().unevenness() * 2 * (random.nextDouble() - 0.5) * 2);
                weights[i][j] = weight;
                weights[j][i] = weight;
            }
        }
        sizeGroups(day, erlangs(day));
        setUpTime = setUpTime(day);
    }

    private Map<int[], Double> erlangs(Day day) {
        int exchangeCount = day.exchanges();
        double weightedHoldSeconds = 0;
        double shareSum = 0;
        for (int skillIndex = 0; skillIndex < day.skills().size(); skillIndex++) {
            Skill skill = day.skills().get(skillIndex);
            weightedHoldSeconds +=
                    day.shares().get(skillIndex) * skill.meanHold().ns() / 1e9 * skill.width();
            shareSum += day.shares().get(skillIndex);
        }
        double erlangsPerExchange = day.traffic().contactsPerSecond() / exchangeCount * weightedHoldSeconds / shareSum;
        Map<int[], Double> pairs = new LinkedHashMap<>();
        for (int i = 0; i < exchangeCount; i++) {
            for (int j = i + 1; j < exchangeCount; j++) {
                pairs.put(new int[] {i, j}, erlangsPerExchange * (trafficShare(i, j) + trafficShare(j, i)));
            }
        }
        return pairs;
    }

    private double trafficShare(int origin, int destination) {
        double total = 0;
        for (double weight : weights[origin]) {
            total += weight;
        }
        return weights[origin][destination] / total;
    }

    private void sizeGroups(Day day, Map<int[], Double> erlangs) {
        List<Map.Entry<int[], Double>> pairsByLoad = new ArrayList<>(erlangs.entrySet());
        pairsByLoad.sort(Comparator.comparingDouble(Map.Entry::getValue));
        int unlinkedCount = (int) (pairsByLoad.size() * day.groups().unlinkedShare());
        // Traffic of pairs without a group overflows to two other groups, so these get capacity for it.
        double unlinkedErlangs = pairsByLoad.stream()
                .limit(unlinkedCount)
                .mapToDouble(Map.Entry::getValue)
                .sum();
        double linkedErlangs = pairsByLoad.stream()
                .skip(unlinkedCount)
                .mapToDouble(Map.Entry::getValue)
                .sum();
        double overflowFactor = 1 + 2 * unlinkedErlangs / linkedErlangs;
        pairsByLoad.stream().skip(unlinkedCount).forEach(pair -> {
            double load = pair.getValue() * overflowFactor * (1 + day.groups().spareShare());
            int lowerExchange = pair.getKey()[0];
            int higherExchange = pair.getKey()[1];
            groups.add(new Group("g-" + lowerExchange + "-" + higherExchange, lowerExchange, higherExchange, (int)
                    Math.ceil(load + 0.5 * Math.sqrt(load))));
        });
        groups.sort(Comparator.comparingInt(Group::lowerExchange).thenComparingInt(Group::higherExchange));
    }

    /** The processor time of a set-up at which the planned load uses the configured share of a processor. */
    private static Span setUpTime(Day day) {
        double contactsPerExchange = day.traffic().contactsPerSecond() / day.exchanges();
        // As many contacts terminate here as originate here, and about a tenth is in transit.
        double setUpsPerSecond = contactsPerExchange
                * (1.1 * ProcessorModel.FORWARDING_COST_SETUPS + ProcessorModel.TERMINATING_COST_SETUPS);
        return Span.ofMillis(1000 * day.switches().utilization() / setUpsPerSecond);
    }

    /** Relative weight of each destination, by originating and terminating exchange. */
    public double[][] weights() {
        return weights;
    }

    /** All groups, ordered by their exchanges. */
    public List<Group> groups() {
        return groups;
    }

    /** Processor time of one set-up at a warm switch. */
    public Span setUpTime() {
        return setUpTime;
    }

    /** The groups that end at the exchange. */
    public List<Group> groupsOf(int exchange) {
        return groups.stream()
                .filter(group -> group.lowerExchange() == exchange || group.higherExchange() == exchange)
                .toList();
    }
}
