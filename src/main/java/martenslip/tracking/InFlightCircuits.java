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

    private record Ring(int number, int width, Moment countedUntil) {}

    private final Map<Integer, Map<Long, Ring>> ringsByExchange = new HashMap<>();

    /** A ring goes out toward a far exchange. */
    public void ringSent(int farExchange, long contact, int ring, int width) {
        ringsByExchange.computeIfAbsent(farExchange, exchange -> new LinkedHashMap<>()).put(contact, new Ring(ring, width, null));
    }

    /** The first word of it has come. */
    public void responseReceived(Moment now, int farExchange, long contact, int ring) {
        Map<Long, Ring> rings = ringsByExchange.get(farExchange);
        Ring sentRing = rings == null ? null : rings.get(contact);
        if (sentRing != null && sentRing.number == ring && sentRing.countedUntil == null) {
            rings.put(contact, new Ring(ring, sentRing.width, now.plus(SETTLING_TIME)));
        }
    }

    /** It is over, and its circuits are free again. */
    public void ringEnded(int farExchange, long contact, int ring) {
        Map<Long, Ring> rings = ringsByExchange.get(farExchange);
        Ring sentRing = rings == null ? null : rings.get(contact);
        if (sentRing != null && sentRing.number == ring) {
            rings.remove(contact);
        }
    }

    /** Circuits to take off what is told of the group toward a far exchange. */
    public int inFlightCount(Moment now, int farExchange) {
        Map<Long, Ring> rings = ringsByExchange.get(farExchange);
        if (rings == null) {
            return 0;
        }
        int circuits = 0;
        for (Iterator<Ring> iterator = rings.values().iterator(); iterator.hasNext(); ) {
            Ring ring = iterator.next();
            if (ring.countedUntil != null && !now.before(ring.countedUntil)) {
                iterator.remove();
            } else {
                circuits += ring.width;
            }
        }
        return circuits;
    }

    /** Drops rings whose contact is not {@code known} any more: lost with a lane, nobody will tell of them. */
    public void retainContacts(java.util.function.LongPredicate isKnown) {
        ringsByExchange.values().forEach(rings -> rings.keySet().removeIf(contact -> !isKnown.test(contact)));
    }
}
