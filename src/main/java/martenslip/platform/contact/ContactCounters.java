package martenslip.platform.contact;

import java.util.Map;
import java.util.TreeMap;
import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;

/** What passed the desk since its start; the deciding thread writes and reads. */
public final class ContactCounters {
    long taken;
    long stood;
    long inherited;
    long deferred;
    long abandoned;
    long callerGone;
    long refusedUnseen;
    long rings;
    private final Map<String, Long> ends = new TreeMap<>();

    void ended(RingEndCause cause, RejectionReason blame) {
        ends.merge(blame == RejectionReason.NONE ? cause.name() : cause + "/" + blame, 1L, Long::sum);
    }

    @Override
    public String toString() {
        return "taken=" + taken + " stood=" + stood + " inherited=" + inherited + " deferred=" + deferred
                + " abandoned=" + abandoned + " caller-gone=" + callerGone + " refused-unseen=" + refusedUnseen
                + " rings=" + rings + " ends=" + ends;
    }
}
