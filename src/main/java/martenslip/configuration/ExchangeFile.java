package martenslip.configuration;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import martenslip.sip.message.HostPort;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.SipUri;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.HopResolver;

/** An exchange's XML file into a {@link ExchangeConfiguration}: first its schema, then what the parts say of each other. */
public final class ExchangeFile {
    private static final XmlFileReader SHEET = XmlFileReader.forSchema("exchange.xsd");

    private final XmlElement root;
    private final List<FileError> faults = new ArrayList<>();

    private ExchangeFile(XmlElement root) {
        this.root = root;
    }

    public static ExchangeConfiguration read(Path file) throws IOException, InvalidFileException {
        return read(file.toString(), SHEET.read(file), file.toAbsolutePath().getParent());
    }

    /** {@code beside} is the folder that relative paths in the file begin at. */
    public static ExchangeConfiguration read(String name, byte[] bytes, Path beside) throws InvalidFileException {
        return read(name, SHEET.read(name, bytes), beside);
    }

    private static ExchangeConfiguration read(String name, XmlElement root, Path beside) throws InvalidFileException {
        ExchangeFile file = new ExchangeFile(root);
        ExchangeConfiguration site = file.site(beside);
        if (!file.faults.isEmpty()) {
            throw new InvalidFileException(name, file.faults);
        }
        return site;
    }

    private ExchangeConfiguration site(Path beside) {
        int number = root.integer("number");
        List<String> regions = new ArrayList<>();
        for (XmlElement node : root.child("regions").children()) {
            unique(regions.contains(node.text("name")), node, "name", "region");
            regions.add(node.text("name"));
        }
        int region = regions.indexOf(root.text("region"));
        if (region < 0) {
            faults.add(root.error("region", "no region is called " + root.text("region")));
        }
        XmlElement listen = root.child("listen");
        InetSocketAddress udp = address(listen, "udp");
        InetSocketAddress tcp = address(listen, "tcp");
        if (udp == null && tcp == null && faults.isEmpty()) {
            faults.add(listen.error("neither udp nor tcp is listened on"));
        }
        List<Skill> skills = skills();
        XmlElement listed = root.child("skills");
        int usual = skills.stream().map(Skill::name).toList().indexOf(listed.text("usual"));
        if (usual < 0) {
            faults.add(listed.error("usual", "no skill is called " + listed.text("usual")));
        }
        Map<Integer, ExchangeConfiguration.Group> groups = groups(number);
        Map<Integer, ExchangeConfiguration.Peer> peers = peers(number);
        XmlElement limits = root.child("limits");
        XmlElement rules = root.child("rules");
        return new ExchangeConfiguration(
                number,
                region,
                seed(),
                udp,
                tcp,
                hop(root.child("circuits"), "uri"),
                root.child("circuits").text("uri"),
                hop(root.child("switch-list"), "uri"),
                root.child("switch-list").text("uri"),
                beside.resolve(root.child("switch-list").text("kept")),
                regions,
                skills,
                usual,
                numbering(),
                root.child("groups").text("trunk-context"),
                groups,
                new ExchangeConfiguration.Limits(
                        limits.integer("most-rings"),
                        limits.integer("most-open"),
                        limits.milliseconds("come-back-ms"),
                        limits.milliseconds("silence-ms"),
                        limits.has("lanes") ? limits.integer("lanes") : 1),
                new ExchangeConfiguration.RuleParameters(
                        rules.milliseconds("release-ms"),
                        rules.decimal("cold-share"),
                        rules.milliseconds("warm-within-ms"),
                        rules.decimal("fall-multiple")),
                List.of(root.child("reports").text("fields").split("\\s+")),
                peers);
    }

    private long seed() {
        return root.has("seed") ? Long.parseLong(root.text("seed")) : System.nanoTime();
    }

    private void unique(boolean seen, XmlElement node, String attribute, String what) {
        if (seen) {
            faults.add(node.error(attribute, what + " " + node.text(attribute) + " stands twice"));
        }
    }

    private InetSocketAddress address(XmlElement node, String port) {
        if (!node.has(port)) {
            return null;
        }
        try {
            InetSocketAddress host = HopResolver.parseAddress(new HostPort(node.text("host"), 1));
            return new InetSocketAddress(host.getAddress(), node.integer(port));
        } catch (InvalidValueException e) {
            faults.add(node.error("host", e.getMessage()));
            return null;
        }
    }

    private Hop hop(XmlElement node, String attribute) {
        try {
            return HopResolver.resolve(SipUri.parse(node.text(attribute)));
        } catch (InvalidValueException e) {
            faults.add(node.error(attribute, e.getMessage()));
            return null;
        }
    }

    private List<Skill> skills() {
        List<Skill> skills = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<String> priorities = new HashSet<>();
        for (XmlElement node : root.child("skills").children()) {
            unique(!names.add(node.text("name")), node, "name", "skill");
            String priority = node.text("resource-priority").toLowerCase(java.util.Locale.ROOT);
            unique(!priority.isEmpty() && !priorities.add(priority), node, "resource-priority", "priority");
            Skill skill = new Skill(
                    node.text("name"),
                    node.decimal("value"),
                    node.integer("width"),
                    node.milliseconds("answer-target-ms"),
                    node.milliseconds("patience-ms"),
                    node.milliseconds("mean-hold-ms"),
                    priority);
            if (skill.answerTarget().longerThan(skill.patience())) {
                faults.add(node.error("answer-target-ms", "longer than the patience"));
            }
            skills.add(skill);
        }
        return List.copyOf(skills);
    }

    private PrefixTable numbering() {
        PrefixTable prefixes = new PrefixTable();
        for (XmlElement node : root.child("numbering").children()) {
            if (!prefixes.add(node.text("digits"), node.integer("exchange"))) {
                faults.add(node.error("digits", node.text("digits") + " leads to another exchange already"));
            }
        }
        return prefixes;
    }

    private Map<Integer, ExchangeConfiguration.Group> groups(int number) {
        Map<Integer, ExchangeConfiguration.Group> groups = new TreeMap<>();
        Set<String> names = new HashSet<>();
        for (XmlElement node : root.child("groups").children()) {
            ExchangeConfiguration.Group group =
                    new ExchangeConfiguration.Group(node.text("name"), node.integer("far"), node.integer("circuits"));
            unique(!names.add(group.name()), node, "name", "group");
            if (group.farExchange() == number) {
                faults.add(node.error("far", "a group leads to another exchange, not to its own"));
            }
            if (groups.put(group.farExchange(), group) != null) {
                faults.add(node.error("far", "exchange " + group.farExchange() + " has a group already"));
            }
        }
        return groups;
    }

    private Map<Integer, ExchangeConfiguration.Peer> peers(int number) {
        Map<Integer, ExchangeConfiguration.Peer> peers = new TreeMap<>();
        for (XmlElement node : root.child("peers").children()) {
            ExchangeConfiguration.Peer peer =
                    new ExchangeConfiguration.Peer(node.integer("exchange"), node.text("uri"), hop(node, "uri"));
            if (peer.exchange() == number) {
                faults.add(node.error("exchange", "the exchange is no peer of itself"));
            }
            if (peers.put(peer.exchange(), peer) != null) {
                faults.add(node.error("exchange", "peer " + peer.exchange() + " stands twice"));
            }
        }
        return peers;
    }
}
