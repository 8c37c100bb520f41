package martenslip.sip.transport;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts of messages and other input that could not be answered or processed, by cause. Thread-safe. */
public final class DropCounter {
    private static final int MAX_DETAIL_LENGTH = 40;

    /** Causes are constants of the program and never text from a message, so the number of entries is bounded. */
    private final ConcurrentHashMap<String, LongAdder> countsByCause = new ConcurrentHashMap<>();

    /** Counts one drop. */
    public void increment(String cause) {
        countsByCause.computeIfAbsent(cause, key -> new LongAdder()).increment();
    }

    /**
     * Counts one drop by cause and detail. The detail is truncated, as it may come from the operating system and long
     * texts would fill the table.
     */
    public void increment(String cause, String detail) {
        increment(cause + ": "
                + (detail.length() <= MAX_DETAIL_LENGTH ? detail : detail.substring(0, MAX_DETAIL_LENGTH)));
    }

    /** A snapshot of the counts, sorted by cause. */
    public Map<String, Long> counts() {
        Map<String, Long> snapshot = new TreeMap<>();
        countsByCause.forEach((cause, count) -> snapshot.put(cause, count.sum()));
        return snapshot;
    }
}
