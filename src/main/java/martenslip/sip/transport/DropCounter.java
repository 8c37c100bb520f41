package martenslip.sip.transport;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts of what could not be answered or taken, by cause. Any thread may count and read. */
public final class DropCounter {
    private static final int MOST_WHY = 40;

    /** Causes are phrases of the program, never of a message, so their number is bounded. */
    private final ConcurrentHashMap<String, LongAdder> causes = new ConcurrentHashMap<>();

    public void increment(String cause) {
        causes.computeIfAbsent(cause, any -> new LongAdder()).increment();
    }

    /** With why it was as far as a short text tells: reasons come from the system, and long ones would fill the table. */
    public void increment(String cause, String why) {
        increment(cause + ": " + (why.length() <= MOST_WHY ? why : why.substring(0, MOST_WHY)));
    }

    public Map<String, Long> counts() {
        Map<String, Long> all = new TreeMap<>();
        causes.forEach((cause, count) -> all.put(cause, count.sum()));
        return all;
    }
}
