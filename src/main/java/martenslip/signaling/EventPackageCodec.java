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

/**
 * Reads and writes the XML bodies of the two event packages (schema {@code switches.xsd}). A body with any error is
 * refused as a whole.
 */
public final class EventPackageCodec {
    /** Event package of the switch list. */
    public static final String SWITCHES_EVENT_PACKAGE = "martenslip-switches";
    /** Event package of the circuits of trunk groups. */
    public static final String CIRCUITS_EVENT_PACKAGE = "martenslip-circuits";

    public static final String CONTENT_TYPE = "application/martenslip+xml";
    private static final XmlFileReader SCHEMA_READER = XmlFileReader.forSchema("switches.xsd");

    /** A switch list: all switches if {@code full}, else those that changed. */
    public record SwitchList(long version, boolean full, List<ListedSwitch> entries) {}

    /** Total and free circuits of a trunk group. */
    public record GroupState(String name, int total, int free) {}

    /** States of trunk groups: of all if {@code full}, else of those that changed. */
    public record CircuitList(long version, boolean full, List<GroupState> groups) {}

    private final List<String> regionNames;
    private final Moment referenceMoment;
    private final Instant referenceInstant;

    /**
     * Creates a codec for these region names. Start times are sent as wall clock time; {@code referenceMoment} and
     * {@code referenceInstant}, read at the same time, map them to the monotonic clock.
     */
    public EventPackageCodec(List<String> regionNames, Moment referenceMoment, Instant referenceInstant) {
        this.regionNames = regionNames;
        this.referenceMoment = referenceMoment;
        this.referenceInstant = referenceInstant;
    }

    /** Parses the body of a switch list; throws if it violates the schema or contains an invalid value. */
    public SwitchList parseSwitchList(byte[] body) throws InvalidFileException, InvalidValueException {
        XmlElement root = parseRoot(body, "switches");
        List<ListedSwitch> entries = new ArrayList<>();
        for (XmlElement element : root.children()) {
            SipUri uri = SipUri.parse(element.text("uri"));
            Hop hop = HopResolver.resolve(uri);
            SwitchEntry.State state = switch (element.text("state")) {
                case "ready" -> SwitchEntry.State.READY;
                case "draining" -> SwitchEntry.State.DRAINING;
                default -> SwitchEntry.State.GONE;
            };
            Moment startedAt = element.has("started") ? parseMoment(element.text("started")) : null;
            entries.add(new ListedSwitch(
                    new SwitchEntry(
                            switchId(hop.address()),
                            element.integer("number"),
                            state,
                            startedAt,
                            regionNames.indexOf(element.text("region"))),
                    uri,
                    hop));
        }
        return new SwitchList(
                Long.parseLong(root.text("version")), root.text("extent").equals("full"), entries);
    }

    /** Parses the body of a circuit list; throws if it violates the schema or contains an invalid value. */
    public CircuitList parseCircuitList(byte[] body) throws InvalidFileException, InvalidValueException {
        XmlElement root = parseRoot(body, "circuits");
        List<GroupState> groups = new ArrayList<>();
        for (XmlElement element : root.children()) {
            groups.add(new GroupState(element.text("name"), element.integer("total"), element.integer("free")));
        }
        return new CircuitList(
                Long.parseLong(root.text("version")), root.text("extent").equals("full"), groups);
    }

    private static XmlElement parseRoot(byte[] body, String expectedName)
            throws InvalidFileException, InvalidValueException {
        XmlElement root = SCHEMA_READER.read("NOTIFY", body);
        if (!root.name().equals(expectedName)) {
            throw new InvalidValueException("expected root element " + expectedName + ", found " + root.name());
        }
        return root;
    }

    private Moment parseMoment(String text) throws InvalidValueException {
        try {
            Instant instant = OffsetDateTime.parse(text).toInstant();
            return referenceMoment.plus(new Span(
                    java.time.Duration.between(referenceInstant, instant).toNanos()));
        } catch (DateTimeParseException | ArithmeticException e) {
            throw new InvalidValueException("invalid date and time: " + text);
        }
    }

    /**
     * The id of a switch: the four bytes of its IPv4 address, then the port, as in all switch ids of the controller.
     */
    public static long switchId(InetSocketAddress socketAddress) throws InvalidValueException {
        if (!(socketAddress.getAddress() instanceof Inet4Address address)) {
            throw new InvalidValueException("switch address is not IPv4: " + socketAddress);
        }
        return Integer.toUnsignedLong(ByteBuffer.wrap(address.getAddress()).getInt()) << 16 | socketAddress.getPort();
    }

    /** The XML body of a switch list, in UTF-8. */
    public byte[] write(SwitchList switchList) {
        StringBuilder xml = openRoot("switches", switchList.version(), switchList.full());
        for (ListedSwitch listedSwitch : switchList.entries()) {
            SwitchEntry entry = listedSwitch.entry();
            xml.append("<switch uri=\"")
                    .append(escape(listedSwitch.uri().toString()))
                    .append("\" number=\"")
                    .append(entry.number())
                    .append("\" region=\"")
                    .append(regionName(entry.zone()))
                    .append("\" state=\"")
                    .append(entry.state().name().toLowerCase(Locale.ROOT))
                    .append('"');
            if (entry.startedAt() != null) {
                xml.append(" started=\"")
                        .append(referenceInstant.plusNanos(
                                entry.startedAt().since(referenceMoment).ns()))
                        .append('"');
            }
            xml.append("/>\n");
        }
        return xml.append("</switches>\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    private String regionName(int zone) {
        return zone < 0 || zone >= regionNames.size() ? "-" : escape(regionNames.get(zone));
    }

    /** The XML body of a circuit list, in UTF-8. */
    public byte[] write(CircuitList circuitList) {
        StringBuilder xml = openRoot("circuits", circuitList.version(), circuitList.full());
        for (GroupState group : circuitList.groups()) {
            xml.append("<group name=\"")
                    .append(escape(group.name()))
                    .append("\" total=\"")
                    .append(group.total())
                    .append("\" free=\"")
                    .append(group.free())
                    .append("\"/>\n");
        }
        return xml.append("</circuits>\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    private static StringBuilder openRoot(String rootName, long version, boolean full) {
        return new StringBuilder("<")
                .append(rootName)
                .append(" xmlns=\"urn:martenslip:switches:1\" version=\"")
                .append(version)
                .append("\" extent=\"")
                .append(full ? "full" : "partial")
                .append("\">\n");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
