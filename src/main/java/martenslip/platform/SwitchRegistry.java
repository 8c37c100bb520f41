package martenslip.platform;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.SwitchEntry;
import martenslip.platform.contact.ContactTable;
import martenslip.platform.journal.SwitchListEvent;
import martenslip.platform.switchconnection.SwitchConnections;

/**
 * The switch list. It gives each switch id a number, since an address may be reused but an id never is, and keeps the
 * connections to the switches and the module's list in step with the journal's events. Belongs to the decision thread.
 */
final class SwitchRegistry {
    /**
     * A listed switch.
     *
     * @param entry as last listed
     * @param firstEvent ordinal of the event that listed it first
     * @param replaced whether the list has given its address to a newer process since
     */
    private record RegisteredSwitch(long switchId, SwitchListEvent.Entry entry, long firstEvent, boolean replaced) {
        /** Whether the other process started later; false where the list does not tell. */
        boolean isOlderThan(RegisteredSwitch other) {
            if (entry.startedAtMs() != other.entry.startedAtMs()) {
                return entry.startedAtMs() < other.entry.startedAtMs();
            }
            return firstEvent != other.firstEvent
                    ? firstEvent < other.firstEvent
                    : entry.state() != SwitchEntry.State.READY && other.entry.state() == SwitchEntry.State.READY;
        }

        /** Whether a later entry of the same id means another process than this one. */
        boolean isSucceededBy(SwitchListEvent.Entry later) {
            return later.startedAtMs() > entry.startedAtMs() || !later.address().equals(entry.address());
        }

        RegisteredSwitch asReplaced() {
            return new RegisteredSwitch(switchId, entry, firstEvent, true);
        }
    }

    private final ContactTable contactTable;
    private final SwitchConnections switchConnections;
    private final List<String> zones;
    private final UnixClockOffset unixClockOffset;
    private final RateLimitedLog log;
    private final Map<String, RegisteredSwitch> switchesById = new LinkedHashMap<>();
    private long lastSwitchId;
    private long eventCount;

    SwitchRegistry(
            ContactTable contactTable,
            SwitchConnections switchConnections,
            String zones,
            UnixClockOffset unixClockOffset,
            RateLimitedLog log) {
        this.contactTable = contactTable;
        this.switchConnections = switchConnections;
        this.zones = Arrays.asList(zones.split(","));
        this.unixClockOffset = unixClockOffset;
        this.log = log;
    }

    /** The number of a listed switch, or 0 where the id is not listed or its process has ended for good. */
    long switchId(String instanceId) {
        RegisteredSwitch registered = switchesById.get(instanceId);
        return registered == null || !switchConnections.mayBeAlive(registered.switchId) ? 0 : registered.switchId;
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
        eventCount++;
        Map<Long, Moment> restarted = new HashMap<>();
        List<RegisteredSwitch> moved = new ArrayList<>();
        Set<String> listedIds = new HashSet<>();
        for (SwitchListEvent.Entry entry : entries) {
            listedIds.add(entry.id());
            if (entry.state() != SwitchEntry.State.GONE) {
                register(entry, restarted, moved, now);
            }
        }
        Set<String> removedIds = removedIds(kind, entries, listedIds);
        Set<String> replacedIds = replacedIds(removedIds);
        List<SwitchEntry> controllerEntries = controllerEntries(entries, listedIds, replacedIds);
        moved.forEach(registered -> controllerEntries.add(goneEntry(registered)));
        List<SwitchListEvent.Entry> listedEntries = entries.stream()
                .filter(entry -> isListed(entry.id()) && !removedIds.contains(entry.id()))
                .filter(entry -> !replacedIds.contains(entry.id()))
                .toList();
        listedEntries.forEach(this::connect);
        restarted.forEach(switchConnections::processRestarted);
        contactTable.notifyController(controller -> controller.switchListReceived(now, kind, controllerEntries));
        moved.forEach(this::unlist);
        removedIds.forEach(instanceId -> unlist(switchesById.remove(instanceId)));
        replacedIds.forEach(instanceId -> unlist(switchesById.get(instanceId)));
        replacedIds.forEach(
                instanceId -> switchesById.computeIfPresent(instanceId, (id, replaced) -> replaced.asReplaced()));
        // Only now: the ends of contacts at a switch follow the news that it has gone.
        listedEntries.forEach(
                entry -> switchConnections.addressListed(switchesById.get(entry.id()).switchId, startedAt(entry)));
    }

    private boolean isListed(String instanceId) {
        RegisteredSwitch registered = switchesById.get(instanceId);
        return registered != null && !registered.replaced;
    }

    private void register(
            SwitchListEvent.Entry entry, Map<Long, Moment> restarted, List<RegisteredSwitch> moved, Moment now) {
        RegisteredSwitch previous = switchesById.get(entry.id());
        if (previous != null && previous.replaced) {
            if (!previous.isSucceededBy(entry)) {
                return;
            }
            previous = null;
        }
        if (previous != null && !previous.entry.address().equals(entry.address())) {
            // Another process under the id; what stands at the earlier one ends as at any switch that has left.
            moved.add(previous);
            previous = null;
        }
        RegisteredSwitch registered = previous == null
                ? new RegisteredSwitch(++lastSwitchId, entry, eventCount, false)
                : new RegisteredSwitch(previous.switchId, entry, previous.firstEvent, false);
        switchesById.put(entry.id(), registered);
        if (previous != null && entry.startedAtMs() > previous.entry.startedAtMs()) {
            restarted.put(registered.switchId, startedAt(entry));
        }
        log.write(
                "list",
                entry.id() + " is switch " + registered.switchId + ", number " + entry.number() + ", " + entry.state()
                        + " at " + entry.address() + " since " + describeStart(entry, now));
    }

    private String describeStart(SwitchListEvent.Entry entry, Moment now) {
        Moment startedAt = startedAt(entry);
        return startedAt == null
                ? "0"
                : entry.startedAtMs() + ", " + now.since(startedAt).ns() / 1_000_000 + " ms ago";
    }

    private Set<String> removedIds(ListKind kind, List<SwitchListEvent.Entry> entries, Set<String> listedIds) {
        Set<String> removedIds = new LinkedHashSet<>();
        entries.stream()
                .filter(entry -> entry.state() == SwitchEntry.State.GONE && switchesById.containsKey(entry.id()))
                .forEach(entry -> removedIds.add(entry.id()));
        if (kind != ListKind.CHANGES) {
            switchesById.keySet().stream()
                    .filter(instanceId -> !listedIds.contains(instanceId))
                    .forEach(removedIds::add);
        }
        return removedIds;
    }

    /** The listed switches whose address the list gives to a newer process. */
    private Set<String> replacedIds(Set<String> removedIds) {
        Map<InetSocketAddress, List<RegisteredSwitch>> switchesByAddress = new HashMap<>();
        switchesById.forEach((instanceId, registered) -> {
            if (!registered.replaced && !removedIds.contains(instanceId)) {
                switchesByAddress
                        .computeIfAbsent(registered.entry.address(), address -> new ArrayList<>())
                        .add(registered);
            }
        });
        Set<String> replacedIds = new LinkedHashSet<>();
        for (List<RegisteredSwitch> sharing : switchesByAddress.values()) {
            sharing.stream()
                    .filter(registered -> sharing.stream().anyMatch(registered::isOlderThan))
                    .forEach(registered -> replacedIds.add(registered.entry.id()));
        }
        return replacedIds;
    }

    /** The module's list: to it, a switch whose process has been replaced is gone, whatever its state in the event. */
    private List<SwitchEntry> controllerEntries(
            List<SwitchListEvent.Entry> entries, Set<String> listedIds, Set<String> replacedIds) {
        List<SwitchEntry> controllerEntries = new ArrayList<>();
        for (SwitchListEvent.Entry entry : entries) {
            if (isListed(entry.id())) {
                SwitchEntry.State state = replacedIds.contains(entry.id()) ? SwitchEntry.State.GONE : entry.state();
                controllerEntries.add(controllerEntry(switchesById.get(entry.id()).switchId, entry, state));
            }
        }
        for (String instanceId : replacedIds) {
            if (!listedIds.contains(instanceId)) {
                RegisteredSwitch registered = switchesById.get(instanceId);
                controllerEntries.add(goneEntry(registered));
            }
        }
        return controllerEntries;
    }

    private SwitchEntry goneEntry(RegisteredSwitch registered) {
        return controllerEntry(registered.switchId, registered.entry, SwitchEntry.State.GONE);
    }

    private SwitchEntry controllerEntry(long switchId, SwitchListEvent.Entry entry, SwitchEntry.State state) {
        return new SwitchEntry(
                switchId, entry.number(), state, startedAt(entry), Math.max(0, zones.indexOf(entry.zone())));
    }

    private void unlist(RegisteredSwitch registered) {
        log.write(
                "list",
                registered.entry.id() + " leaves the list, " + registered.entry.address()
                        + (registered.replaced ? ", replaced before" : ""));
        switchConnections.switchUnlisted(registered.switchId);
        contactTable.switchRemoved(registered.switchId);
    }

    private void connect(SwitchListEvent.Entry entry) {
        switchConnections.switchListed(
                switchesById.get(entry.id()).switchId, entry.address(), entry.state() == SwitchEntry.State.DRAINING);
    }

    /** When the process started, on the program's clock; null if it did not start late. */
    private Moment startedAt(SwitchListEvent.Entry entry) {
        return entry.startedAtMs() == 0 ? null : unixClockOffset.toMoment(entry.startedAtMs());
    }
}
