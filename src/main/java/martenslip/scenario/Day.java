package martenslip.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import martenslip.configuration.FileError;
import martenslip.configuration.InvalidFileException;
import martenslip.configuration.Skill;
import martenslip.configuration.XmlElement;
import martenslip.configuration.XmlFileReader;
import martenslip.control.Span;

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
        GroupSettings groups,
        SwitchSettings switches,
        Span same,
        Span cross,
        Set<Integer> overTcp,
        Span lag,
        Span silentLag,
        XmlElement limits,
        XmlElement rules,
        XmlElement reports,
        List<InjectedFault> troubles) {
    public record Traffic(
            double rate,
            int redials,
            Span redialAfter,
            double tryPart,
            double comeAgain,
            double drift,
            Span driftEvery,
            String prefix) {}

    public record GroupSettings(String context, double spare, double uneven, double unlinked) {}

    public record SwitchSettings(
            double use, Span mostWait, double coldFrom, Span warm, Span reportEvery, double noise) {}

    /** {@code span} is zero where it has none; {@code said} has the rest. */
    public record InjectedFault(
            String kind, Span at, Span span, List<Integer> exchanges, int region, XmlElement said) {}

    private static final XmlFileReader SHEET = XmlFileReader.forSchema("day.xsd");

    public static Day read(Path file) throws IOException, InvalidFileException {
        XmlElement root = SHEET.read(file);
        List<FileError> faults = new ArrayList<>();
        Day day = of(root, faults);
        if (!faults.isEmpty()) {
            throw new InvalidFileException(file.toString(), faults);
        }
        return day;
    }

    private static Day of(XmlElement root, List<FileError> faults) {
        int exchanges = root.integer("exchanges");
        List<String> regions = root.child("regions").children().stream()
                .map(one -> one.text("name"))
                .toList();
        List<Skill> skills = new ArrayList<>();
        List<Double> shares = new ArrayList<>();
        for (XmlElement node : root.child("skills").children()) {
            skills.add(new Skill(
                    node.text("name"),
                    node.decimal("value"),
                    node.integer("width"),
                    node.milliseconds("answer-target-ms"),
                    node.milliseconds("patience-ms"),
                    node.milliseconds("mean-hold-ms"),
                    node.text("resource-priority").toLowerCase(java.util.Locale.ROOT)));
            shares.add(node.decimal("share"));
        }
        XmlElement traffic = root.child("traffic");
        XmlElement groups = root.child("groups");
        XmlElement processor = root.child("processor");
        XmlElement network = root.child("network");
        List<InjectedFault> troubles = new ArrayList<>();
        for (XmlElement node : root.child("troubles").children()) {
            List<Integer> which = numbers(node, "exchanges", exchanges, faults);
            int region = node.has("region") ? regions.indexOf(node.text("region")) : -1;
            if (node.has("region") && region < 0) {
                faults.add(node.error("region", "no region is called " + node.text("region")));
            }
            need(node, faults);
            troubles.add(new InjectedFault(
                    node.name(),
                    node.milliseconds("at").times(1000),
                    node.has("for") ? node.milliseconds("for").times(1000) : Span.ZERO,
                    which,
                    region,
                    node));
        }
        return new Day(
                root.text("name"),
                Long.parseLong(root.text("seed")),
                root.milliseconds("seconds").times(1000),
                exchanges,
                regions,
                skills,
                shares,
                root.child("skills").text("usual"),
                new Traffic(
                        traffic.decimal("contacts-per-second"),
                        traffic.integer("redials"),
                        traffic.milliseconds("redial-after-ms"),
                        traffic.decimal("try-part"),
                        traffic.decimal("come-again"),
                        traffic.decimal("drift"),
                        traffic.milliseconds("drift-every-ms"),
                        traffic.text("prefix")),
                new GroupSettings(
                        groups.text("trunk-context"),
                        groups.decimal("spare"),
                        groups.decimal("uneven"),
                        groups.decimal("unlinked")),
                new SwitchSettings(
                        processor.decimal("use"),
                        processor.milliseconds("most-wait-ms"),
                        processor.decimal("cold-from"),
                        processor.milliseconds("warm-ms"),
                        processor.milliseconds("report-every-ms"),
                        processor.decimal("report-noise")),
                network.milliseconds("same-ms"),
                network.milliseconds("cross-ms"),
                new TreeSet<>(numbers(network, "tcp-exchanges", exchanges, faults)),
                root.child("list").milliseconds("lag-ms"),
                root.child("list").milliseconds("silent-lag-ms"),
                root.child("limits"),
                root.child("rules"),
                root.child("reports"),
                troubles);
    }

    private static List<Integer> numbers(XmlElement node, String attribute, int exchanges, List<FileError> faults) {
        if (!node.has(attribute) || node.text(attribute).isEmpty()) {
            return List.of();
        }
        List<Integer> all = Arrays.stream(node.text(attribute).split("\\s+"))
                .map(Integer::valueOf)
                .toList();
        all.stream()
                .filter(one -> one >= exchanges)
                .forEach(one -> faults.add(node.error(attribute, "there is no exchange " + one)));
        return all;
    }

    /** What a kind of trouble can't do without. */
    private static void need(XmlElement node, List<FileError> faults) {
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
                .forEach(one -> faults.add(node.error("a " + node.name() + " needs " + one)));
    }
}
