package martenslip.platform.journal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import martenslip.control.SwitchEntry;
import martenslip.platform.json.AddressParser;
import martenslip.platform.json.Json;

/** One event of the journal service: its number, whether it is the whole list, and the lines it names. */
public record SwitchListEvent(long position, boolean full, List<Entry> entries) {
    private static final int MOST_ENTRIES = 4096;

    /** A line of the list; {@code startedMs} is 0 where the start was long ago. */
    public record Entry(
            String id, InetSocketAddress address, String zone, int number, SwitchEntry.State state, long startedAtMs) {}

    /** Read whole or not at all. */
    public static SwitchListEvent parse(Object value) throws IOException {
        if (!(value instanceof Map<?, ?> event)
                || !(event.get("hosts") instanceof Map<?, ?> hosts)
                || !(hosts.get("instances") instanceof List<?> lines)
                || lines.size() > MOST_ENTRIES) {
            throw new IOException("an event without hosts and instances");
        }
        List<Entry> entries = new ArrayList<>();
        for (Object line : lines) {
            entries.add(entry(line));
        }
        return new SwitchListEvent(
                (long) Json.number(event.get("pos"), "pos"), Boolean.TRUE.equals(hosts.get("reset")), entries);
    }

    private static Entry entry(Object value) throws IOException {
        if (!(value instanceof Map<?, ?> line) || !(line.get("instanceId") instanceof String id)) {
            throw new IOException("an instance without instanceId");
        }
        SwitchEntry.State state = switch (String.valueOf(line.get("lifecycle"))) {
            case "up" -> SwitchEntry.State.READY;
            case "draining" -> SwitchEntry.State.DRAINING;
            case "removed" -> SwitchEntry.State.GONE;
            default -> throw new IOException(id + ": lifecycle " + line.get("lifecycle"));
        };
        InetSocketAddress at = state == SwitchEntry.State.GONE && line.get("hostPort") == null
                ? null
                : AddressParser.parse(line.get("hostPort"), id + ".hostPort");
        Object started = line.get("startedAtMs");
        return new Entry(
                id,
                at,
                String.valueOf(line.get("zone")),
                line.get("cell") == null ? -1 : (int) Json.number(line.get("cell"), id + ".cell"),
                state,
                started == null ? 0 : (long) Json.number(started, id + ".startedAtMs"));
    }
}
