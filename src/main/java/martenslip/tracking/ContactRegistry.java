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
        final Moment takenAt;
        /** Rings below this number were another module's. */
        int firstModuleRing;

        int nextRing;
        int inFlightRing = -1;
        long target;
        boolean offered;
        boolean established;
        boolean answered;

        Entry(Contact contact, int lane, Moment takenAt) {
            this.contact = contact;
            this.lane = lane;
            this.takenAt = takenAt;
        }

        boolean hasForeignRing() {
            return inFlightRing >= 0 && inFlightRing < firstModuleRing;
        }
    }

    private record DelayedOffer(long contact, Moment dueAt, long sequence) {}

    private final Controller module;
    private final Span releaseTime;
    private final LaneOrders laneOrders;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private final PriorityQueue<DelayedOffer> delayedOffers =
            new PriorityQueue<>(Comparator.comparing(DelayedOffer::dueAt).thenComparing(DelayedOffer::sequence));
    private long nextOfferSequence;

    /** {@code release} is how long nothing is sent for a contact after a ring that may still hold something. */
    public ContactRegistry(Controller module, Span releaseTime, LaneOrders laneOrders) {
        this.module = module;
        this.releaseTime = releaseTime;
        this.laneOrders = laneOrders;
    }

    public int size() {
        return entries.size();
    }

    /** A contact that a lane has taken; one that is known already is not told again. */
    public void contactOffered(Moment now, Contact contact, int lane) {
        if (!entries.containsKey(contact.id())) {
            Entry entry = new Entry(contact, lane, now);
            entry.offered = true;
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
        entry.inFlightRing = entry.nextRing++;
        entry.target = target;
        return entry.inFlightRing;
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
        return entry == null ? -1 : entry.firstModuleRing + ring;
    }

    /** The module gave its final answer. */
    public void contactAnswered(long contact) {
        Entry entry = entries.get(contact);
        if (entry != null) {
            entry.answered = true;
            removeIfEnded(entry);
        }
    }

    public void established(Moment now, long contact, int ring, long target, Span setUpTime) {
        Entry entry = entries.get(contact);
        if (entry == null || entry.inFlightRing != ring || entry.established) {
            return;
        }
        boolean foreign = entry.hasForeignRing();
        entry.established = true;
        entry.answered = true;
        if (!foreign) {
            module.established(now, contact, ring - entry.firstModuleRing, target, setUpTime);
        }
    }

    /** The outcome of a ring, numbered by its lane; true where it is news. */
    public boolean ringEnded(Moment now, RingEnd end) {
        Entry entry = entries.get(end.contact());
        if (entry == null || entry.inFlightRing != end.ring()) {
            return false;
        }
        boolean foreign = entry.hasForeignRing();
        entry.inFlightRing = -1;
        if (!foreign) {
            module.ringEnded(
                    now,
                    new RingEnd(
                            end.contact(),
                            end.ring() - entry.firstModuleRing,
                            end.target(),
                            end.cause(),
                            end.rejectionReason(),
                            end.elapsed(),
                            end.answered(),
                            end.report()));
        } else if (!entry.answered) {
            scheduleOffer(entry, mayHoldCircuits(end.cause()) ? now.plus(releaseTime) : now);
        }
        removeIfEnded(entry);
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
        if (entry.hasForeignRing()) {
            laneOrders.cancel(contact, entry.inFlightRing);
        }
        if (entry.offered) {
            module.callerGone(now, contact);
        }
        removeIfEnded(entry);
    }

    private void removeIfEnded(Entry entry) {
        if (entry.answered && entry.inFlightRing < 0) {
            entries.remove(entry.contact.id(), entry);
        }
    }

    /** A lane's thread, or this one, was replaced: all that the lane holds. */
    public void reconcileLane(Moment now, int lane, List<LaneContact> laneContacts) {
        Map<Long, LaneContact> byId = new HashMap<>();
        laneContacts.forEach(laneContact -> byId.put(laneContact.contact().id(), laneContact));
        List<Entry> laneEntries = new ArrayList<>();
        entries.values().stream().filter(entry -> entry.lane == lane).forEach(laneEntries::add);
        for (Entry entry : laneEntries) {
            reconcileEntry(now, entry, byId.get(entry.contact.id()));
        }
        for (LaneContact laneContact : laneContacts) {
            if (!entries.containsKey(laneContact.contact().id()) && !(laneContact.answered() && laneContact.inFlightRing() < 0)) {
                adoptContact(now, lane, laneContact);
            }
        }
    }

    private void reconcileEntry(Moment now, Entry entry, LaneContact laneContact) {
        long id = entry.contact.id();
        if (laneContact == null) {
            // The lane had done with it, and what it said of that was lost.
            callerGone(now, id);
            endRing(now, entry, RingEndCause.CUT);
            return;
        }
        if (laneContact.established()) {
            established(now, id, laneContact.inFlightRing(), laneContact.target(), now.since(laneContact.takenAt()));
        } else if (entry.inFlightRing >= 0 && entry.inFlightRing < laneContact.ringCount() && laneContact.inFlightRing() != entry.inFlightRing) {
            endRing(now, entry, entry.established ? RingEndCause.CUT : RingEndCause.TIMED_OUT);
        }
        // A ring that the lane has no count of is an order that still stands in its inbox.
        if (laneContact.answered()) {
            callerGone(now, id);
        }
    }

    private void endRing(Moment now, Entry entry, RingEndCause cause) {
        if (entry.inFlightRing >= 0) {
            ringEnded(
                    now,
                    new RingEnd(
                            entry.contact.id(),
                            entry.inFlightRing,
                            entry.target,
                            cause,
                            RejectionReason.NONE,
                            Span.ZERO,
                            entry.answered,
                            new float[0]));
        }
    }

    private void adoptContact(Moment now, int lane, LaneContact laneContact) {
        Entry entry = new Entry(laneContact.contact(), lane, laneContact.takenAt());
        entry.firstModuleRing = laneContact.ringCount();
        entry.nextRing = laneContact.ringCount();
        entry.inFlightRing = laneContact.inFlightRing();
        entry.target = laneContact.target();
        entry.established = laneContact.established();
        entry.answered = laneContact.answered();
        entries.put(laneContact.contact().id(), entry);
        if (!entry.answered && entry.inFlightRing < 0) {
            Moment offerAt = laneContact.lastHeldRingEndedAt() == null
                    ? now
                    : laneContact.lastHeldRingEndedAt().plus(releaseTime);
            scheduleOffer(entry, offerAt.before(now) ? now : offerAt);
        }
    }

    private void scheduleOffer(Entry entry, Moment dueAt) {
        entry.firstModuleRing = entry.nextRing;
        delayedOffers.add(new DelayedOffer(entry.contact.id(), dueAt, nextOfferSequence++));
    }

    /** When {@link #offerDue} has something to do, or null. */
    public Moment nextOfferAt() {
        return delayedOffers.isEmpty() ? null : delayedOffers.peek().dueAt();
    }

    /** Offers what another module had been offered before and is due; with what is left of its patience. */
    public void offerDue(Moment now) {
        while (!delayedOffers.isEmpty() && !now.before(delayedOffers.peek().dueAt())) {
            Entry entry = entries.get(delayedOffers.poll().contact());
            if (entry == null || entry.answered || entry.offered && entry.inFlightRing >= 0) {
                continue;
            }
            Contact contact = entry.contact;
            Span remainingPatience = contact.patience().minus(now.since(entry.takenAt));
            if (!remainingPatience.longerThan(Span.ZERO)) {
                // Its lane has the last word about now.
                continue;
            }
            entry.offered = true;
            module.contactOffered(
                    now,
                    new Contact(
                            contact.id(),
                            contact.skill(),
                            contact.dialledNumber(),
                            contact.destination(),
                            contact.routingHint(),
                            contact.width(),
                            remainingPatience,
                            contact.redial(),
                            contact.inTransit(),
                            contact.previouslyCut()));
        }
    }
}
