package martenslip.exchange;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.signal.Neighbour;
import martenslip.signal.SwitchText;

/**
 * The switches and groups as last told, for whichever thread takes the subscriptions over: it begins with these while
 * its own first notices are on their way. The first lane's thread writes; any thread reads.
 */
final class Known {
    private final Map<Long, Neighbour> lines = new LinkedHashMap<>();
    private final Map<String, SwitchText.GroupState> groups = new LinkedHashMap<>();

    synchronized void lines(List<Neighbour> told, boolean whole) {
        if (whole) {
            lines.clear();
        }
        told.forEach(one -> lines.put(one.line().id(), one));
    }

    synchronized List<Neighbour> lines() {
        return List.copyOf(lines.values());
    }

    synchronized void groups(List<SwitchText.GroupState> told) {
        told.forEach(one -> groups.put(one.name(), one));
    }

    synchronized List<SwitchText.GroupState> groups() {
        return List.copyOf(groups.values());
    }
}
