package martenslip.platform.desk;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import martenslip.control.Cause;
import martenslip.control.Moment;

/**
 * Contacts that stand: no connection owns one. It ends by its switch's release, by its caller's, with the process
 * behind its switch, or where its good answer may not have come through. Each end is said to whoever did not bring it,
 * and the module is told once. The deciding thread's.
 */
final class Standing {
    private static final float[] NO_REPORT = {};

    /** Hears of each end once the contact is no longer here. */
    interface Ends {
        void over(Taken one, Cause cause, float[] report);
    }

    private final Outward out;
    private final Releases releases;
    private final Ends ends;
    private final Map<String, Taken> all = new LinkedHashMap<>();

    Standing(Outward out, Releases releases, Ends ends) {
        this.out = out;
        this.releases = releases;
        this.ends = ends;
    }

    int count() {
        return all.size();
    }

    boolean at(long target) {
        return all.values().stream().anyMatch(one -> one.attempt.target == target);
    }

    void add(Taken one, Moment now) {
        one.stands = true;
        one.stoodAt = now;
        one.asked = null;
        all.put(one.tag, one);
    }

    void acknowledged(String tag) {
        Taken one = all.get(tag);
        if (one != null) {
            one.acknowledged = true;
        }
    }

    void releasedByCaller(Taken one) {
        finish(one);
        over(one, Cause.CALLED_OFF, NO_REPORT);
    }

    void releasedBySwitch(Taken one, int cause, float[] report) {
        release(one, cause == Ended.NORMAL ? Ended.NORMAL : Ended.CUT);
        over(one, Ended.ofStanding(cause), report);
    }

    /** Good answers that were not acknowledged may not have come through, and nobody else would ever release these. */
    void connectionOver(long line) {
        List<Taken> unsure = those(one -> !one.acknowledged && one.line == line);
        if (!unsure.isEmpty()) {
            out.log("unsure", unsure.size() + " good answers not acknowledged on a connection that ended");
        }
        for (Taken one : unsure) {
            finish(one);
            release(one, Ended.CUT);
            over(one, Cause.CALLED_OFF, NO_REPORT);
        }
    }

    /** What stood there before a moment, or at any, is over, and no release will come. */
    void processOver(long target, Moment before) {
        List<Taken> over = those(one -> one.attempt.target == target && (before == null || one.stoodAt.before(before)));
        for (Taken one : over) {
            release(one, Ended.CUT);
            over(one, Cause.CUT, NO_REPORT);
        }
        if (!over.isEmpty()) {
            out.log("switch-over", over.size() + " contacts stood at switch " + target);
        }
    }

    private List<Taken> those(Predicate<Taken> which) {
        return all.values().stream().filter(which).toList();
    }

    private void finish(Taken one) {
        out.finish(one.attempt.target, one.attempt.connection(), one.tag, Ended.NORMAL, () -> {});
    }

    private void release(Taken one, int cause) {
        releases.release(one.tag, one.key, cause, one.line);
    }

    private void over(Taken one, Cause cause, float[] report) {
        all.remove(one.tag);
        ends.over(one, cause, report);
    }
}
