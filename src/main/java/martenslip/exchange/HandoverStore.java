package martenslip.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The state of a lane that outlives its thread: the handover records of its contacts, the counter of contact ids and
 * the statistics of replaced threads. The thread of the lane writes; a successor reads once that thread has been
 * fenced. Bounded by the open contacts and those whose INVITE may still be retransmitted.
 */
final class HandoverStore {
    private final int laneNumber;
    private final int laneCount;
    private final AtomicLong idCounter = new AtomicLong();
    private final Map<Long, HandoverRecord> recordsById = new ConcurrentHashMap<>();
    private final List<ExchangeStatistics> replacedThreadStatistics = new ArrayList<>();

    HandoverStore(int laneNumber, int laneCount) {
        this.laneNumber = laneNumber;
        this.laneCount = laneCount;
    }

    /** A new contact id, from which {@link #laneOf} derives the lane. */
    long nextContactId() {
        return idCounter.incrementAndGet() * laneCount + laneNumber;
    }

    static int laneOf(long contactId, int laneCount) {
        return (int) (contactId % laneCount);
    }

    void put(HandoverRecord handoverRecord) {
        recordsById.put(handoverRecord.contact().id(), handoverRecord);
    }

    void remove(long contactId) {
        recordsById.remove(contactId);
    }

    /** The records in the order in which the contacts were accepted. */
    List<HandoverRecord> records() {
        List<HandoverRecord> sortedRecords = new ArrayList<>(recordsById.values());
        sortedRecords.sort(
                Comparator.comparing(handoverRecord -> handoverRecord.contact().id()));
        return sortedRecords;
    }

    synchronized void addReplacedThreadStatistics(ExchangeStatistics statistics) {
        replacedThreadStatistics.add(statistics);
    }

    synchronized void addReplacedThreadStatisticsTo(ExchangeStatistics total) {
        replacedThreadStatistics.forEach(total::add);
    }
}
