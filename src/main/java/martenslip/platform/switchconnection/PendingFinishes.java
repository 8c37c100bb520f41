package martenslip.platform.switchconnection;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * The FINISH messages that one switch has not acknowledged, to be sent again on the next connection. Bounded in count
 * and in time; the oldest leaves first. Without I/O, threads or clock.
 */
final class PendingFinishes {
    /** Longer than a cut of the network of 6 s. */
    private static final Span LIFETIME = Span.ofMillis(15_000);

    private static final int MAX_COUNT = 2048;

    private record PendingFinish(int cause, long connectionId, Moment queuedAt) {}

    /** By tag, oldest first. */
    private final Map<String, PendingFinish> finishesByTag = new LinkedHashMap<>();

    /** {@code connectionId} is the connection of the contact's START, 0 if it is not known. */
    void add(String tag, int cause, long connectionId, Moment now) {
        removeExpired(now);
        if (finishesByTag.size() >= MAX_COUNT) {
            Iterator<String> tags = finishesByTag.keySet().iterator();
            tags.next();
            tags.remove();
        }
        finishesByTag.put(tag, new PendingFinish(cause, connectionId, now));
    }

    void remove(String tag) {
        finishesByTag.remove(tag);
    }

    /** Drops what is owed to a process that has ended: all but the contacts started on these connections. */
    void retainConnections(Set<Long> connectionIds) {
        finishesByTag.values().removeIf(finish -> !connectionIds.contains(finish.connectionId));
    }

    /** Adds those of the contacts started on these connections to the ones of the process that has them now. */
    void moveTo(PendingFinishes successor, Set<Long> connectionIds) {
        retainConnections(connectionIds);
        finishesByTag.forEach(successor.finishesByTag::putIfAbsent);
        finishesByTag.clear();
    }

    /** The causes by tag, oldest first. */
    Map<String, Integer> unexpired(Moment now) {
        removeExpired(now);
        Map<String, Integer> causesByTag = new LinkedHashMap<>();
        finishesByTag.forEach((tag, finish) -> causesByTag.put(tag, finish.cause));
        return causesByTag;
    }

    private void removeExpired(Moment now) {
        Iterator<PendingFinish> finishes = finishesByTag.values().iterator();
        while (finishes.hasNext() && now.since(finishes.next().queuedAt).longerThan(LIFETIME)) {
            finishes.remove();
        }
    }
}
