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

/** Where contacts go and how large the groups are, drawn for a day from its seed. */
public final class TrafficPlan {
    /** A group between two exchanges, {@code a} the lower number. */
    public record Group(String name, int a, int b, int circuits) {}

    private final double[][] weights;
    private final List<Group> groups = new ArrayList<>();
    private final Span unit;

    public TrafficPlan(Day day) {
        int n = day.exchanges();
        SplittableRandom chance = new SplittableRandom(day.seed());
        weights = new double[n][n];
        for (int i = 0; i < n; i++) {
            for (int j = 0; j < i; j++) {
                // One draw a pair: both directions of a pair are of a size.
                double weight = Math.exp(day.groups().uneven() * 2 * (chance.nextDouble() - 0.5) * 2);
                weights[i][j] = weight;
                weights[j][i] = weight;
            }
        }
        size(day, erlangs(day));
        unit = unit(day);
    }

    private Map<int[], Double> erlangs(Day day) {
        int n = day.exchanges();
        double hold = 0;
        double shares = 0;
        for (int s = 0; s < day.skills().size(); s++) {
            Skill skill = day.skills().get(s);
            hold += day.shares().get(s) * skill.meanHold().ns() / 1e9 * skill.width();
            shares += day.shares().get(s);
        }
        double each = day.traffic().rate() / n * hold / shares;
        Map<int[], Double> pairs = new LinkedHashMap<>();
        for (int i = 0; i < n; i++) {
            for (int j = i + 1; j < n; j++) {
                pairs.put(new int[] {i, j}, each * (part(i, j) + part(j, i)));
            }
        }
        return pairs;
    }

    private double part(int from, int to) {
        double total = 0;
        for (double weight : weights[from]) {
            total += weight;
        }
        return weights[from][to] / total;
    }

    private void size(Day day, Map<int[], Double> erlangs) {
        List<Map.Entry<int[], Double>> thinFirst = new ArrayList<>(erlangs.entrySet());
        thinFirst.sort(Comparator.comparingDouble(Map.Entry::getValue));
        int unlinked = (int) (thinFirst.size() * day.groups().unlinked());
        // What pairs without a group carry goes over others, so these get room for it.
        double without = thinFirst.stream()
                .limit(unlinked)
                .mapToDouble(Map.Entry::getValue)
                .sum();
        double with = thinFirst.stream()
                .skip(unlinked)
                .mapToDouble(Map.Entry::getValue)
                .sum();
        double further = 1 + 2 * without / with;
        thinFirst.stream().skip(unlinked).forEach(one -> {
            double load = one.getValue() * further * (1 + day.groups().spare());
            int a = one.getKey()[0];
            int b = one.getKey()[1];
            groups.add(new Group("g-" + a + "-" + b, a, b, (int) Math.ceil(load + 0.5 * Math.sqrt(load))));
        });
        groups.sort(Comparator.comparingInt(Group::a).thenComparingInt(Group::b));
    }

    /** A set-up's work, such that the planned load uses the stated part of a processor. */
    private static Span unit(Day day) {
        double own = day.traffic().rate() / day.exchanges();
        // As many end here as begin here, and about a tenth passes through.
        double units = own * (1.1 * ProcessorModel.FORWARDING_COST_SETUPS + ProcessorModel.TERMINATING_COST_SETUPS);
        return Span.ofMillis(1000 * day.switches().use() / units);
    }

    public double[][] weights() {
        return weights;
    }

    public List<Group> groups() {
        return groups;
    }

    public Span unit() {
        return unit;
    }

    public List<Group> of(int exchange) {
        return groups.stream()
                .filter(group -> group.a() == exchange || group.b() == exchange)
                .toList();
    }
}
