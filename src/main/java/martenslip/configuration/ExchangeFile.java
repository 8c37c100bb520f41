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

/** Reads an exchange's XML file: validates it against its schema, then checks references between its parts. */
public final class ExchangeFile {
    private static final XmlFileReader XML_READER = XmlFileReader.forSchema("exchange.xsd");

    private final XmlElement root;
    private final List<FileError> errors = new ArrayList<>();

    private ExchangeFile(XmlElement root) {
        this.root = root;
    }

    /**
     * Reads the file; relative paths in it start at its folder.
     *
     * @throws InvalidFileException with all errors that were found
     */
    public static ExchangeConfiguration read(Path file) throws IOException, InvalidFileException {
        return read(
                file.toString(), XML_READER.read(file), file.toAbsolutePath().getParent());
    }

    /**
     * Reads the bytes of a file.
     *
     * @param name name of the file in error messages
     * @param baseFolder folder at which relative paths in the file start
     * @throws InvalidFileException with all errors that were found
     */
    public static ExchangeConfiguration read(String name, byte[] bytes, Path baseFolder) throws InvalidFileException {
        return read(name, XML_READER.read(name, bytes), baseFolder);
    }

    private static ExchangeConfiguration read(String name, XmlElement root, Path baseFolder)
            throws InvalidFileException {
        ExchangeFile file = new ExchangeFile(root);
        ExchangeConfiguration configuration = file.build(baseFolder);
        if (!file.errors.isEmpty()) {
            throw new InvalidFileException(name, file.errors);
        }
        return configuration;
    }

    private ExchangeConfiguration build(Path baseFolder) {
        int number = root.integer("number");
        List<String> regions = new ArrayList<>();
        for (XmlElement regionElement : root.child("regions").children()) {
            rejectDuplicate(regions.contains(regionElement.text("name")), regionElement, "name", "region");
            regions.add(regionElement.text("name"));
        }
        int region = regions.indexOf(root.text("region"));
        if (region < 0) {
            errors.add(root.error("region", "no region is called " + root.text("region")));
        }
        XmlElement listenElement = root.child("listen");
        InetSocketAddress udp = address(listenElement, "udp");
        InetSocketAddress tcp = address(listenElement, "tcp");
        if (udp == null && tcp == null && errors.isEmpty()) {
            errors.add(listenElement.error("neither udp nor tcp is configured"));
        }
        List<Skill> skills = skills();
        XmlElement skillsElement = root.child("skills");
        int defaultSkill = skills.stream().map(Skill::name).toList().indexOf(skillsElement.text("usual"));
        if (defaultSkill < 0) {
            errors.add(skillsElement.error("usual", "no skill is called " + skillsElement.text("usual")));
        }
        Map<Integer, ExchangeConfiguration.Group> groups = groups(number);
        Map<Integer, ExchangeConfiguration.Peer> peers = peers(number);
        XmlElement limitsElement = root.child("limits");
        XmlElement rulesElement = root.child("rules");
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
                baseFolder.resolve(root.child("switch-list").text("kept")),
                regions,
                skills,
                defaultSkill,
                numbering(),
                root.child("groups").text("trunk-context"),
                groups,
                new ExchangeConfiguration.Limits(
                        limitsElement.integer("most-rings"),
                        limitsElement.integer("most-open"),
                        limitsElement.milliseconds("come-back-ms"),
                        limitsElement.milliseconds("silence-ms"),
                        limitsElement.has("lanes") ? limitsElement.integer("lanes") : 1),
                new ExchangeConfiguration.RuleParameters(
                        rulesElement.milliseconds("release-ms"),
                        rulesElement.decimal("cold-share"),
                        rulesElement.milliseconds("warm-within-ms"),
                        rulesElement.decimal("fall-multiple")),
                List.of(root.child("reports").text("fields").split("\\s+")),
                peers);
    }

    private long seed() {
        return root.has("seed") ? Long.parseLong(root.text("seed")) : System.nanoTime();
    }

    private void rejectDuplicate(boolean duplicate, XmlElement element, String attribute, String kind) {
        if (duplicate) {
            errors.add(element.error(attribute, kind + " " + element.text(attribute) + " appears twice"));
        }
    }

    private InetSocketAddress address(XmlElement element, String portAttribute) {
        if (!element.has(portAttribute)) {
            return null;
        }
        try {
            InetSocketAddress host = HopResolver.parseAddress(new HostPort(element.text("host"), 1));
            return new InetSocketAddress(host.getAddress(), element.integer(portAttribute));
        } catch (InvalidValueException e) {
            errors.add(element.error("host", e.getMessage()));
            return null;
        }
    }

    private Hop hop(XmlElement element, String attribute) {
        try {
            return HopResolver.resolve(SipUri.parse(element.text(attribute)));
        } catch (InvalidValueException e) {
            errors.add(element.error(attribute, e.getMessage()));
            return null;
        }
    }

    private List<Skill> skills() {
        List<Skill> skills = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<String> priorities = new HashSet<>();
        for (XmlElement element : root.child("skills").children()) {
            rejectDuplicate(!names.add(element.text("name")), element, "name", "skill");
            String priority = element.text("resource-priority").toLowerCase(java.util.Locale.ROOT);
            rejectDuplicate(!priority.isEmpty() && !priorities.add(priority), element, "resource-priority", "priority");
            Skill skill = new Skill(
                    element.text("name"),
                    element.decimal("value"),
                    element.integer("width"),
                    element.milliseconds("answer-target-ms"),
                    element.milliseconds("patience-ms"),
                    element.milliseconds("mean-hold-ms"),
                    priority);
            if (skill.answerTarget().longerThan(skill.patience())) {
                errors.add(element.error("answer-target-ms", "longer than the patience"));
            }
            skills.add(skill);
        }
        return List.copyOf(skills);
    }

    private PrefixTable numbering() {
        PrefixTable prefixes = new PrefixTable();
        for (XmlElement element : root.child("numbering").children()) {
            if (!prefixes.add(element.text("digits"), element.integer("exchange"))) {
                errors.add(
                        element.error("digits", element.text("digits") + " is already assigned to another exchange"));
            }
        }
        return prefixes;
    }

    private Map<Integer, ExchangeConfiguration.Group> groups(int ownNumber) {
        Map<Integer, ExchangeConfiguration.Group> groups = new TreeMap<>();
        Set<String> names = new HashSet<>();
        for (XmlElement element : root.child("groups").children()) {
            ExchangeConfiguration.Group group = new ExchangeConfiguration.Group(
                    element.text("name"), element.integer("far"), element.integer("circuits"));
            rejectDuplicate(!names.add(group.name()), element, "name", "group");
            if (group.farExchange() == ownNumber) {
                errors.add(element.error("far", "a group must lead to another exchange, not to its own"));
            }
            if (groups.put(group.farExchange(), group) != null) {
                errors.add(element.error("far", "exchange " + group.farExchange() + " has a group already"));
            }
        }
        return groups;
    }

    private Map<Integer, ExchangeConfiguration.Peer> peers(int ownNumber) {
        Map<Integer, ExchangeConfiguration.Peer> peers = new TreeMap<>();
        for (XmlElement element : root.child("peers").children()) {
            ExchangeConfiguration.Peer peer = new ExchangeConfiguration.Peer(
                    element.integer("exchange"), element.text("uri"), hop(element, "uri"));
            if (peer.exchange() == ownNumber) {
                errors.add(element.error("exchange", "an exchange can't be its own peer"));
            }
            if (peers.put(peer.exchange(), peer) != null) {
                errors.add(element.error("exchange", "peer " + peer.exchange() + " appears twice"));
            }
        }
        return peers;
    }
}
