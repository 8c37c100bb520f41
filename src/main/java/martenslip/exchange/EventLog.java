package martenslip.exchange;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import martenslip.control.Moment;
import martenslip.control.Span;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Structured events, one a line. Of each kind at most {@link #MOST} a second are written; how many were left out
 * is told with the next one. The backend's queue drops rather than waits. Any thread: lanes and the decider have one in
 * common.
 */
final class EventLog {
    private static final Logger LOG = LoggerFactory.getLogger("martenslip.exchange");
    private static final int MOST = 20;
    private static final Span SECOND = Span.ofMillis(1000);

    /** Its own lock is held for a few steps of counting, never while a line is written. */
    private static final class RateLimiter {
        private Moment since;
        private int written;
        private long leftOut;

        /** How many were left out before this one, or -1 where this one is left out too. */
        synchronized long take(Moment now) {
            if (since == null || now.since(since).longerThan(SECOND)) {
                since = now;
                written = 0;
            }
            if (written >= MOST) {
                leftOut++;
                return -1;
            }
            written++;
            long before = leftOut;
            leftOut = 0;
            return before;
        }
    }

    private final Map<String, RateLimiter> kinds = new ConcurrentHashMap<>();
    private final int exchange;

    EventLog(int exchange) {
        this.exchange = exchange;
    }

    /** Fields are names and values in turn. */
    void warn(Moment now, String event, Object... fields) {
        write(Level.WARN, now, event, fields);
    }

    void info(Moment now, String event, Object... fields) {
        write(Level.INFO, now, event, fields);
    }

    void debug(Moment now, String event, Object... fields) {
        if (LOG.isDebugEnabled()) {
            write(Level.DEBUG, now, event, fields);
        }
    }

    private void write(Level level, Moment now, String event, Object... fields) {
        if (!LOG.isEnabledForLevel(level)) {
            return;
        }
        long leftOut = kinds.computeIfAbsent(event, any -> new RateLimiter()).take(now);
        if (leftOut < 0) {
            return;
        }
        LoggingEventBuilder line =
                LOG.atLevel(level).addKeyValue("exchange", exchange).addKeyValue("event", event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line = line.addKeyValue((String) fields[i], String.valueOf(fields[i + 1]));
        }
        if (leftOut > 0) {
            line = line.addKeyValue("left_out", leftOut);
        }
        line.log(event);
    }
}
