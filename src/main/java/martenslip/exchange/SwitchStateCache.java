package martenslip.exchange;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;

/**
 * The last reported state of switches and groups, for the thread that takes over the subscriptions: it starts with this
 * state until its own first notifications arrive. The thread of the first lane writes; any thread reads.
 */
final class SwitchStateCache {
    private final Map<Long, ListedSwitch> switchesById = new LinkedHashMap<>();
    private final Map<String, EventPackageCodec.GroupState> groupsByName = new LinkedHashMap<>();

    /** Replaces all switches if the list is full, else only those of the entries. */
    synchronized void updateSwitches(List<ListedSwitch> entries, boolean full) {
        if (full) {
            switchesById.clear();
        }
        entries.forEach(listedSwitch -> switchesById.put(listedSwitch.entry().id(), listedSwitch));
    }

    synchronized List<ListedSwitch> switches() {
        return List.copyOf(switchesById.values());
    }

    synchronized void updateGroups(List<EventPackageCodec.GroupState> groupStates) {
        groupStates.forEach(groupState -> groupsByName.put(groupState.name(), groupState));
    }

    synchronized List<EventPackageCodec.GroupState> groups() {
        return List.copyOf(groupsByName.values());
    }
}
