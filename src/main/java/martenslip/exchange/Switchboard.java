package martenslip.exchange;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.SwitchLine;
import martenslip.provision.Site;
import martenslip.signal.Neighbour;
import martenslip.signal.SwitchText;

/**
 * What is known of switches and of the circuits of the own groups: state, no judgement. Between two notices of a
 * group its free count goes on with the rings of this exchange.
 */
final class Switchboard {
    static final class Circuits {
        final Site.Group group;
        /** Under none where more is under way than there was: rings that come back then must not seem to free any. */
        int free;

        int total;
        boolean known;

        int spare() {
            return Math.max(0, free);
        }

        Circuits(Site.Group group) {
            this.group = group;
        }
    }

    private final Map<Long, Neighbour> neighbours = new LinkedHashMap<>();
    private final Map<Integer, Circuits> byFar = new HashMap<>();
    private final Map<String, Circuits> byName = new HashMap<>();

    Switchboard(Site site) {
        for (Site.Group group : site.groups().values()) {
            Circuits circuits = new Circuits(group);
            byFar.put(group.far(), circuits);
            byName.put(group.name(), circuits);
        }
    }

    Neighbour neighbour(long id) {
        return neighbours.get(id);
    }

    Circuits toward(int far) {
        return byFar.get(far);
    }

    List<Neighbour> all() {
        return List.copyOf(neighbours.values());
    }

    /** Switches that bear the number and are not gone: two while one machine replaces another. */
    List<Neighbour> bearing(int number) {
        return neighbours.values().stream()
                .filter(one -> one.line().number() == number && one.line().state() != SwitchLine.State.GONE)
                .toList();
    }

    void listed(List<Neighbour> lines, boolean whole) {
        if (whole) {
            neighbours.clear();
        }
        lines.forEach(one -> neighbours.put(one.line().id(), one));
    }

    /** The group that was told of, or null where it is none of this exchange. */
    Circuits told(SwitchText.GroupState state) {
        Circuits circuits = byName.get(state.name());
        if (circuits != null) {
            circuits.free = state.free();
            circuits.total = state.total();
            circuits.known = true;
        }
        return circuits;
    }

    void seized(int far, int width) {
        Circuits circuits = byFar.get(far);
        if (circuits != null) {
            circuits.free -= width;
        }
    }

    void freed(int far, int width) {
        Circuits circuits = byFar.get(far);
        if (circuits != null) {
            circuits.free = Math.min(circuits.total, circuits.free + width);
        }
    }
}
