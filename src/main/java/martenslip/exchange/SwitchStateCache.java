package martenslip.exchange;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;

/**
 * The switches and groups as last told, for whichever thread takes the subscriptions over: it begins with these while
 * its own first notices are on their way. The first lane's thread writes; any thread reads.
 */
final class SwitchStateCache {
    private final Map<Long, ListedSwitch> lines = new LinkedHashMap<>();
    private final Map<String, EventPackageCodec.GroupState> groups = new LinkedHashMap<>();

    synchronized void lines(List<ListedSwitch> told, boolean whole) {
        if (whole) {
            lines.clear();
        }
        told.forEach(one -> lines.put(one.entry().id(), one));
    }

    synchronized List<ListedSwitch> lines() {
        return List.copyOf(lines.values());
    }

    synchronized void groups(List<EventPackageCodec.GroupState> told) {
        told.forEach(one -> groups.put(one.name(), one));
    }

    synchronized List<EventPackageCodec.GroupState> groups() {
        return List.copyOf(groups.values());
    }
}
