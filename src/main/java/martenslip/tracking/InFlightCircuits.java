package martenslip.tracking;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Circuits of rings that the far end may not have counted when it told how many are free: they are taken off what it
 * told, or the last circuits of a nearly full group would be given twice after each notice. A ring counts as afloat
 * from its order until a word of it has come, and {@link #SETTLING_TIME} longer, as a notice that was counted before it
 * arrived may be read after that word.
 *
 * <p>Without I/O, threads or clock; one thread owns it. Bounded by the rings of a set-up's time.
 */
public final class InFlightCircuits {
    /** How old a notice may be when it is read: two turns of a busy thread and a way between regions. */
    public static final Span SETTLING_TIME = Span.ofMillis(30);

    private record Ring(int number, int width, Moment until) {}

    private final Map<Integer, Map<Long, Ring>> byFar = new HashMap<>();

    /** A ring goes out toward a far exchange. */
    public void ringSent(int far, long contact, int ring, int width) {
        byFar.computeIfAbsent(far, any -> new LinkedHashMap<>()).put(contact, new Ring(ring, width, null));
    }

    /** The first word of it has come. */
    public void responseReceived(Moment now, int far, long contact, int ring) {
        Map<Long, Ring> rings = byFar.get(far);
        Ring one = rings == null ? null : rings.get(contact);
        if (one != null && one.number == ring && one.until == null) {
            rings.put(contact, new Ring(ring, one.width, now.plus(SETTLING_TIME)));
        }
    }

    /** It is over, and its circuits are free again. */
    public void ringEnded(int far, long contact, int ring) {
        Map<Long, Ring> rings = byFar.get(far);
        Ring one = rings == null ? null : rings.get(contact);
        if (one != null && one.number == ring) {
            rings.remove(contact);
        }
    }

    /** Circuits to take off what is told of the group toward a far exchange. */
    public int inFlightCount(Moment now, int far) {
        Map<Long, Ring> rings = byFar.get(far);
        if (rings == null) {
            return 0;
        }
        int all = 0;
        for (Iterator<Ring> each = rings.values().iterator(); each.hasNext(); ) {
            Ring ring = each.next();
            if (ring.until != null && !now.before(ring.until)) {
                each.remove();
            } else {
                all += ring.width;
            }
        }
        return all;
    }

    /** Drops rings whose contact is not {@code known} any more: lost with a lane, nobody will tell of them. */
    public void retainContacts(java.util.function.LongPredicate known) {
        byFar.values().forEach(rings -> rings.keySet().removeIf(contact -> !known.test(contact)));
    }
}
