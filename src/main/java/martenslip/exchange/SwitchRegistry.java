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
 * The known switches and the circuits of the trunk groups of this exchange. Holds state and decides nothing. Between
 * two notifications of a group its free count is adjusted by the rings of this exchange.
 */
final class SwitchRegistry {
    /** Circuits of one trunk group. */
    static final class GroupCircuits {
        final ExchangeConfiguration.Group configuration;
        /**
         * Negative if the rings in flight take more circuits than were free: the end of such a ring must not appear to
         * free circuits.
         */
        int free;

        int total;
        /** True once the group has been reported. */
        boolean known;

        /** Free circuits, at least 0. */
        int availableCircuits() {
            return Math.max(0, free);
        }

        GroupCircuits(ExchangeConfiguration.Group configuration) {
            this.configuration = configuration;
        }
    }

    private final Map<Long, ListedSwitch> switchesById = new LinkedHashMap<>();
    private final Map<Integer, GroupCircuits> groupsByFarExchange = new HashMap<>();
    private final Map<String, GroupCircuits> groupsByName = new HashMap<>();

    SwitchRegistry(ExchangeConfiguration configuration) {
        for (ExchangeConfiguration.Group group : configuration.groups().values()) {
            GroupCircuits circuits = new GroupCircuits(group);
            groupsByFarExchange.put(group.farExchange(), circuits);
            groupsByName.put(group.name(), circuits);
        }
    }

    /** The switch with this id, or null. */
    ListedSwitch switchById(long switchId) {
        return switchesById.get(switchId);
    }

    /** The trunk group toward this exchange, or null. */
    GroupCircuits groupToward(int farExchange) {
        return groupsByFarExchange.get(farExchange);
    }

    List<ListedSwitch> switches() {
        return List.copyOf(switchesById.values());
    }

    /** Switches with this exchange number that are not gone: two while one machine replaces another. */
    List<ListedSwitch> switchesNotGone(int exchangeNumber) {
        return switchesById.values().stream()
                .filter(listedSwitch -> listedSwitch.entry().number() == exchangeNumber
                        && listedSwitch.entry().state() != SwitchEntry.State.GONE)
                .toList();
    }

    /** Replaces all switches if the list is full, else only those of the entries. */
    void updateSwitches(List<ListedSwitch> entries, boolean full) {
        if (full) {
            switchesById.clear();
        }
        entries.forEach(listedSwitch -> switchesById.put(listedSwitch.entry().id(), listedSwitch));
    }

    /**
     * Takes over the reported state of a group and returns the group, or null if it does not belong to this exchange.
     */
    GroupCircuits updateGroup(EventPackageCodec.GroupState groupState) {
        GroupCircuits circuits = groupsByName.get(groupState.name());
        if (circuits != null) {
            circuits.free = groupState.free();
            circuits.total = groupState.total();
            circuits.known = true;
        }
        return circuits;
    }

    /** Counts circuits as taken by a ring toward an exchange. */
    void seizeCircuits(int farExchange, int width) {
        GroupCircuits circuits = groupsByFarExchange.get(farExchange);
        if (circuits != null) {
            circuits.free -= width;
        }
    }

    /** Counts circuits as free after the end of a ring, at most the total of the group. */
    void releaseCircuits(int farExchange, int width) {
        GroupCircuits circuits = groupsByFarExchange.get(farExchange);
        if (circuits != null) {
            circuits.free = Math.min(circuits.total, circuits.free + width);
        }
    }
}
