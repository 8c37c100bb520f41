package martenslip.tracking;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Circuits of rings that the far end may not have counted when it reported how many are free. They are subtracted from
 * the reported number; otherwise the last circuits of a nearly full group would be assigned twice after each report. A
 * ring counts from its order until its first response, and {@link #SETTLING_TIME} longer, because a report that was
 * counted before the ring arrived may be read after that response.
 *
 * <p>Without I/O, threads or clock; owned by one thread. Its size is bounded by the rings sent during one set-up time.
 */
public final class InFlightCircuits {
    /** How old a report may be when it is read: two iterations of a busy thread and the latency between regions. */
    public static final Span SETTLING_TIME = Span.ofMillis(30);

    private record Ring(int number, int width, Moment countedUntil) {}

    private final Map<Integer, Map<Long, Ring>> ringsByExchange = new HashMap<>();

    /** A ring was sent toward a far exchange. */
    public void ringSent(int farExchange, long contact, int ring, int width) {
        ringsByExchange
                .computeIfAbsent(farExchange, exchange -> new LinkedHashMap<>())
                .put(contact, new Ring(ring, width, null));
    }

    /** A response to the ring was received; only the first one counts. */
    public void responseReceived(Moment now, int farExchange, long contact, int ring) {
        Map<Long, Ring> rings = ringsByExchange.get(farExchange);
        Ring sentRing = rings == null ? null : rings.get(contact);
        if (sentRing != null && sentRing.number == ring && sentRing.countedUntil == null) {
            rings.put(contact, new Ring(ring, sentRing.width, now.plus(SETTLING_TIME)));
        }
    }

    /** The ring has ended, and its circuits are free again. */
    public void ringEnded(int farExchange, long contact, int ring) {
        Map<Long, Ring> rings = ringsByExchange.get(farExchange);
        Ring sentRing = rings == null ? null : rings.get(contact);
        if (sentRing != null && sentRing.number == ring) {
            rings.remove(contact);
        }
    }

    /** Circuits to subtract from the reported free circuits of the group toward a far exchange. */
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

    /** Drops rings whose contact is no longer known: they were lost with a lane, and no response will come. */
    public void retainContacts(java.util.function.LongPredicate isKnown) {
        ringsByExchange.values().forEach(rings -> rings.keySet().removeIf(contact -> !isKnown.test(contact)));
    }
}
