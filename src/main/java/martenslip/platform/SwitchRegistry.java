package martenslip.platform;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.platform.contact.ContactTable;
import martenslip.platform.journal.SwitchListEvent;
import martenslip.platform.switchconnection.SwitchConnections;

/**
 * The switch list. It gives each switch id a number, since an address may be reused but an id never is, and keeps the
 * connections to the switches and the module's list in step with the journal's events. Belongs to the decision thread.
 */
final class SwitchRegistry {
    private record RegisteredSwitch(long switchId, long startedAtMs) {}

    private final ContactTable contactTable;
    private final SwitchConnections switchConnections;
    private final List<String> zones;
    /** The program's monotonic clock minus the Unix clock, taken at the start. */
    private final Span clockOffset;

    private final RateLimitedLog log;
    private final Map<String, RegisteredSwitch> switchesById = new LinkedHashMap<>();
    private long lastSwitchId;

    SwitchRegistry(
            ContactTable contactTable,
            SwitchConnections switchConnections,
            String zones,
            Moment now,
            long unixTimeMs,
            RateLimitedLog log) {
        this.contactTable = contactTable;
        this.switchConnections = switchConnections;
        this.zones = Arrays.asList(zones.split(","));
        this.log = log;
        clockOffset = new Span(now.ns() - unixTimeMs * 1_000_000);
    }

    /** The number of a listed switch, or 0 where the id is not listed. */
    long switchId(String instanceId) {
        RegisteredSwitch registered = switchesById.get(instanceId);
        return registered == null ? 0 : registered.switchId;
    }

    /** Applies the events up to the start as one list. */
    void applyInitialEvents(List<SwitchListEvent> events, Moment now) {
        Map<String, SwitchListEvent.Entry> entriesById = new LinkedHashMap<>();
        for (SwitchListEvent event : events) {
            if (event.full()) {
                entriesById.clear();
            }
            for (SwitchListEvent.Entry entry : event.entries()) {
                if (entry.state() == SwitchEntry.State.GONE) {
                    entriesById.remove(entry.id());
                } else {
                    entriesById.put(entry.id(), entry);
                }
            }
        }
        applyEntries(ListKind.CACHED, List.copyOf(entriesById.values()), now);
    }

    /** Applies an event of the journal. */
    void applyEvent(SwitchListEvent event, Moment now) {
        applyEntries(event.full() ? ListKind.FULL : ListKind.CHANGES, event.entries(), now);
    }

    private void applyEntries(ListKind kind, List<SwitchListEvent.Entry> entries, Moment now) {
        List<SwitchEntry> controllerEntries = new ArrayList<>();
        Set<String> removedIds = new HashSet<>();
        Map<Long, Moment> restarted = new HashMap<>();
        Set<String> listedIds = new HashSet<>();
        for (SwitchListEvent.Entry entry : entries) {
            listedIds.add(entry.id());
            RegisteredSwitch previous = switchesById.get(entry.id());
            if (entry.state() == SwitchEntry.State.GONE && previous == null) {
                continue;
            }
            RegisteredSwitch registered =
                    new RegisteredSwitch(previous == null ? ++lastSwitchId : previous.switchId, entry.startedAtMs());
            switchesById.put(entry.id(), registered);
            Moment startedAt =
                    entry.startedAtMs() == 0 ? null : new Moment(entry.startedAtMs() * 1_000_000).plus(clockOffset);
            if (previous != null && entry.startedAtMs() > previous.startedAtMs) {
                restarted.put(registered.switchId, startedAt);
            }
            log.write(
                    "list",
                    entry.id() + " is switch " + registered.switchId + ", number " + entry.number() + ", "
                            + entry.state() + " at " + entry.address() + " since " + entry.startedAtMs());
            controllerEntries.add(new SwitchEntry(
                    registered.switchId,
                    entry.number(),
                    entry.state(),
                    startedAt,
                    Math.max(0, zones.indexOf(entry.zone()))));
            if (entry.state() == SwitchEntry.State.GONE) {
                removedIds.add(entry.id());
            } else {
                switchConnections.switchListed(
                        registered.switchId, entry.address(), entry.state() == SwitchEntry.State.DRAINING);
            }
        }
        if (kind != ListKind.CHANGES) {
            switchesById.keySet().stream()
                    .filter(instanceId -> !listedIds.contains(instanceId))
                    .forEach(removedIds::add);
        }
        restarted.forEach(contactTable::switchProcessEnded);
        contactTable.notifyController(controller -> controller.switchListReceived(now, kind, controllerEntries));
        for (String instanceId : removedIds) {
            long switchId = switchesById.remove(instanceId).switchId;
            switchConnections.switchUnlisted(switchId);
            contactTable.switchRemoved(switchId);
        }
    }
}
