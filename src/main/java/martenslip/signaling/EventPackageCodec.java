package martenslip.signaling;

import java.net.Inet4Address;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import martenslip.configuration.InvalidFileException;
import martenslip.configuration.XmlElement;
import martenslip.configuration.XmlFileReader;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.SipUri;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.HopResolver;

/** The XML bodies of the two event packages. A body that is wrong anywhere is refused whole. */
public final class EventPackageCodec {
    public static final String SWITCHES_EVENT_PACKAGE = "martenslip-switches";
    public static final String CIRCUITS_EVENT_PACKAGE = "martenslip-circuits";
    public static final String CONTENT_TYPE = "application/martenslip+xml";
    private static final XmlFileReader SHEET = XmlFileReader.forSchema("switches.xsd");

    public record SwitchList(long version, boolean full, List<ListedSwitch> entries) {}

    public record GroupState(String name, int total, int free) {}

    public record CircuitList(long version, boolean full, List<GroupState> groups) {}

    private final List<String> regions;
    private final Moment start;
    private final Instant startWall;

    /** Start times come as wall clock time; this pair of readings, taken once, places them on the thread's clock. */
    public EventPackageCodec(List<String> regions, Moment start, Instant startWall) {
        this.regions = regions;
        this.start = start;
        this.startWall = startWall;
    }

    public SwitchList parseSwitchList(byte[] body) throws InvalidFileException, InvalidValueException {
        XmlElement root = root(body, "switches");
        List<ListedSwitch> lines = new ArrayList<>();
        for (XmlElement node : root.children()) {
            SipUri uri = SipUri.parse(node.text("uri"));
            Hop hop = HopResolver.resolve(uri);
            SwitchEntry.State state = switch (node.text("state")) {
                case "ready" -> SwitchEntry.State.READY;
                case "draining" -> SwitchEntry.State.DRAINING;
                default -> SwitchEntry.State.GONE;
            };
            Moment started = node.has("started") ? moment(node.text("started")) : null;
            lines.add(new ListedSwitch(
                    new SwitchEntry(
                            switchId(hop.address()),
                            node.integer("number"),
                            state,
                            started,
                            regions.indexOf(node.text("region"))),
                    uri,
                    hop));
        }
        return new SwitchList(
                Long.parseLong(root.text("version")), root.text("extent").equals("full"), lines);
    }

    public CircuitList parseCircuitList(byte[] body) throws InvalidFileException, InvalidValueException {
        XmlElement root = root(body, "circuits");
        List<GroupState> groups = new ArrayList<>();
        for (XmlElement node : root.children()) {
            groups.add(new GroupState(node.text("name"), node.integer("total"), node.integer("free")));
        }
        return new CircuitList(
                Long.parseLong(root.text("version")), root.text("extent").equals("full"), groups);
    }

    private static XmlElement root(byte[] body, String name) throws InvalidFileException, InvalidValueException {
        XmlElement root = SHEET.read("NOTIFY", body);
        if (!root.name().equals(name)) {
            throw new InvalidValueException("a body of " + root.name() + " in place of " + name);
        }
        return root;
    }

    private Moment moment(String text) throws InvalidValueException {
        try {
            Instant at = OffsetDateTime.parse(text).toInstant();
            return start.plus(new Span(java.time.Duration.between(startWall, at).toNanos()));
        } catch (DateTimeParseException | ArithmeticException e) {
            throw new InvalidValueException("no point in time: " + text);
        }
    }

    /** Four bytes of address, then the port: as the module's ids of switches are everywhere. */
    public static long switchId(InetSocketAddress at) throws InvalidValueException {
        if (!(at.getAddress() instanceof Inet4Address address)) {
            throw new InvalidValueException("a switch is known by an IPv4 address: " + at);
        }
        return Integer.toUnsignedLong(ByteBuffer.wrap(address.getAddress()).getInt()) << 16 | at.getPort();
    }

    public byte[] write(SwitchList lines) {
        StringBuilder text = open("switches", lines.version(), lines.full());
        for (ListedSwitch one : lines.entries()) {
            SwitchEntry line = one.entry();
            text.append("<switch uri=\"")
                    .append(escaped(one.uri().toString()))
                    .append("\" number=\"")
                    .append(line.number())
                    .append("\" region=\"")
                    .append(regionName(line.zone()))
                    .append("\" state=\"")
                    .append(line.state().name().toLowerCase(Locale.ROOT))
                    .append('"');
            if (line.startedAt() != null) {
                text.append(" started=\"")
                        .append(startWall.plusNanos(
                                line.startedAt().since(start).ns()))
                        .append('"');
            }
            text.append("/>\n");
        }
        return text.append("</switches>\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    private String regionName(int zone) {
        return zone < 0 || zone >= regions.size() ? "-" : escaped(regions.get(zone));
    }

    public byte[] write(CircuitList groups) {
        StringBuilder text = open("circuits", groups.version(), groups.full());
        for (GroupState group : groups.groups()) {
            text.append("<group name=\"")
                    .append(escaped(group.name()))
                    .append("\" total=\"")
                    .append(group.total())
                    .append("\" free=\"")
                    .append(group.free())
                    .append("\"/>\n");
        }
        return text.append("</circuits>\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    private static StringBuilder open(String name, long version, boolean full) {
        return new StringBuilder("<")
                .append(name)
                .append(" xmlns=\"urn:martenslip:switches:1\" version=\"")
                .append(version)
                .append("\" extent=\"")
                .append(full ? "full" : "partial")
                .append("\">\n");
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
