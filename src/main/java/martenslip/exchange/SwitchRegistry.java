package martenslip.exchange;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.SwitchEntry;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;

/**
 * What is known of switches and of the circuits of the own groups: state, no judgement. Between two notices of a
 * group its free count goes on with the rings of this exchange.
 */
final class SwitchRegistry {
    static final class GroupCircuits {
        final ExchangeConfiguration.Group group;
        /** Under none where more is under way than there was: rings that come back then must not seem to free any. */
        int free;

        int total;
        boolean known;

        int spare() {
            return Math.max(0, free);
        }

        GroupCircuits(ExchangeConfiguration.Group group) {
            this.group = group;
        }
    }

    private final Map<Long, ListedSwitch> neighbours = new LinkedHashMap<>();
    private final Map<Integer, GroupCircuits> byFar = new HashMap<>();
    private final Map<String, GroupCircuits> byName = new HashMap<>();

    SwitchRegistry(ExchangeConfiguration site) {
        for (ExchangeConfiguration.Group group : site.groups().values()) {
            GroupCircuits circuits = new GroupCircuits(group);
            byFar.put(group.farExchange(), circuits);
            byName.put(group.name(), circuits);
        }
    }

    ListedSwitch neighbour(long id) {
        return neighbours.get(id);
    }

    GroupCircuits toward(int far) {
        return byFar.get(far);
    }

    List<ListedSwitch> all() {
        return List.copyOf(neighbours.values());
    }

    /** Switches that bear the number and are not gone: two while one machine replaces another. */
    List<ListedSwitch> bearing(int number) {
        return neighbours.values().stream()
                .filter(one -> one.entry().number() == number && one.entry().state() != SwitchEntry.State.GONE)
                .toList();
    }

    void listed(List<ListedSwitch> lines, boolean whole) {
        if (whole) {
            neighbours.clear();
        }
        lines.forEach(one -> neighbours.put(one.entry().id(), one));
    }

    /** The group that was told of, or null where it is none of this exchange. */
    GroupCircuits told(EventPackageCodec.GroupState state) {
        GroupCircuits circuits = byName.get(state.name());
        if (circuits != null) {
            circuits.free = state.free();
            circuits.total = state.total();
            circuits.known = true;
        }
        return circuits;
    }

    void seized(int far, int width) {
        GroupCircuits circuits = byFar.get(far);
        if (circuits != null) {
            circuits.free -= width;
        }
    }

    void freed(int far, int width) {
        GroupCircuits circuits = byFar.get(far);
        if (circuits != null) {
            circuits.free = Math.min(circuits.total, circuits.free + width);
        }
    }
}
