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
 * Logs structured events, one a line. At most {@link #MAX_LINES_PER_SECOND} a second are written of each event name;
 * the next line that is written tells how many were left out. The queue of the log backend drops lines rather than
 * wait. Any thread may log: the lanes and the decider share one instance.
 */
final class EventLog {
    private static final Logger LOG = LoggerFactory.getLogger("martenslip.exchange");
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final Span LIMIT_WINDOW = Span.ofMillis(1000);

    /** Limits the lines of one event name. The lock is held only while counting, never while a line is written. */
    private static final class RateLimiter {
        private Moment windowStart;
        private int writtenInWindow;
        private long leftOut;

        /** Returns how many lines were left out before this one, or -1 if this one is left out too. */
        synchronized long tryWrite(Moment now) {
            if (windowStart == null || now.since(windowStart).longerThan(LIMIT_WINDOW)) {
                windowStart = now;
                writtenInWindow = 0;
            }
            if (writtenInWindow >= MAX_LINES_PER_SECOND) {
                leftOut++;
                return -1;
            }
            writtenInWindow++;
            long leftOutBefore = leftOut;
            leftOut = 0;
            return leftOutBefore;
        }
    }

    private final Map<String, RateLimiter> limitersByEvent = new ConcurrentHashMap<>();
    private final int exchange;

    EventLog(int exchange) {
        this.exchange = exchange;
    }

    /** Logs a warning. {@code fields} alternates names and values. */
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
        long leftOutBefore = limitersByEvent
                .computeIfAbsent(event, ignored -> new RateLimiter())
                .tryWrite(now);
        if (leftOutBefore < 0) {
            return;
        }
        LoggingEventBuilder line =
                LOG.atLevel(level).addKeyValue("exchange", exchange).addKeyValue("event", event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line = line.addKeyValue((String) fields[i], String.valueOf(fields[i + 1]));
        }
        if (leftOutBefore > 0) {
            line = line.addKeyValue("left_out", leftOutBefore);
        }
        line.log(event);
    }
}
