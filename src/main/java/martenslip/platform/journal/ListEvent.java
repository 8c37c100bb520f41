package martenslip.platform.journal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import martenslip.control.SwitchLine;
import martenslip.platform.json.Addresses;
import martenslip.platform.json.Json;

/** One event of the journal service: its number, whether it is the whole list, and the lines it names. */
public record ListEvent(long position, boolean whole, List<Entry> entries) {
    private static final int MOST_ENTRIES = 4096;

    /** A line of the list; {@code startedMs} is 0 where the start was long ago. */
    public record Entry(
            String id, InetSocketAddress at, String zone, int number, SwitchLine.State state, long startedMs) {}

    /** Read whole or not at all. */
    public static ListEvent of(Object value) throws IOException {
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
        return new ListEvent(
                (long) Json.figure(event.get("pos"), "pos"), Boolean.TRUE.equals(hosts.get("reset")), entries);
    }

    private static Entry entry(Object value) throws IOException {
        if (!(value instanceof Map<?, ?> line) || !(line.get("instanceId") instanceof String id)) {
            throw new IOException("an instance without instanceId");
        }
        SwitchLine.State state = switch (String.valueOf(line.get("lifecycle"))) {
            case "up" -> SwitchLine.State.READY;
            case "draining" -> SwitchLine.State.DRAINING;
            case "removed" -> SwitchLine.State.GONE;
            default -> throw new IOException(id + ": lifecycle " + line.get("lifecycle"));
        };
        InetSocketAddress at = state == SwitchLine.State.GONE && line.get("hostPort") == null
                ? null
                : Addresses.of(line.get("hostPort"), id + ".hostPort");
        Object started = line.get("startedAtMs");
        return new Entry(
                id,
                at,
                String.valueOf(line.get("zone")),
                line.get("cell") == null ? -1 : (int) Json.figure(line.get("cell"), id + ".cell"),
                state,
                started == null ? 0 : (long) Json.figure(started, id + ".startedAtMs"));
    }
}
