package martenslip.play;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import martenslip.control.Span;
import martenslip.provision.Fault;
import martenslip.provision.Node;
import martenslip.provision.Rejected;
import martenslip.provision.Sheet;
import martenslip.provision.Skill;

/** A day file, checked whole. Times of troubles are spans from the first contact. */
public record Day(
        String name,
        long seed,
        Span length,
        int exchanges,
        List<String> regions,
        List<Skill> skills,
        List<Double> shares,
        String usual,
        Traffic traffic,
        GroupPlan groups,
        Switches switches,
        Span same,
        Span cross,
        Set<Integer> overTcp,
        Span lag,
        Span silentLag,
        Node limits,
        Node rules,
        Node reports,
        List<Trouble> troubles) {
    public record Traffic(
            double rate,
            int redials,
            Span redialAfter,
            double tryPart,
            double comeAgain,
            double drift,
            Span driftEvery,
            String prefix) {}

    public record GroupPlan(String context, double spare, double uneven, double unlinked) {}

    public record Switches(double use, Span mostWait, double coldFrom, Span warm, Span reportEvery, double noise) {}

    /** {@code span} is zero where it has none; {@code said} has the rest. */
    public record Trouble(String kind, Span at, Span span, List<Integer> exchanges, int region, Node said) {}

    private static final Sheet SHEET = Sheet.of("day.xsd");

    public static Day read(Path file) throws IOException, Rejected {
        Node root = SHEET.read(file);
        List<Fault> faults = new ArrayList<>();
        Day day = of(root, faults);
        if (!faults.isEmpty()) {
            throw new Rejected(file.toString(), faults);
        }
        return day;
    }

    private static Day of(Node root, List<Fault> faults) {
        int exchanges = root.integer("exchanges");
        List<String> regions = root.child("regions").children().stream()
                .map(one -> one.text("name"))
                .toList();
        List<Skill> skills = new ArrayList<>();
        List<Double> shares = new ArrayList<>();
        for (Node node : root.child("skills").children()) {
            skills.add(new Skill(
                    node.text("name"),
                    node.decimal("value"),
                    node.integer("width"),
                    node.ms("answer-target-ms"),
                    node.ms("patience-ms"),
                    node.ms("mean-hold-ms"),
                    node.text("resource-priority").toLowerCase(java.util.Locale.ROOT)));
            shares.add(node.decimal("share"));
        }
        Node traffic = root.child("traffic");
        Node groups = root.child("groups");
        Node processor = root.child("processor");
        Node network = root.child("network");
        List<Trouble> troubles = new ArrayList<>();
        for (Node node : root.child("troubles").children()) {
            List<Integer> which = numbers(node, "exchanges", exchanges, faults);
            int region = node.has("region") ? regions.indexOf(node.text("region")) : -1;
            if (node.has("region") && region < 0) {
                faults.add(node.fault("region", "no region is called " + node.text("region")));
            }
            need(node, faults);
            troubles.add(new Trouble(
                    node.name(),
                    node.ms("at").times(1000),
                    node.has("for") ? node.ms("for").times(1000) : Span.ZERO,
                    which,
                    region,
                    node));
        }
        return new Day(
                root.text("name"),
                Long.parseLong(root.text("seed")),
                root.ms("seconds").times(1000),
                exchanges,
                regions,
                skills,
                shares,
                root.child("skills").text("usual"),
                new Traffic(
                        traffic.decimal("contacts-per-second"),
                        traffic.integer("redials"),
                        traffic.ms("redial-after-ms"),
                        traffic.decimal("try-part"),
                        traffic.decimal("come-again"),
                        traffic.decimal("drift"),
                        traffic.ms("drift-every-ms"),
                        traffic.text("prefix")),
                new GroupPlan(
                        groups.text("trunk-context"),
                        groups.decimal("spare"),
                        groups.decimal("uneven"),
                        groups.decimal("unlinked")),
                new Switches(
                        processor.decimal("use"),
                        processor.ms("most-wait-ms"),
                        processor.decimal("cold-from"),
                        processor.ms("warm-ms"),
                        processor.ms("report-every-ms"),
                        processor.decimal("report-noise")),
                network.ms("same-ms"),
                network.ms("cross-ms"),
                new TreeSet<>(numbers(network, "tcp-exchanges", exchanges, faults)),
                root.child("list").ms("lag-ms"),
                root.child("list").ms("silent-lag-ms"),
                root.child("limits"),
                root.child("rules"),
                root.child("reports"),
                troubles);
    }

    private static List<Integer> numbers(Node node, String attribute, int exchanges, List<Fault> faults) {
        if (!node.has(attribute) || node.text(attribute).isEmpty()) {
            return List.of();
        }
        List<Integer> all = Arrays.stream(node.text(attribute).split("\\s+"))
                .map(Integer::valueOf)
                .toList();
        all.stream()
                .filter(one -> one >= exchanges)
                .forEach(one -> faults.add(node.fault(attribute, "there is no exchange " + one)));
        return all;
    }

    /** What a kind of trouble can't do without. */
    private static void need(Node node, List<Fault> faults) {
        List<String> needed = switch (node.name()) {
            case "burst" -> List.of("for", "times");
            case "hot-caller" -> List.of("for", "exchanges", "part");
            case "slow" -> List.of("for", "exchanges", "times");
            case "hang", "drain", "restart", "kill" -> List.of("for", "exchanges");
            case "stall" -> List.of("for", "exchanges", "lane");
            case "circuits-lost" -> List.of("for", "region", "part");
            case "region-cut" -> List.of("for", "region");
            case "list-late" -> List.of("for", "late-ms");
            case "wear", "cut" -> List.of("part");
            default -> List.of("exchanges");
        };
        needed.stream()
                .filter(one -> !node.has(one))
                .forEach(one -> faults.add(node.fault("a " + node.name() + " needs " + one)));
    }
}
