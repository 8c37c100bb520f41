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

/**
 * A validated day file: a scripted scenario with traffic, switches and injected faults.
 *
 * @param length time from the first contact to the end of dialing
 * @param exchanges number of exchanges
 * @param shares relative share of each skill in the traffic
 * @param defaultSkill name of the skill that an exchange assumes for a contact without a Resource-Priority
 * @param tcpExchanges exchanges whose controller and switch use TCP
 * @param listLag delay of switch list changes
 * @param silentListLag additional delay until a switch that went silent is listed as gone
 * @param limits element that is copied to the configuration of each exchange, as are rules and reports
 */
public record Day(
        String name,
        long seed,
        Span length,
        int exchanges,
        List<String> regions,
        List<Skill> skills,
        List<Double> shares,
        String defaultSkill,
        Traffic traffic,
        GroupSettings groups,
        SwitchSettings switches,
        Span sameRegionDelay,
        Span crossRegionDelay,
        Set<Integer> tcpExchanges,
        Span listLag,
        Span silentListLag,
        XmlElement limits,
        XmlElement rules,
        XmlElement reports,
        List<InjectedFault> faults) {
    /**
     * Load and behaviour of the callers.
     *
     * @param tryPatienceShare share of a skill's patience that a caller waits for one try
     * @param cutRedialProbability probability that a caller dials again after a cut
     * @param driftDeviation standard deviation of the logarithm of the destinations' weights
     * @param driftInterval how often the weights are drawn anew
     */
    public record Traffic(
            double contactsPerSecond,
            int maxRedials,
            Span redialDelay,
            double tryPatienceShare,
            double cutRedialProbability,
            double driftDeviation,
            Span driftInterval,
            String numberPrefix) {}

    /**
     * How trunk groups are sized.
     *
     * @param spareShare circuits above the expected load, as a share of it
     * @param unevenness spread of the traffic between exchange pairs
     * @param unlinkedShare share of the exchange pairs without a group
     */
    public record GroupSettings(String trunkContext, double spareShare, double unevenness, double unlinkedShare) {}

    /**
     * Processors and load reports of the simulated switches.
     *
     * @param utilization share of a processor that the planned load uses
     * @param maxWait queue wait above which a processor rejects new contacts
     * @param coldStartCapacity share of the warm capacity at a cold start
     * @param reportNoise relative deviation of reported processor figures
     */
    public record SwitchSettings(
            double utilization,
            Span maxWait,
            double coldStartCapacity,
            Span warmUpTime,
            Span reportInterval,
            double reportNoise) {}

    /**
     * A fault to inject.
     *
     * @param startsAfter time since the first contact
     * @param duration zero where the fault has no end
     * @param region index of the region, -1 where the fault names none
     * @param attributes the fault's element with the attributes specific to its kind
     */
    public record InjectedFault(
            String kind, Span startsAfter, Span duration, List<Integer> exchanges, int region, XmlElement attributes) {}

    private static final XmlFileReader SCHEMA_READER = XmlFileReader.forSchema("day.xsd");

    /** Reads and validates a day file. */
    public static Day read(Path file) throws IOException, InvalidFileException {
        XmlElement root = SCHEMA_READER.read(file);
        List<FileError> errors = new ArrayList<>();
        Day day = of(root, errors);
        if (!errors.isEmpty()) {
            throw new InvalidFileException(file.toString(), errors);
        }
        return day;
    }

    private static Day of(XmlElement root, List<FileError> errors) {
        int exchanges = root.integer("exchanges");
        List<String> regions = root.child("regions").children().stream()
                .map(regionNode -> regionNode.text("name"))
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
        List<InjectedFault> faults = new ArrayList<>();
        for (XmlElement node : root.child("troubles").children()) {
            List<Integer> faultExchanges = exchangeNumbers(node, "exchanges", exchanges, errors);
            int region = node.has("region") ? regions.indexOf(node.text("region")) : -1;
            if (node.has("region") && region < 0) {
                errors.add(node.error("region", "no region is called " + node.text("region")));
            }
            checkRequiredAttributes(node, errors);
            faults.add(new InjectedFault(
                    node.name(),
                    node.milliseconds("at").times(1000),
                    node.has("for") ? node.milliseconds("for").times(1000) : Span.ZERO,
                    faultExchanges,
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
                new TreeSet<>(exchangeNumbers(network, "tcp-exchanges", exchanges, errors)),
                root.child("list").milliseconds("lag-ms"),
                root.child("list").milliseconds("silent-lag-ms"),
                root.child("limits"),
                root.child("rules"),
                root.child("reports"),
                faults);
    }

    private static List<Integer> exchangeNumbers(
            XmlElement node, String attribute, int exchanges, List<FileError> errors) {
        if (!node.has(attribute) || node.text(attribute).isEmpty()) {
            return List.of();
        }
        List<Integer> numbers = Arrays.stream(node.text(attribute).split("\\s+"))
                .map(Integer::valueOf)
                .toList();
        numbers.stream()
                .filter(number -> number >= exchanges)
                .forEach(number -> errors.add(node.error(attribute, "there is no exchange " + number)));
        return numbers;
    }

    /** Reports missing attributes that the kind of fault requires. */
    private static void checkRequiredAttributes(XmlElement node, List<FileError> errors) {
        List<String> required = switch (node.name()) {
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
        required.stream()
                .filter(attribute -> !node.has(attribute))
                .forEach(attribute -> errors.add(node.error("a " + node.name() + " needs " + attribute)));
    }
}
