package martenslip.platform;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/**
 * The log of a controller in service: a line each, so many of a kind a second at most; how many were left
 * out is told with the next one. No logging library: its start and its memory are part of the day.
 */
final class RateLimitedLog {
    private static final int MOST = 10;
    private static final long SECOND = 1_000_000_000;

    private static final class Kind {
        private long since;
        private int written;
        private long leftOut;
    }

    private final PrintStream out;

    RateLimitedLog(PrintStream out) {
        this.out = out;
    }

    /** Kinds are words of the program, so their number is bounded. */
    private final Map<String, Kind> kinds = new HashMap<>();

    synchronized void line(String kind, String text) {
        Kind one = kinds.computeIfAbsent(kind, any -> new Kind());
        long now = System.nanoTime();
        if (now - one.since > SECOND) {
            one.since = now;
            one.written = 0;
        }
        if (one.written >= MOST) {
            one.leftOut++;
            return;
        }
        one.written++;
        String plain = text.length() > 2000 ? text.substring(0, 2000) : text;
        out.println(System.currentTimeMillis() + " " + kind + ": " + plain.replace('\n', ' ')
                + (one.leftOut > 0 ? " (left out " + one.leftOut + ")" : ""));
        one.leftOut = 0;
    }
}
