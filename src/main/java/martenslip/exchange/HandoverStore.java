package martenslip.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What of a lane outlives its thread: the wills of its contacts, the count of its ids and the figures of the threads
 * that were replaced. The lane's thread writes; a successor reads once that thread has been fenced. Bounded by the
 * contacts that are open and those whose INVITE may still be repeated.
 */
final class HandoverStore {
    private final int lane;
    private final int lanes;
    private final AtomicLong count = new AtomicLong();
    private final Map<Long, HandoverRecord> wills = new ConcurrentHashMap<>();
    private final List<ExchangeStatistics> past = new ArrayList<>();

    HandoverStore(int lane, int lanes) {
        this.lane = lane;
        this.lanes = lanes;
    }

    /** Ids tell their lane: see {@link #laneOf}. */
    long nextId() {
        return count.incrementAndGet() * lanes + lane;
    }

    static int laneOf(long contact, int lanes) {
        return (int) (contact % lanes);
    }

    void put(HandoverRecord will) {
        wills.put(will.contact().id(), will);
    }

    void remove(long contact) {
        wills.remove(contact);
    }

    /** In the order in which they were taken. */
    List<HandoverRecord> wills() {
        List<HandoverRecord> all = new ArrayList<>(wills.values());
        all.sort(Comparator.comparing(will -> will.contact().id()));
        return all;
    }

    synchronized void past(ExchangeStatistics figures) {
        past.add(figures);
    }

    synchronized void addPast(ExchangeStatistics sum) {
        past.forEach(sum::add);
    }
}
