package martenslip.platform.journal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import martenslip.control.SwitchEntry;
import martenslip.platform.json.AddressParser;
import martenslip.platform.json.Json;

/**
 * One event of the journal service.
 *
 * @param position position in the journal
 * @param full true if the entries are the whole switch list, false if they are changes
 * @param entries switches of the list or changed switches
 */
public record SwitchListEvent(long position, boolean full, List<Entry> entries) {
    private static final int MAX_ENTRIES = 4096;

    /**
     * A switch.
     *
     * @param address null only if the switch is gone
     * @param number the field {@code cell}, or -1 if it is absent
     * @param startedAtMs start of the switch in ms since the epoch, 0 if it was long ago
     */
    public record Entry(
            String id, InetSocketAddress address, String zone, int number, SwitchEntry.State state, long startedAtMs) {}

    /**
     * Converts a parsed JSON value.
     *
     * @throws IOException if any part of the event is invalid
     */
    public static SwitchListEvent parse(Object value) throws IOException {
        if (!(value instanceof Map<?, ?> event)
                || !(event.get("hosts") instanceof Map<?, ?> hosts)
                || !(hosts.get("instances") instanceof List<?> instances)
                || instances.size() > MAX_ENTRIES) {
            throw new IOException("an event without hosts and instances");
        }
        List<Entry> entries = new ArrayList<>();
        for (Object instance : instances) {
            entries.add(parseEntry(instance));
        }
        return new SwitchListEvent(
                (long) Json.number(event.get("pos"), "pos"), Boolean.TRUE.equals(hosts.get("reset")), entries);
    }

    private static Entry parseEntry(Object value) throws IOException {
        if (!(value instanceof Map<?, ?> instance) || !(instance.get("instanceId") instanceof String id)) {
            throw new IOException("an instance without instanceId");
        }
        SwitchEntry.State state = switch (String.valueOf(instance.get("lifecycle"))) {
            case "up" -> SwitchEntry.State.READY;
            case "draining" -> SwitchEntry.State.DRAINING;
            case "removed" -> SwitchEntry.State.GONE;
            default -> throw new IOException(id + ": unknown lifecycle " + instance.get("lifecycle"));
        };
        InetSocketAddress address = state == SwitchEntry.State.GONE && instance.get("hostPort") == null
                ? null
                : AddressParser.parse(instance.get("hostPort"), id + ".hostPort");
        Object startedAtMs = instance.get("startedAtMs");
        return new Entry(
                id,
                address,
                String.valueOf(instance.get("zone")),
                instance.get("cell") == null ? -1 : (int) Json.number(instance.get("cell"), id + ".cell"),
                state,
                startedAtMs == null ? 0 : (long) Json.number(startedAtMs, id + ".startedAtMs"));
    }
}
