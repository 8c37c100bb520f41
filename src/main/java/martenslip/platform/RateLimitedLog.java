package martenslip.platform;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/**
 * The log of a controller in service: a line each, so many of a kind a second at most; how many were left
 * out is told with the next one. No logging library: its start and its memory are part of the day.
 */
final class RateLimitedLog {
    private static final int MAX_LINES_PER_SECOND = 10;
    private static final long SECOND_NS = 1_000_000_000;

    private static final class KindState {
        private long windowStartNs;
        private int writtenInWindow;
        private long leftOut;
    }

    private final PrintStream out;

    RateLimitedLog(PrintStream out) {
        this.out = out;
    }

    /** Kinds are words of the program, so their number is bounded. */
    private final Map<String, KindState> kinds = new HashMap<>();

    synchronized void write(String kind, String text) {
        KindState kindState = kinds.computeIfAbsent(kind, any -> new KindState());
        long now = System.nanoTime();
        if (now - kindState.windowStartNs > SECOND_NS) {
            kindState.windowStartNs = now;
            kindState.writtenInWindow = 0;
        }
        if (kindState.writtenInWindow >= MAX_LINES_PER_SECOND) {
            kindState.leftOut++;
            return;
        }
        kindState.writtenInWindow++;
        String truncated = text.length() > 2000 ? text.substring(0, 2000) : text;
        out.println(System.currentTimeMillis() + " " + kind + ": " + truncated.replace('\n', ' ')
                + (kindState.leftOut > 0 ? " (left out " + kindState.leftOut + ")" : ""));
        kindState.leftOut = 0;
    }
}
