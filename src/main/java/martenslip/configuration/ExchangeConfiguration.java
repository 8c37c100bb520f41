package martenslip.configuration;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import martenslip.control.Span;
import martenslip.sip.transport.Hop;

/**
 * The validated configuration of one exchange. {@code groups} and {@code peers} are keyed by the number of the far
 * exchange; {@code udp} and {@code tcp} are null where the exchange has no such listener. {@code region} and {@code
 * defaultSkill} are indexes into {@code regions} and {@code skills}.
 */
public record ExchangeConfiguration(
        int number,
        int region,
        long seed,
        InetSocketAddress udp,
        InetSocketAddress tcp,
        Hop circuitsHop,
        String circuitsUri,
        Hop switchListHop,
        String switchListUri,
        Path keptListFile,
        List<String> regions,
        List<Skill> skills,
        int defaultSkill,
        PrefixTable numbering,
        String trunkContext,
        Map<Integer, Group> groups,
        Limits limits,
        RuleParameters rules,
        List<String> configuredReportFields,
        Map<Integer, Peer> peers) {
    /** A trunk group and the number of its circuits. */
    public record Group(String name, int farExchange, int circuits) {}

    /**
     * Limits of the exchange: rings per contact, open contacts, the largest time after which a deferred caller is asked
     * to try again, the time without a response after which a ring counts as unanswered, and the number of lanes.
     */
    public record Limits(int maxRings, int maxOpenContacts, Span maxRetryAfter, Span silenceTimeout, int lanes) {}

    /** Parameters of the rules that each controller must keep. */
    public record RuleParameters(Span releaseTime, double coldShare, Span warmWithin, double fallMultiple) {}

    /** The controller of another exchange. */
    public record Peer(int exchange, String uri, Hop hop) {}

    /**
     * Returns the settings of the routing policy by name.
     *
     * @param maxTimerLateness how late a timer may expire
     */
    public Map<String, String> settings(Span maxTimerLateness) {
        Map<String, String> settings = new TreeMap<>();
        settings.put("classes.count", "" + skills.size());
        for (int i = 0; i < skills.size(); i++) {
            Skill skill = skills.get(i);
            settings.put("classes." + i + ".worth", "" + skill.value());
            settings.put("classes." + i + ".aim-ns", "" + skill.answerTarget().ns());
            settings.put(
                    "classes." + i + ".hard-limit-ns", "" + skill.patience().ns());
        }
        settings.put("family-info.home-no", "" + number);
        settings.put("family-info.release-ns", "" + rules.releaseTime().ns());
        settings.put(
                "family-info.mean-hold-ns",
                joined(skills.stream().map(skill -> skill.meanHold().ns()).toList()));
        settings.put(
                "family-info.widths", joined(skills.stream().map(Skill::width).toList()));
        settings.put("guarantees.cold-share", "" + rules.coldShare());
        settings.put("guarantees.warm-within-ns", "" + rules.warmWithin().ns());
        settings.put("guarantees.fall-multiple", "" + rules.fallMultiple());
        settings.put("policy-limits.send-cap", "" + limits.maxRings());
        settings.put("policy-limits.cancel", "true");
        settings.put("policy-limits.peers", "" + !peers.isEmpty());
        settings.put("policy-limits.retry-after", "true");
        settings.put(
                "policy-limits.max-retry-after-ns", "" + limits.maxRetryAfter().ns());
        settings.put("policy-limits.probes", "true");
        settings.put("report.fields", joined(reportFields()));
        settings.put("discovery", "subscribe");
        settings.put("round-ns", "" + maxTimerLateness.ns());
        return settings;
    }

    /** Returns the names of the values of a switch report, in the order in which the routing policy reads them. */
    public List<String> reportFields() {
        List<String> fields = new java.util.ArrayList<>(List.of("spare", "total"));
        fields.addAll(configuredReportFields);
        return fields;
    }

    private static String joined(List<?> values) {
        return String.join(",", values.stream().map(String::valueOf).toList());
    }
}
