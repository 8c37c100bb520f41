package martenslip.platform;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/**
 * The operators' log: one line an event, with a limit of lines a second for each kind. The next line of a kind after
 * the limit tells how many were left out. It uses no logging library, as the start time and the memory of one would
 * count against the limits of the process.
 */
final class RateLimitedLog {
    /** Lines of one kind a second. */
    private static final int MAX_LINES_PER_SECOND = 10;
    /** Longer texts are cut off. */
    private static final int MAX_TEXT_LENGTH = 2000;

    private static final long SECOND_NS = 1_000_000_000;

    private static final class KindState {
        private long windowStartNs;
        private int writtenInWindow;
        private long leftOut;
    }

    private final PrintStream stream;

    RateLimitedLog(PrintStream stream) {
        this.stream = stream;
    }

    /** Kinds are constants of the program, so their number is bounded. */
    private final Map<String, KindState> kinds = new HashMap<>();

    /** Writes a line, with line breaks as blanks; may be called from any thread. */
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
        String truncated = text.length() > MAX_TEXT_LENGTH ? text.substring(0, MAX_TEXT_LENGTH) : text;
        stream.println(System.currentTimeMillis() + " " + kind + ": " + truncated.replace('\n', ' ')
                + (kindState.leftOut > 0 ? " (left out " + kindState.leftOut + ")" : ""));
        kindState.leftOut = 0;
    }
}
