package martenslip.provision;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.HostPort;
import martenslip.sip.message.SipUri;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.Hops;

/** An exchange's XML file into a {@link Site}: first its schema, then what the parts say of each other. */
public final class SiteFile {
    private static final Sheet SHEET = Sheet.of("exchange.xsd");

    private final Node root;
    private final List<Fault> faults = new ArrayList<>();

    private SiteFile(Node root) {
        this.root = root;
    }

    public static Site read(Path file) throws IOException, Rejected {
        return read(file.toString(), SHEET.read(file), file.toAbsolutePath().getParent());
    }

    /** {@code beside} is the folder that relative paths in the file begin at. */
    public static Site read(String name, byte[] bytes, Path beside) throws Rejected {
        return read(name, SHEET.read(name, bytes), beside);
    }

    private static Site read(String name, Node root, Path beside) throws Rejected {
        SiteFile file = new SiteFile(root);
        Site site = file.site(beside);
        if (!file.faults.isEmpty()) {
            throw new Rejected(name, file.faults);
        }
        return site;
    }

    private Site site(Path beside) {
        int number = root.integer("number");
        List<String> regions = new ArrayList<>();
        for (Node node : root.child("regions").children()) {
            unique(regions.contains(node.text("name")), node, "name", "region");
            regions.add(node.text("name"));
        }
        int region = regions.indexOf(root.text("region"));
        if (region < 0) {
            faults.add(root.fault("region", "no region is called " + root.text("region")));
        }
        Node listen = root.child("listen");
        InetSocketAddress udp = address(listen, "udp");
        InetSocketAddress tcp = address(listen, "tcp");
        if (udp == null && tcp == null && faults.isEmpty()) {
            faults.add(listen.fault("neither udp nor tcp is listened on"));
        }
        List<Skill> skills = skills();
        Node listed = root.child("skills");
        int usual = skills.stream().map(Skill::name).toList().indexOf(listed.text("usual"));
        if (usual < 0) {
            faults.add(listed.fault("usual", "no skill is called " + listed.text("usual")));
        }
        Map<Integer, Site.Group> groups = groups(number);
        Map<Integer, Site.Peer> peers = peers(number);
        Node limits = root.child("limits");
        Node rules = root.child("rules");
        return new Site(
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
                new Site.Limits(
                        limits.integer("most-rings"),
                        limits.integer("most-open"),
                        limits.ms("come-back-ms"),
                        limits.ms("silence-ms"),
                        limits.has("lanes") ? limits.integer("lanes") : 1),
                new Site.RuleFigures(
                        rules.ms("release-ms"),
                        rules.decimal("cold-share"),
                        rules.ms("warm-within-ms"),
                        rules.decimal("fall-multiple")),
                List.of(root.child("reports").text("fields").split("\\s+")),
                peers);
    }

    private long seed() {
        return root.has("seed") ? Long.parseLong(root.text("seed")) : System.nanoTime();
    }

    private void unique(boolean seen, Node node, String attribute, String what) {
        if (seen) {
            faults.add(node.fault(attribute, what + " " + node.text(attribute) + " stands twice"));
        }
    }

    private InetSocketAddress address(Node node, String port) {
        if (!node.has(port)) {
            return null;
        }
        try {
            InetSocketAddress host = Hops.address(new HostPort(node.text("host"), 1));
            return new InetSocketAddress(host.getAddress(), node.integer(port));
        } catch (BadValue e) {
            faults.add(node.fault("host", e.getMessage()));
            return null;
        }
    }

    private Hop hop(Node node, String attribute) {
        try {
            return Hops.of(SipUri.parse(node.text(attribute)));
        } catch (BadValue e) {
            faults.add(node.fault(attribute, e.getMessage()));
            return null;
        }
    }

    private List<Skill> skills() {
        List<Skill> skills = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<String> priorities = new HashSet<>();
        for (Node node : root.child("skills").children()) {
            unique(!names.add(node.text("name")), node, "name", "skill");
            String priority = node.text("resource-priority").toLowerCase(java.util.Locale.ROOT);
            unique(!priority.isEmpty() && !priorities.add(priority), node, "resource-priority", "priority");
            Skill skill = new Skill(
                    node.text("name"),
                    node.decimal("value"),
                    node.integer("width"),
                    node.ms("answer-target-ms"),
                    node.ms("patience-ms"),
                    node.ms("mean-hold-ms"),
                    priority);
            if (skill.answerTarget().longerThan(skill.patience())) {
                faults.add(node.fault("answer-target-ms", "longer than the patience"));
            }
            skills.add(skill);
        }
        return List.copyOf(skills);
    }

    private Prefixes numbering() {
        Prefixes prefixes = new Prefixes();
        for (Node node : root.child("numbering").children()) {
            if (!prefixes.add(node.text("digits"), node.integer("exchange"))) {
                faults.add(node.fault("digits", node.text("digits") + " leads to another exchange already"));
            }
        }
        return prefixes;
    }

    private Map<Integer, Site.Group> groups(int number) {
        Map<Integer, Site.Group> groups = new TreeMap<>();
        Set<String> names = new HashSet<>();
        for (Node node : root.child("groups").children()) {
            Site.Group group = new Site.Group(node.text("name"), node.integer("far"), node.integer("circuits"));
            unique(!names.add(group.name()), node, "name", "group");
            if (group.far() == number) {
                faults.add(node.fault("far", "a group leads to another exchange, not to its own"));
            }
            if (groups.put(group.far(), group) != null) {
                faults.add(node.fault("far", "exchange " + group.far() + " has a group already"));
            }
        }
        return groups;
    }

    private Map<Integer, Site.Peer> peers(int number) {
        Map<Integer, Site.Peer> peers = new TreeMap<>();
        for (Node node : root.child("peers").children()) {
            Site.Peer peer = new Site.Peer(node.integer("exchange"), node.text("uri"), hop(node, "uri"));
            if (peer.exchange() == number) {
                faults.add(node.fault("exchange", "the exchange is no peer of itself"));
            }
            if (peers.put(peer.exchange(), peer) != null) {
                faults.add(node.fault("exchange", "peer " + peer.exchange() + " stands twice"));
            }
        }
        return peers;
    }
}
