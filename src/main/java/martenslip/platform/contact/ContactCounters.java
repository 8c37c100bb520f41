package martenslip.platform.contact;

import java.util.Map;
import java.util.TreeMap;
import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;

/** What passed the desk since its start; the deciding thread writes and reads. */
public final class ContactCounters {
    long taken;
    long established;
    long inherited;
    long deferred;
    long abandoned;
    long callerGone;
    long refusedWithoutOffer;
    long rings;
    private final Map<String, Long> endsByCause = new TreeMap<>();

    void countRingEnd(RingEndCause cause, RejectionReason rejectionReason) {
        endsByCause.merge(
                rejectionReason == RejectionReason.NONE ? cause.name() : cause + "/" + rejectionReason, 1L, Long::sum);
    }

    @Override
    public String toString() {
        return "taken=" + taken + " stood=" + established + " inherited=" + inherited + " deferred=" + deferred
                + " abandoned=" + abandoned + " caller-gone=" + callerGone + " refused-unseen=" + refusedWithoutOffer
                + " rings=" + rings + " ends=" + endsByCause;
    }
}
