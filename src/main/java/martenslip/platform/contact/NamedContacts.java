package martenslip.platform.contact;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The contacts that stand because their caller has named them, by the connection that did. Their number is bounded: at the
 * bound the oldest one of the connection that has named most gives way, so a caller who names calls that no switch knows
 * displaces its own. Without I/O, threads or clock.
 */
final class NamedContacts {
    static final int MAX_COUNT = 8192;

    /** The tags of each connection in the order in which they were named. */
    private final Map<Long, Set<String>> tagsByConnection = new HashMap<>();

    private int count;

    /** Adds a contact; returns the tag of the one that gives way, or null. */
    String add(String tag, long connectionId) {
        if (tagsByConnection
                .computeIfAbsent(connectionId, id -> new LinkedHashSet<>())
                .add(tag)) {
            count++;
        }
        return count > MAX_COUNT ? removeOldestOfLargest() : null;
    }

    private String removeOldestOfLargest() {
        long largest = tagsByConnection.entrySet().stream()
                .max(Comparator.comparingInt(entry -> entry.getValue().size()))
                .orElseThrow()
                .getKey();
        Iterator<String> tags = tagsByConnection.get(largest).iterator();
        String oldest = tags.next();
        remove(oldest, largest);
        return oldest;
    }

    /** A contact has ended. */
    void remove(String tag, long connectionId) {
        Set<String> tags = tagsByConnection.get(connectionId);
        if (tags == null || !tags.remove(tag)) {
            return;
        }
        count--;
        if (tags.isEmpty()) {
            tagsByConnection.remove(connectionId);
        }
    }

    int count() {
        return count;
    }
}
