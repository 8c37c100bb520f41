package martenslip.tracking;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Moment;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;

/**
 * Which contacts the module knows of, and what it has heard of each, so that it hears all once and in order while the
 * threads around it are replaced. Rings are numbered by the lane that sends them; a module that took over amid a
 * contact counts its own from 0, so each contact has a base. What a lane still holds after a replacement is compared
 * with what the module was told, and the difference is told.
 *
 * <p>Without I/O, threads or clock; the thread that owns the module owns it. Bounded by the contacts that are open.
 */
public final class ContactRegistry {
    /**
     * What a lane holds of a contact: when it was taken, how many rings it had, the one that is out or stands, or -1,
     * and when the last one ended that may still hold something, or null.
     */
    public record LaneContact(
            Contact contact,
            Moment takenAt,
            int ringCount,
            int inFlightRing,
            long target,
            boolean established,
            boolean answered,
            Moment lastHeldRingEndedAt) {}

    /** What the roll orders beside the module. */
    public interface LaneOrders {
        /** A ring that this module never ordered, of a contact that is over. */
        void cancel(long contact, int ring);
    }

    private static final class Entry {
        final Contact contact;
        final int lane;
        final Moment at;
        /** Rings below this number were another module's. */
        int base;

        int next;
        int live = -1;
        long target;
        boolean known;
        boolean stood;
        boolean answered;

        Entry(Contact contact, int lane, Moment at) {
            this.contact = contact;
            this.lane = lane;
            this.at = at;
        }

        boolean foreign() {
            return live >= 0 && live < base;
        }
    }

    private record DelayedOffer(long contact, Moment at, long order) {}

    private final Controller module;
    private final Span release;
    private final LaneOrders lanes;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private final PriorityQueue<DelayedOffer> later =
            new PriorityQueue<>(Comparator.comparing(DelayedOffer::at).thenComparing(DelayedOffer::order));
    private long orders;

    /** {@code release} is how long nothing is sent for a contact after a ring that may still hold something. */
    public ContactRegistry(Controller module, Span release, LaneOrders lanes) {
        this.module = module;
        this.release = release;
        this.lanes = lanes;
    }

    public int size() {
        return entries.size();
    }

    /** A contact that a lane has taken; one that is known already is not told again. */
    public void contactOffered(Moment now, Contact contact, int lane) {
        if (!entries.containsKey(contact.id())) {
            Entry entry = new Entry(contact, lane, now);
            entry.known = true;
            entries.put(contact.id(), entry);
            module.contactOffered(now, contact);
        }
    }

    /** The module orders a ring: its number for the lane, or -1 where the contact is not on the roll. */
    public int ringOrdered(long contact, long target) {
        Entry entry = entries.get(contact);
        if (entry == null) {
            return -1;
        }
        entry.live = entry.next++;
        entry.target = target;
        return entry.live;
    }

    public boolean contains(long contact) {
        return entries.containsKey(contact);
    }

    /** How many circuits a contact on the roll takes. */
    public int width(long contact) {
        return entries.get(contact).contact.width();
    }

    /** The lane's number of a ring that the module names. */
    public int laneRingNumber(long contact, int ring) {
        Entry entry = entries.get(contact);
        return entry == null ? -1 : entry.base + ring;
    }

    /** The module gave its final answer. */
    public void contactAnswered(long contact) {
        Entry entry = entries.get(contact);
        if (entry != null) {
            entry.answered = true;
            forget(entry);
        }
    }

    public void established(Moment now, long contact, int ring, long target, Span took) {
        Entry entry = entries.get(contact);
        if (entry == null || entry.live != ring || entry.stood) {
            return;
        }
        boolean foreign = entry.foreign();
        entry.stood = true;
        entry.answered = true;
        if (!foreign) {
            module.established(now, contact, ring - entry.base, target, took);
        }
    }

    /** The outcome of a ring, numbered by its lane; true where it is news. */
    public boolean ringEnded(Moment now, RingEnd end) {
        Entry entry = entries.get(end.contact());
        if (entry == null || entry.live != end.ring()) {
            return false;
        }
        boolean foreign = entry.foreign();
        entry.live = -1;
        if (!foreign) {
            module.ringEnded(
                    now,
                    new RingEnd(
                            end.contact(),
                            end.ring() - entry.base,
                            end.target(),
                            end.cause(),
                            end.rejectionReason(),
                            end.elapsed(),
                            end.answered(),
                            end.report()));
        } else if (!entry.answered) {
            offerLater(entry, mayHoldCircuits(end.cause()) ? now.plus(release) : now);
        }
        forget(entry);
        return true;
    }

    /** Rule 5: after these nothing is sent for the release time, as the switch may still hold something. */
    public static boolean mayHoldCircuits(RingEndCause cause) {
        return cause == RingEndCause.TIMED_OUT || cause == RingEndCause.CUT || cause == RingEndCause.CALLED_OFF;
    }

    /** The caller is gone, or the lane had the last word. */
    public void callerGone(Moment now, long contact) {
        Entry entry = entries.get(contact);
        if (entry == null || entry.answered) {
            return;
        }
        entry.answered = true;
        if (entry.foreign()) {
            lanes.cancel(contact, entry.live);
        }
        if (entry.known) {
            module.callerGone(now, contact);
        }
        forget(entry);
    }

    private void forget(Entry entry) {
        if (entry.answered && entry.live < 0) {
            entries.remove(entry.contact.id(), entry);
        }
    }

    /** A lane's thread, or this one, was replaced: all that the lane holds. */
    public void reconcileLane(Moment now, int lane, List<LaneContact> held) {
        Map<Long, LaneContact> byId = new HashMap<>();
        held.forEach(one -> byId.put(one.contact().id(), one));
        List<Entry> mine = new ArrayList<>();
        entries.values().stream().filter(entry -> entry.lane == lane).forEach(mine::add);
        for (Entry entry : mine) {
            compare(now, entry, byId.get(entry.contact.id()));
        }
        for (LaneContact one : held) {
            if (!entries.containsKey(one.contact().id()) && !(one.answered() && one.inFlightRing() < 0)) {
                adopt(now, lane, one);
            }
        }
    }

    private void compare(Moment now, Entry entry, LaneContact held) {
        long id = entry.contact.id();
        if (held == null) {
            // The lane had done with it, and what it said of that was lost.
            callerGone(now, id);
            over(now, entry, RingEndCause.CUT);
            return;
        }
        if (held.established()) {
            established(now, id, held.inFlightRing(), held.target(), now.since(held.takenAt()));
        } else if (entry.live >= 0 && entry.live < held.ringCount() && held.inFlightRing() != entry.live) {
            over(now, entry, entry.stood ? RingEndCause.CUT : RingEndCause.TIMED_OUT);
        }
        // A ring that the lane has no count of is an order that still stands in its inbox.
        if (held.answered()) {
            callerGone(now, id);
        }
    }

    private void over(Moment now, Entry entry, RingEndCause cause) {
        if (entry.live >= 0) {
            ringEnded(
                    now,
                    new RingEnd(
                            entry.contact.id(),
                            entry.live,
                            entry.target,
                            cause,
                            RejectionReason.NONE,
                            Span.ZERO,
                            entry.answered,
                            new float[0]));
        }
    }

    private void adopt(Moment now, int lane, LaneContact held) {
        Entry entry = new Entry(held.contact(), lane, held.takenAt());
        entry.base = held.ringCount();
        entry.next = held.ringCount();
        entry.live = held.inFlightRing();
        entry.target = held.target();
        entry.stood = held.established();
        entry.answered = held.answered();
        entries.put(held.contact().id(), entry);
        if (!entry.answered && entry.live < 0) {
            Moment until = held.lastHeldRingEndedAt() == null
                    ? now
                    : held.lastHeldRingEndedAt().plus(release);
            offerLater(entry, until.before(now) ? now : until);
        }
    }

    private void offerLater(Entry entry, Moment at) {
        entry.base = entry.next;
        later.add(new DelayedOffer(entry.contact.id(), at, orders++));
    }

    /** When {@link #offerDue} has something to do, or null. */
    public Moment nextOfferAt() {
        return later.isEmpty() ? null : later.peek().at();
    }

    /** Offers what another module had been offered before and is due; with what is left of its patience. */
    public void offerDue(Moment now) {
        while (!later.isEmpty() && !now.before(later.peek().at())) {
            Entry entry = entries.get(later.poll().contact());
            if (entry == null || entry.answered || entry.known && entry.live >= 0) {
                continue;
            }
            Contact was = entry.contact;
            Span left = was.patience().minus(now.since(entry.at));
            if (!left.longerThan(Span.ZERO)) {
                // Its lane has the last word about now.
                continue;
            }
            entry.known = true;
            module.contactOffered(
                    now,
                    new Contact(
                            was.id(),
                            was.skill(),
                            was.dialledNumber(),
                            was.destination(),
                            was.routingHint(),
                            was.width(),
                            left,
                            was.redial(),
                            was.inTransit(),
                            was.previouslyCut()));
        }
    }
}
