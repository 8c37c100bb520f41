package martenslip.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Outcomes of call intents by skill; a redial counts for the intent of its first try. Owned by one thread. */
public final class CallerStatistics {
    private static final long MAX_SET_UP_MICROS = 60_000_000;

    /** How an intent ended. The ordinal is the index of its counter. */
    public enum CallOutcome {

        /** Established within the skill's answer target. */
        IN_TARGET,
        /** Established later than that. */
        LATE,
        /** The last try was refused with 503. */
        DEFERRED,
        /** The last try was refused with another status. */
        ABANDONED,
        /** The caller's patience ended after a provisional response. */
        GAVE_UP,
        /** The last try failed, or the patience ended without any response. */
        NO_ANSWER,
        /** Cut after it was established. */
        CUT
    }

    /** Counters of one skill. */
    public static final class SkillStatistics {
        private final long[] outcomeCounts = new long[CallOutcome.values().length];
        private final Histogram setUpTimes = new Histogram(MAX_SET_UP_MICROS, 3);
        private long intentCount;
        private long tryCount;

        /** Call intents, each with all its tries. */
        public long intentCount() {
            return intentCount;
        }

        /** INVITEs sent, redials included. */
        public long tryCount() {
            return tryCount;
        }

        /** Intents with this outcome. */
        public long count(CallOutcome outcome) {
            return outcomeCounts[outcome.ordinal()];
        }

        /** Percentile of the set-up time of established contacts in milliseconds. */
        public double setUpMs(double percentile) {
            return setUpTimes.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    private final Map<String, SkillStatistics> bySkill = new LinkedHashMap<>();

    /** The counters by the name of the skill. */
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

    /** Moves an established contact that was cut from its previous outcome to {@code CUT}. */
    void contactCut(String skill, CallOutcome previous) {
        forSkill(skill).outcomeCounts[previous.ordinal()]--;
        forSkill(skill).outcomeCounts[CallOutcome.CUT.ordinal()]++;
    }

    void contactEstablished(String skill, long micros) {
        forSkill(skill).setUpTimes.recordValue(Math.max(0, Math.min(MAX_SET_UP_MICROS, micros)));
    }
}
