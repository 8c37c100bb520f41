package martenslip.platform.contact;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongToIntFunction;

/**
 * The contacts that stand because their caller has named them: after a restart nothing else is known of them. Their number
 * is bounded. At the bound one gives way that is least likely to stand: of the switch where the most are named beyond
 * the circuits of its group, the oldest one of the connection that has named most there. Without I/O, threads or clock.
 */
final class NamedContacts {
    static final int MAX_COUNT = 16_384;

    /** What is needed to release a contact. */
    record NamedContact(String tag, String calledNumber, long switchId, long connectionId) {}

    private final LongToIntFunction groupSize;
    private final Map<String, NamedContact> contactsByTag = new HashMap<>();
    /** The tags at each switch by the connection that has named them, in the order in which they were named. */
    private final Map<Long, Map<Long, Set<String>>> tagsBySwitch = new LinkedHashMap<>();

    private final Map<Long, Integer> countsBySwitch = new HashMap<>();

    /** {@code groupSize} gives the circuits of a switch's group, 0 where they are not known. */
    NamedContacts(LongToIntFunction groupSize) {
        this.groupSize = groupSize;
    }

    /** Adds a contact; returns the one that gives way, or null. */
    NamedContact add(NamedContact contact) {
        if (contactsByTag.putIfAbsent(contact.tag, contact) != null) {
            return null;
        }
        tagsBySwitch
                .computeIfAbsent(contact.switchId, id -> new HashMap<>())
                .computeIfAbsent(contact.connectionId, id -> new LinkedHashSet<>())
                .add(contact.tag);
        countsBySwitch.merge(contact.switchId, 1, Integer::sum);
        return contactsByTag.size() > MAX_COUNT ? remove(leastLikely()) : null;
    }

    private String leastLikely() {
        long mostNamedSwitch = countsBySwitch.keySet().stream()
                .max(Comparator.comparingInt(id -> countAt(id) - groupSize.applyAsInt(id)))
                .orElseThrow();
        return tagsBySwitch.get(mostNamedSwitch).values().stream()
                .max(Comparator.comparingInt(Set::size))
                .orElseThrow()
                .iterator()
                .next();
    }

    /** Removes and returns a contact; null where it is not one of these. */
    NamedContact remove(String tag) {
        NamedContact removed = contactsByTag.remove(tag);
        if (removed == null) {
            return null;
        }
        Map<Long, Set<String>> tagsByConnection = tagsBySwitch.get(removed.switchId);
        Set<String> tags = tagsByConnection.get(removed.connectionId);
        tags.remove(tag);
        if (tags.isEmpty()) {
            tagsByConnection.remove(removed.connectionId);
        }
        if (tagsByConnection.isEmpty()) {
            tagsBySwitch.remove(removed.switchId);
        }
        countsBySwitch.computeIfPresent(removed.switchId, (id, count) -> count == 1 ? null : count - 1);
        return removed;
    }

    /** Removes and returns all contacts at a switch. */
    List<NamedContact> removeAllAt(long switchId) {
        List<String> tags = new ArrayList<>();
        tagsBySwitch.getOrDefault(switchId, Map.of()).values().forEach(tags::addAll);
        return tags.stream().map(this::remove).toList();
    }

    /** A contact, or null. */
    NamedContact get(String tag) {
        return contactsByTag.get(tag);
    }

    /** The switches where contacts are named. */
    Set<Long> switchIds() {
        return Set.copyOf(countsBySwitch.keySet());
    }

    int countAt(long switchId) {
        return countsBySwitch.getOrDefault(switchId, 0);
    }

    int count() {
        return contactsByTag.size();
    }

    /** The tags of all contacts. */
    Set<String> tags() {
        return Set.copyOf(contactsByTag.keySet());
    }
}
