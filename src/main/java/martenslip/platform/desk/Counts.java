package martenslip.platform.desk;

import java.util.EnumMap;
import java.util.Map;
import martenslip.control.Cause;

/** What passed the desk since its start; the deciding thread writes and reads. */
public final class Counts {
    long taken;
    long stood;
    long inherited;
    long deferred;
    long abandoned;
    long callerGone;
    long refusedUnseen;
    long rings;
    private final Map<Cause, Long> ends = new EnumMap<>(Cause.class);

    void ended(Cause cause) {
        ends.merge(cause, 1L, Long::sum);
    }

    @Override
    public String toString() {
        return "taken=" + taken + " stood=" + stood + " inherited=" + inherited + " deferred=" + deferred
                + " abandoned=" + abandoned + " caller-gone=" + callerGone + " refused-unseen=" + refusedUnseen
                + " rings=" + rings + " ends=" + ends;
    }
}
