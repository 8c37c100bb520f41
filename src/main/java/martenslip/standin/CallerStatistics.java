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
        private final long[] outcomeCounts = new long[CallOutcome.values().length];
        private final Histogram setUpTimes = new Histogram(60_000_000, 3);
        private long intentCount;
        private long tryCount;

        public long intentCount() {
            return intentCount;
        }

        public long tryCount() {
            return tryCount;
        }

        public long count(CallOutcome outcome) {
            return outcomeCounts[outcome.ordinal()];
        }

        /** Set-up time in milliseconds at a percentile, of contacts that stood. */
        public double setUpMs(double percentile) {
            return setUpTimes.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    private final Map<String, SkillStatistics> bySkill = new LinkedHashMap<>();

    public Map<String, SkillStatistics> bySkill() {
        return bySkill;
    }

    SkillStatistics forSkill(String skill) {
        return bySkill.computeIfAbsent(skill, ignored -> new SkillStatistics());
    }

    void intentStarted(String skill) {
        forSkill(skill).intentCount++;
    }

    void tryStarted(String skill) {
        forSkill(skill).tryCount++;
    }

    void intentEnded(String skill, CallOutcome outcome) {
        forSkill(skill).outcomeCounts[outcome.ordinal()]++;
    }

    /** A contact that stood and was cut is served no more. */
    void contactCut(String skill, CallOutcome previous) {
        forSkill(skill).outcomeCounts[previous.ordinal()]--;
        forSkill(skill).outcomeCounts[CallOutcome.CUT.ordinal()]++;
    }

    void contactEstablished(String skill, long micros) {
        forSkill(skill).setUpTimes.recordValue(Math.max(0, Math.min(60_000_000, micros)));
    }
}
