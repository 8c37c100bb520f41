package martenslip.configuration;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import martenslip.control.Span;
import martenslip.sip.transport.Hop;

/**
 * One exchange as its file describes it, checked whole. {@code groups} and {@code peers} are by the number of
 * the far exchange; {@code udp} and {@code tcp} are null where that listener is not wanted.
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
    public record Group(String name, int farExchange, int circuits) {}

    public record Limits(int maxRings, int maxOpenContacts, Span maxRetryAfter, Span silenceTimeout, int lanes) {}

    public record RuleParameters(Span releaseTime, double coldShare, Span warmWithin, double fallMultiple) {}

    public record Peer(int exchange, String uri, Hop hop) {}

    /** The module's plain map of names to values. {@code round} is how late a clock may be heard. */
    public Map<String, String> settings(Span maxTimerLateness) {
        Map<String, String> settings = new TreeMap<>();
        settings.put("classes.count", "" + skills.size());
        for (int i = 0; i < skills.size(); i++) {
            Skill skill = skills.get(i);
            settings.put("classes." + i + ".worth", "" + skill.value());
            settings.put("classes." + i + ".aim-ns", "" + skill.answerTarget().ns());
            settings.put("classes." + i + ".hard-limit-ns", "" + skill.patience().ns());
        }
        settings.put("family-info.home-no", "" + number);
        settings.put("family-info.release-ns", "" + rules.releaseTime().ns());
        settings.put(
                "family-info.mean-hold-ns",
                joined(skills.stream().map(skill -> skill.meanHold().ns()).toList()));
        settings.put("family-info.widths", joined(skills.stream().map(Skill::width).toList()));
        settings.put("guarantees.cold-share", "" + rules.coldShare());
        settings.put("guarantees.warm-within-ns", "" + rules.warmWithin().ns());
        settings.put("guarantees.fall-multiple", "" + rules.fallMultiple());
        settings.put("policy-limits.send-cap", "" + limits.maxRings());
        settings.put("policy-limits.cancel", "true");
        settings.put("policy-limits.peers", "" + !peers.isEmpty());
        settings.put("policy-limits.retry-after", "true");
        settings.put("policy-limits.max-retry-after-ns", "" + limits.maxRetryAfter().ns());
        settings.put("policy-limits.probes", "true");
        settings.put("report.fields", joined(reportFields()));
        settings.put("discovery", "subscribe");
        settings.put("round-ns", "" + maxTimerLateness.ns());
        return settings;
    }

    /** The values of a load report in the module's order. */
    public List<String> reportFields() {
        List<String> fields = new java.util.ArrayList<>(List.of("spare", "total"));
        fields.addAll(configuredReportFields);
        return fields;
    }

    private static String joined(List<?> values) {
        return String.join(",", values.stream().map(String::valueOf).toList());
    }
}
