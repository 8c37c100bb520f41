package martenslip.platform.contact;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import martenslip.control.Moment;
import martenslip.control.RingEndCause;

/**
 * Contacts that stand: no connection owns one. It ends by its switch's release, by its caller's, with the process
 * behind its switch, or where its good answer may not have come through. Each end is said to whoever did not bring it,
 * and the module is told once. The deciding thread's.
 */
final class EstablishedContacts {
    private static final float[] NO_REPORT = {};

    /** Hears of each end once the contact is no longer here. */
    interface EndListener {
        void over(TrackedContact one, RingEndCause cause, float[] report);
    }

    private final OutboundMessages out;
    private final ReleaseSender releases;
    private final EndListener ends;
    private final Map<String, TrackedContact> all = new LinkedHashMap<>();

    EstablishedContacts(OutboundMessages out, ReleaseSender releases, EndListener ends) {
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

    void add(TrackedContact one, Moment now) {
        one.stands = true;
        one.stoodAt = now;
        one.asked = null;
        all.put(one.tag, one);
    }

    void acknowledged(String tag) {
        TrackedContact one = all.get(tag);
        if (one != null) {
            one.acknowledged = true;
        }
    }

    void releasedByCaller(TrackedContact one) {
        finish(one);
        over(one, RingEndCause.CALLED_OFF, NO_REPORT);
    }

    void releasedBySwitch(TrackedContact one, int cause, float[] report) {
        release(one, cause == EndCause.NORMAL ? EndCause.NORMAL : EndCause.CUT);
        over(one, EndCause.ofStanding(cause), report);
    }

    /** Good answers that were not acknowledged may not have come through, and nobody else would ever release these. */
    void connectionOver(long line) {
        List<TrackedContact> unsure = those(one -> !one.acknowledged && one.line == line);
        if (!unsure.isEmpty()) {
            out.log("unsure", unsure.size() + " good answers not acknowledged on a connection that ended");
        }
        for (TrackedContact one : unsure) {
            finish(one);
            release(one, EndCause.CUT);
            over(one, RingEndCause.CALLED_OFF, NO_REPORT);
        }
    }

    /** What stood there before a moment, or at any, is over, and no release will come. */
    void processOver(long target, Moment before) {
        List<TrackedContact> over =
                those(one -> one.attempt.target == target && (before == null || one.stoodAt.before(before)));
        for (TrackedContact one : over) {
            release(one, EndCause.CUT);
            over(one, RingEndCause.CUT, NO_REPORT);
        }
        if (!over.isEmpty()) {
            out.log("switch-over", over.size() + " contacts stood at switch " + target);
        }
    }

    private List<TrackedContact> those(Predicate<TrackedContact> which) {
        return all.values().stream().filter(which).toList();
    }

    private void finish(TrackedContact one) {
        out.sendFinish(one.attempt.target, one.attempt.connection(), one.tag, EndCause.NORMAL, () -> {});
    }

    private void release(TrackedContact one, int cause) {
        releases.release(one.tag, one.key, cause, one.line);
    }

    private void over(TrackedContact one, RingEndCause cause, float[] report) {
        all.remove(one.tag);
        ends.over(one, cause, report);
    }
}
