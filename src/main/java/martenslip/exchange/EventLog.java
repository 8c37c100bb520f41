package martenslip.exchange;

import java.util.HashMap;
import java.util.Map;
import martenslip.control.Moment;
import martenslip.control.Span;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Structured events, one a line. Of each kind at most {@link #MOST} a second are written; how many were left out
 * is told with the next one. The backend's queue drops rather than waits. One thread owns it.
 */
final class EventLog {
    private static final Logger LOG = LoggerFactory.getLogger("martenslip.exchange");
    private static final int MOST = 20;
    private static final Span SECOND = Span.ofMillis(1000);

    private static final class Kind {
        Moment since;
        int written;
        long leftOut;
    }

    private final Map<String, Kind> kinds = new HashMap<>();
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
        Kind kind = kinds.computeIfAbsent(event, any -> new Kind());
        if (kind.since == null || now.since(kind.since).longerThan(SECOND)) {
            kind.since = now;
            kind.written = 0;
        }
        if (kind.written++ >= MOST) {
            kind.leftOut++;
            return;
        }
        LoggingEventBuilder line = LOG.atLevel(level).addKeyValue("exchange", exchange).addKeyValue("event", event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line = line.addKeyValue((String) fields[i], String.valueOf(fields[i + 1]));
        }
        if (kind.leftOut > 0) {
            line = line.addKeyValue("left_out", kind.leftOut);
            kind.leftOut = 0;
        }
        line.log(event);
    }
}
