package martenslip.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All groups of circuits between exchanges; both ends of a group see the same circuits. Any thread may call. */
public final class TrunkGroups {
    /** Circuits held by one contact on one group. */
    public static final class Seizure {
        private final Group group;
        private final int width;
        private final String session;
        private boolean freed;

        private Seizure(Group group, int width, String session) {
            this.group = group;
            this.width = width;
            this.session = session;
        }

        public String session() {
            return session;
        }
    }

    static final class Group {
        final String name;
        final int a;
        final int b;
        final int size;
        int lost;
        int used;
        long changes;
        final Set<Seizure> held = new LinkedHashSet<>();

        Group(String name, int a, int b, int size) {
            this.name = name;
            this.a = a;
            this.b = b;
            this.size = size;
        }

        int total() {
            return size - lost;
        }

        int free() {
            return Math.max(0, total() - used);
        }

        boolean touches(int exchange) {
            return a == exchange || b == exchange;
        }
    }

    /** A group as one end is told of it. */
    public record CircuitState(String name, int total, int free, long changes) {}

    private final Map<String, Group> groups = new LinkedHashMap<>();

    public synchronized void addGroup(String name, int a, int b, int size) {
        groups.put(name, new Group(name, a, b, size));
    }

    /** Null where the group is unknown or has too few free. */
    public synchronized Seizure seize(String name, int width, String session) {
        Group group = groups.get(name);
        if (group == null || group.free() < width) {
            return null;
        }
        Seizure seizure = new Seizure(group, width, session);
        group.used += width;
        group.changes++;
        group.held.add(seizure);
        return seizure;
    }

    public synchronized void release(Seizure seizure) {
        if (seizure != null && !seizure.freed) {
            seizure.freed = true;
            seizure.group.held.remove(seizure);
            seizure.group.used -= seizure.width;
            seizure.group.changes++;
        }
    }

    public synchronized CircuitState circuitState(String name) {
        Group group = groups.get(name);
        return group == null ? null : new CircuitState(name, group.total(), group.free(), group.changes);
    }

    /** Groups of the exchange that changed after the count that {@code seen} holds for them, which is brought up. */
    public synchronized List<CircuitState> changed(int exchange, Map<String, Long> seen) {
        List<CircuitState> changed = new ArrayList<>();
        for (Group group : groups.values()) {
            if (group.touches(exchange) && seen.getOrDefault(group.name, -1L) != group.changes) {
                seen.put(group.name, group.changes);
                changed.add(new CircuitState(group.name, group.total(), group.free(), group.changes));
            }
        }
        return changed;
    }

    /** The group keeps this part of its circuits; sessions on the lost ones are returned. */
    public synchronized List<String> reduceCircuits(String name, double part) {
        Group group = groups.get(name);
        group.lost = group.size - (int) Math.round(group.size * part);
        group.changes++;
        List<String> cut = new ArrayList<>();
        int over = group.used - group.total();
        for (Seizure seizure : group.held) {
            if (over <= 0) {
                break;
            }
            over -= seizure.width;
            cut.add(seizure.session);
        }
        return cut;
    }

    /** Names of the groups that pass the test of their two ends. */
    public synchronized List<String> groupsMatching(java.util.function.BiPredicate<Integer, Integer> ends) {
        return groups.values().stream()
                .filter(group -> ends.test(group.a, group.b))
                .map(group -> group.name)
                .toList();
    }

    /** Circuits in use on all groups. */
    public synchronized int circuitsInUse() {
        return groups.values().stream().mapToInt(group -> group.used).sum();
    }
}
