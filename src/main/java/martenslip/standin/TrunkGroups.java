package martenslip.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All trunk groups between exchanges; both ends of a group share the same circuits. Thread-safe. */
public final class TrunkGroups {
    /** The circuits that one contact holds in one group. */
    public static final class Seizure {
        private final Group group;
        private final int width;
        private final String session;
        private boolean released;

        private Seizure(Group group, int width, String session) {
            this.group = group;
            this.width = width;
            this.session = session;
        }

        /** Session-ID of the contact. */
        public String session() {
            return session;
        }
    }

    static final class Group {
        final String name;
        final int firstExchange;
        final int secondExchange;
        final int circuits;
        int lostCircuits;
        int usedCircuits;
        long changeCount;
        final Set<Seizure> seizures = new LinkedHashSet<>();

        Group(String name, int firstExchange, int secondExchange, int circuits) {
            this.name = name;
            this.firstExchange = firstExchange;
            this.secondExchange = secondExchange;
            this.circuits = circuits;
        }

        int total() {
            return circuits - lostCircuits;
        }

        int free() {
            return Math.max(0, total() - usedCircuits);
        }

        boolean isConnectedTo(int exchange) {
            return firstExchange == exchange || secondExchange == exchange;
        }
    }

    /** The circuits of a group as published to its ends; {@code changeCount} grows with each change. */
    public record CircuitState(String name, int total, int free, long changeCount) {}

    private final Map<String, Group> groups = new LinkedHashMap<>();

    /** Adds a group between two exchanges. */
    public synchronized void addGroup(String name, int firstExchange, int secondExchange, int circuits) {
        groups.put(name, new Group(name, firstExchange, secondExchange, circuits));
    }

    /** Seizes {@code width} circuits; null where the group is unknown or has too few free circuits. */
    public synchronized Seizure seize(String name, int width, String session) {
        Group group = groups.get(name);
        if (group == null || group.free() < width) {
            return null;
        }
        Seizure seizure = new Seizure(group, width, session);
        group.usedCircuits += width;
        group.changeCount++;
        group.seizures.add(seizure);
        return seizure;
    }

    /** Releases the circuits; does nothing for null or circuits already released. */
    public synchronized void release(Seizure seizure) {
        if (seizure != null && !seizure.released) {
            seizure.released = true;
            seizure.group.seizures.remove(seizure);
            seizure.group.usedCircuits -= seizure.width;
            seizure.group.changeCount++;
        }
    }

    /** The circuits of a group, or null where it is unknown. */
    public synchronized CircuitState circuitState(String name) {
        Group group = groups.get(name);
        return group == null ? null : new CircuitState(name, group.total(), group.free(), group.changeCount);
    }

    /** Groups of the exchange whose change count differs from {@code lastSeen}, which is updated. */
    public synchronized List<CircuitState> changesSince(int exchange, Map<String, Long> lastSeen) {
        List<CircuitState> changed = new ArrayList<>();
        for (Group group : groups.values()) {
            if (group.isConnectedTo(exchange) && lastSeen.getOrDefault(group.name, -1L) != group.changeCount) {
                lastSeen.put(group.name, group.changeCount);
                changed.add(new CircuitState(group.name, group.total(), group.free(), group.changeCount));
            }
        }
        return changed;
    }

    /** Reduces the group to this share of its circuits; returns the sessions on the lost ones. */
    public synchronized List<String> reduceCircuits(String name, double keptShare) {
        Group group = groups.get(name);
        group.lostCircuits = group.circuits - (int) Math.round(group.circuits * keptShare);
        group.changeCount++;
        List<String> cutSessions = new ArrayList<>();
        int excessCircuits = group.usedCircuits - group.total();
        for (Seizure seizure : group.seizures) {
            if (excessCircuits <= 0) {
                break;
            }
            excessCircuits -= seizure.width;
            cutSessions.add(seizure.session);
        }
        return cutSessions;
    }

    /** Names of the groups whose two exchanges satisfy the predicate. */
    public synchronized List<String> groupsMatching(java.util.function.BiPredicate<Integer, Integer> endsPredicate) {
        return groups.values().stream()
                .filter(group -> endsPredicate.test(group.firstExchange, group.secondExchange))
                .map(group -> group.name)
                .toList();
    }

    /** Circuits in use on all groups. */
    public synchronized int circuitsInUse() {
        return groups.values().stream().mapToInt(group -> group.usedCircuits).sum();
    }
}
