package martenslip.sip.transport;

import java.util.StringJoiner;
import martenslip.control.Span;

/** Counts of times in bins whose upper edges double from 1 ms on. Thread-safe. */
public final class LatencyHistogram {
    private static final int BIN_COUNT = 16;

    /** In place of the connection where it does not matter. */
    public static final long NO_CONNECTION = 0;

    private final long[] counts = new long[BIN_COUNT];
    private Span longest = Span.ZERO;
    private long longestConnectionId;

    /** Counts the time of a message of this connection. */
    public synchronized void add(Span time, long connectionId) {
        int bin = Long.SIZE - Long.numberOfLeadingZeros(time.ns() / 1_000_000);
        counts[Math.min(bin, BIN_COUNT - 1)]++;
        if (time.longerThan(longest)) {
            longest = time;
            longestConnectionId = connectionId;
        }
    }

    /** The counts by the upper edge of their bin in milliseconds and the longest time; all are forgotten. */
    public synchronized String takeText() {
        StringJoiner text = new StringJoiner(" ", "{", "}");
        for (int bin = 0; bin < BIN_COUNT; bin++) {
            if (counts[bin] > 0) {
                text.add("<" + (1 << bin) + "ms=" + counts[bin]);
                counts[bin] = 0;
            }
        }
        if (longest.longerThan(Span.ZERO)) {
            text.add("longest=" + longest.ns() / 1_000_000 + "ms"
                    + (longestConnectionId == NO_CONNECTION ? "" : " on line " + longestConnectionId));
        }
        longest = Span.ZERO;
        longestConnectionId = 0;
        return text.toString();
    }
}
