package martenslip.platform.contact;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Values by tag, bounded in number and in age. A value leaves when it is removed, when it has reached its lifetime, or
 * as the oldest one when another is added to a full map. Without I/O, threads or clock.
 */
final class ExpiringTagMap<V> {
    private record Entry<V>(V value, Moment addedAt) {}

    private final int capacity;
    private final Span lifetime;
    private final BiConsumer<String, V> evictionListener;
    /** In the order of addition, so the oldest entry comes first. */
    private final Map<String, Entry<V>> entriesByTag = new LinkedHashMap<>();

    /** {@code evictionListener} is called for each value that leaves without having been removed. */
    ExpiringTagMap(int capacity, Span lifetime, BiConsumer<String, V> evictionListener) {
        this.capacity = capacity;
        this.lifetime = lifetime;
        this.evictionListener = evictionListener;
    }

    /** Adds a value, or replaces the one of this tag, whose lifetime then starts again. */
    void put(String tag, V value, Moment now) {
        entriesByTag.remove(tag);
        expire(now);
        if (entriesByTag.size() >= capacity) {
            evictOldest();
        }
        entriesByTag.put(tag, new Entry<>(value, now));
    }

    /** The value of this tag, or null. */
    V get(String tag, Moment now) {
        expire(now);
        Entry<V> entry = entriesByTag.get(tag);
        return entry == null ? null : entry.value;
    }

    /** Removes and returns the value of this tag; null where there is none. */
    V remove(String tag, Moment now) {
        V value = get(tag, now);
        entriesByTag.remove(tag);
        return value;
    }

    /** Replaces each value; their ages stay. */
    void replaceAll(UnaryOperator<V> operator) {
        entriesByTag.replaceAll((tag, entry) -> new Entry<>(operator.apply(entry.value), entry.addedAt));
    }

    int size() {
        return entriesByTag.size();
    }

    private void expire(Moment now) {
        while (!entriesByTag.isEmpty()
                && !lifetime.longerThan(
                        now.since(entriesByTag.values().iterator().next().addedAt))) {
            evictOldest();
        }
    }

    private void evictOldest() {
        Iterator<Map.Entry<String, Entry<V>>> entries = entriesByTag.entrySet().iterator();
        Map.Entry<String, Entry<V>> oldest = entries.next();
        entries.remove();
        evictionListener.accept(oldest.getKey(), oldest.getValue().value);
    }
}
