package martenslip.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What became of the callers' wants, by skill; redials belong to their first try. One thread owns it. */
public final class CallerStatistics {
    /** How a want ended. */
    public enum CallOutcome {
        IN_TARGET,
        LATE,
        DEFERRED,
        ABANDONED,
        GAVE_UP,
        NO_ANSWER,
        CUT
    }

    /** Counts of one skill. */
    public static final class SkillStatistics {
        private final long[] ends = new long[CallOutcome.values().length];
        private final Histogram setUp = new Histogram(60_000_000, 3);
        private long wanted;
        private long tries;

        public long wanted() {
            return wanted;
        }

        public long tries() {
            return tries;
        }

        public long count(CallOutcome end) {
            return ends[end.ordinal()];
        }

        /** Set-up time in milliseconds at a percentile, of contacts that stood. */
        public double setUpMs(double percentile) {
            return setUp.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    private final Map<String, SkillStatistics> rows = new LinkedHashMap<>();

    public Map<String, SkillStatistics> rows() {
        return rows;
    }

    SkillStatistics row(String skill) {
        return rows.computeIfAbsent(skill, any -> new SkillStatistics());
    }

    void wanted(String skill) {
        row(skill).wanted++;
    }

    void tried(String skill) {
        row(skill).tries++;
    }

    void ended(String skill, CallOutcome end) {
        row(skill).ends[end.ordinal()]++;
    }

    /** A contact that stood and was cut is served no more. */
    void cut(String skill, CallOutcome before) {
        row(skill).ends[before.ordinal()]--;
        row(skill).ends[CallOutcome.CUT.ordinal()]++;
    }

    void stood(String skill, long micros) {
        row(skill).setUp.recordValue(Math.max(0, Math.min(60_000_000, micros)));
    }
}
