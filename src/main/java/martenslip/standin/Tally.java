package martenslip.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What became of the callers' wants, by skill; redials belong to their first try. One thread owns it. */
public final class Tally {
    /** How a want ended. */
    public enum End {
        IN_TARGET,
        LATE,
        DEFERRED,
        ABANDONED,
        GAVE_UP,
        NO_ANSWER,
        CUT
    }

    /** Counts of one skill. */
    public static final class Row {
        private final long[] ends = new long[End.values().length];
        private final Histogram setUp = new Histogram(60_000_000, 3);
        private long wanted;
        private long tries;

        public long wanted() {
            return wanted;
        }

        public long tries() {
            return tries;
        }

        public long of(End end) {
            return ends[end.ordinal()];
        }

        /** Set-up time in milliseconds at a percentile, of contacts that stood. */
        public double setUpMs(double percentile) {
            return setUp.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    private final Map<String, Row> rows = new LinkedHashMap<>();

    public Map<String, Row> rows() {
        return rows;
    }

    Row row(String skill) {
        return rows.computeIfAbsent(skill, any -> new Row());
    }

    void wanted(String skill) {
        row(skill).wanted++;
    }

    void tried(String skill) {
        row(skill).tries++;
    }

    void ended(String skill, End end) {
        row(skill).ends[end.ordinal()]++;
    }

    /** A contact that stood and was cut is served no more. */
    void cut(String skill, End before) {
        row(skill).ends[before.ordinal()]--;
        row(skill).ends[End.CUT.ordinal()]++;
    }

    void stood(String skill, long micros) {
        row(skill).setUp.recordValue(Math.max(0, Math.min(60_000_000, micros)));
    }
}
