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
 * Tracks the contacts that the module knows and the events it was notified of for each, so that the module is notified
 * of each event once and in order while the threads around it are replaced. The lane that sends the rings numbers them;
 * a module that took over a contact in progress numbers its own rings from 0, so each contact has an offset. After a
 * replacement the registry compares the contacts that a lane still holds with the events that the module was
 * notified of, and notifies the module of the difference.
 *
 * <p>Without I/O, threads or clock; owned by the thread that owns the module. Its size is bounded by the open contacts.
 */
public final class ContactRegistry {
    /**
     * A contact as its lane holds it.
     *
     * @param contact the contact
     * @param takenAt when the lane took it
     * @param ringCount how many rings the lane has sent for it
     * @param inFlightRing the ring that is in flight or established, or -1
     * @param target switch of that ring
     * @param established whether that ring is established
     * @param answered whether the contact has its final answer
     * @param lastHeldRingEndedAt when the last ring ended that may still hold circuits, or null
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

    /** Orders that the registry itself gives to lanes. */
    public interface LaneOrders {
        /** Cancels a ring that this module never ordered, of a contact that has ended. */
        void cancel(long contact, int ring);
    }

    private static final class Entry {
        final Contact contact;
        final int lane;
        final Moment takenAt;
        /** Rings with a lower number were ordered by a previous module. */
        int firstModuleRing;

        int nextRing;
        int inFlightRing = -1;
        long target;
        boolean offered;
        /** A ring of the contact was established; stays true after that ring has ended. */
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

    /** {@code releaseTime} is how long no ring is sent for a contact after one that may still hold circuits. */
    public ContactRegistry(Controller module, Span releaseTime, LaneOrders laneOrders) {
        this.module = module;
        this.releaseTime = releaseTime;
        this.laneOrders = laneOrders;
    }

    /** Number of contacts that have not ended. */
    public int size() {
        return entries.size();
    }

    /** Offers a contact that a lane has taken to the module, unless it is already registered. */
    public void contactOffered(Moment now, Contact contact, int lane) {
        if (!entries.containsKey(contact.id())) {
            Entry entry = new Entry(contact, lane, now);
            entry.offered = true;
            entries.put(contact.id(), entry);
            module.contactOffered(now, contact);
        }
    }

    /** The module orders a ring; returns the lane's number of it, or -1 if the contact is not registered. */
    public int ringOrdered(long contact, long target) {
        Entry entry = entries.get(contact);
        if (entry == null) {
            return -1;
        }
        entry.inFlightRing = entry.nextRing++;
        entry.target = target;
        return entry.inFlightRing;
    }

    /** Whether the contact is registered. */
    public boolean contains(long contact) {
        return entries.containsKey(contact);
    }

    /** How many circuits a registered contact takes. */
    public int width(long contact) {
        return entries.get(contact).contact.width();
    }

    /** The lane's number of a ring that has this number for the module, or -1 if the contact is not registered. */
    public int laneRingNumber(long contact, int ring) {
        Entry entry = entries.get(contact);
        return entry == null ? -1 : entry.firstModuleRing + ring;
    }

    /** The module has ordered the final answer. */
    public void contactAnswered(long contact) {
        Entry entry = entries.get(contact);
        if (entry != null) {
            entry.answered = true;
            removeIfEnded(entry);
        }
    }

    /** A ring was answered; the module is notified once, and only of its own rings. */
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

    /** A ring, numbered by its lane, has ended; returns false if it is not the one in flight. */
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

    /**
     * Whether the switch may still hold circuits after a ring that ended this way. The release time (rule 5 of {@link
     * martenslip.control}) then passes before the next ring of the contact.
     */
    public static boolean mayHoldCircuits(RingEndCause cause) {
        return cause == RingEndCause.TIMED_OUT || cause == RingEndCause.CUT || cause == RingEndCause.CALLED_OFF;
    }

    /** The caller is gone, or the lane sent the final answer itself. */
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

    /** Compares the registry with all contacts that a lane holds, after the lane's thread or this one was replaced. */
    public void reconcileLane(Moment now, int lane, List<LaneContact> laneContacts) {
        Map<Long, LaneContact> byId = new HashMap<>();
        laneContacts.forEach(laneContact -> byId.put(laneContact.contact().id(), laneContact));
        List<Entry> laneEntries = new ArrayList<>();
        entries.values().stream().filter(entry -> entry.lane == lane).forEach(laneEntries::add);
        for (Entry entry : laneEntries) {
            reconcileEntry(now, entry, byId.get(entry.contact.id()));
        }
        for (LaneContact laneContact : laneContacts) {
            if (!entries.containsKey(laneContact.contact().id())
                    && !(laneContact.answered() && laneContact.inFlightRing() < 0)) {
                adoptContact(now, lane, laneContact);
            }
        }
    }

    private void reconcileEntry(Moment now, Entry entry, LaneContact laneContact) {
        long id = entry.contact.id();
        if (laneContact == null) {
            // The lane has ended the contact, and its notification was lost.
            callerGone(now, id);
            endRing(now, entry, RingEndCause.CUT);
            return;
        }
        if (laneContact.established()) {
            established(now, id, laneContact.inFlightRing(), laneContact.target(), now.since(laneContact.takenAt()));
        } else if (entry.inFlightRing >= 0
                && entry.inFlightRing < laneContact.ringCount()
                && laneContact.inFlightRing() != entry.inFlightRing) {
            endRing(now, entry, entry.established ? RingEndCause.CUT : RingEndCause.TIMED_OUT);
        }
        // A ring that the lane has not counted is an order that is still in its inbox.
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

    /** Offers the contacts that are due and were offered to a previous module, with their remaining patience. */
    public void offerDue(Moment now) {
        while (!delayedOffers.isEmpty() && !now.before(delayedOffers.peek().dueAt())) {
            Entry entry = entries.get(delayedOffers.poll().contact());
            if (entry == null || entry.answered || entry.offered && entry.inFlightRing >= 0) {
                continue;
            }
            Contact contact = entry.contact;
            Span remainingPatience = contact.patience().minus(now.since(entry.takenAt));
            if (!remainingPatience.longerThan(Span.ZERO)) {
                // Its lane gives the final answer at about this time.
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
