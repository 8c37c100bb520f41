package martenslip.platform.contact;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongToIntFunction;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;
import martenslip.control.RingEndCause;
import martenslip.eventloop.TimerWheel;
import martenslip.platform.contact.NamedContacts.NamedContact;

/**
 * The established contacts. They belong to no connection. One ends by a release of its switch or its caller, with the
 * process of its switch, or when the caller's connection ends before the 200 response was acknowledged. Each end is
 * sent to the sides that did not cause it, and the listener is notified once. Belongs to the decision thread.
 */
final class EstablishedContacts {
    private static final float[] NO_REPORT = {};

    /** Is notified of each end, after the contact has been removed here. */
    interface EndListener {
        void contactEnded(TrackedContact contact, RingEndCause cause, float[] report);
    }

    private final OutboundMessages outbound;
    private final ReleaseSender releaseSender;
    private final EndListener endListener;
    private final Map<String, TrackedContact> contactsByTag = new LinkedHashMap<>();
    private final NamedContacts namedContacts;
    /** The switches without a connection whose named contacts were logged as unconfirmed. */
    private final Set<Long> loggedSwitches = new HashSet<>();

    private final TimerWheel wheel;

    /** {@code groupSize} gives the circuits of a switch's group, 0 where they are not known. */
    EstablishedContacts(
            TimerWheel wheel,
            OutboundMessages outbound,
            ReleaseSender releaseSender,
            LongToIntFunction groupSize,
            EndListener endListener) {
        this.wheel = wheel;
        namedContacts = new NamedContacts(groupSize);
        this.outbound = outbound;
        this.releaseSender = releaseSender;
        this.endListener = endListener;
    }

    int count() {
        return contactsByTag.size() + namedContacts.count();
    }

    /** Whether any contact is established at this switch. */
    boolean hasContactsAt(long switchId) {
        return namedContacts.countAt(switchId) > 0
                || contactsByTag.values().stream().anyMatch(contact -> contact.switchId() == switchId);
    }

    /**
     * Adds a contact that has just been established; its set-up request is no longer kept.
     *
     * @param connectionNumber of the switch's connection that brought the answer
     */
    void add(TrackedContact contact, long connectionNumber) {
        contact.isEstablished = true;
        contact.connectionNumber = connectionNumber;
        contact.establishedSwitchId = contact.attempt.switchId;
        contact.setUpRequest = null;
        contactsByTag.put(contact.tag, contact);
    }

    /**
     * The number of contacts that stand though no connection to their switch is left that was up at the time of the
     * answer. Nothing but the switch list or a release then tells of their end. Each is logged once.
     *
     * @param oldestConnectionNumber gives the lowest number of a switch's established connections
     */
    int countUnconfirmed(LongUnaryOperator oldestConnectionNumber) {
        int count = 0;
        for (TrackedContact contact : contactsByTag.values()) {
            long oldestNumber = oldestConnectionNumber.applyAsLong(contact.switchId());
            if (contact.connectionNumber >= oldestNumber) {
                continue;
            }
            count++;
            if (!contact.isLoggedAsUnconfirmed) {
                contact.isLoggedAsUnconfirmed = true;
                outbound.log("unconfirmed", describe(contact) + "; no connection of that time is left");
            }
        }
        return count + countUnconfirmedNamed(oldestConnectionNumber);
    }

    /** The named contacts of switches to which there is no connection. */
    private int countUnconfirmedNamed(LongUnaryOperator oldestConnectionNumber) {
        int count = 0;
        for (long switchId : namedContacts.switchIds()) {
            if (oldestConnectionNumber.applyAsLong(switchId) != Long.MAX_VALUE) {
                loggedSwitches.remove(switchId);
                continue;
            }
            count += namedContacts.countAt(switchId);
            if (loggedSwitches.add(switchId)) {
                outbound.log(
                        "unconfirmed",
                        namedContacts.countAt(switchId) + " named contacts stand at switch " + switchId
                                + "; there is no connection to it");
            }
        }
        return count;
    }

    private static String describe(TrackedContact contact) {
        return contact.tag + " stands at switch " + contact.switchId() + ", answered on connection "
                + contact.connectionNumber;
    }

    /** Adds a contact that its caller has named as established. Returns the one that gives way to it, or null. */
    NamedContact addNamed(NamedContact named) {
        return namedContacts.add(named);
    }

    /** Whether a caller has named a contact of this tag as established. */
    boolean isNamed(String tag) {
        return namedContacts.get(tag) != null;
    }

    /** Ends a named contact by its caller's BYE; there must be one of this tag. */
    void namedReleasedByCaller(String tag) {
        releasedByCaller(taken(namedContacts.remove(tag)));
    }

    /** Ends a named contact by its switch's FINISH; returns false if there is none of this tag at the switch. */
    boolean namedReleasedBySwitch(long switchId, long switchConnectionId, String tag, int q850Cause, float[] report) {
        NamedContact named = namedContacts.get(tag);
        if (named == null || named.switchId() != switchId) {
            return false;
        }
        namedContacts.remove(tag);
        releasedBySwitch(taken(named), switchConnectionId, q850Cause, report);
        return true;
    }

    /** A named contact that has left its table to be ended; the module does not know it. */
    private TrackedContact taken(NamedContact named) {
        return new TrackedContact(named, wheel.now());
    }

    /** The tags of the contacts that their callers have named. */
    Set<String> namedTags() {
        return namedContacts.tags();
    }

    /** The number of contacts whose 200 response has not been acknowledged. */
    int unacknowledgedCount() {
        return (int) contactsByTag.values().stream()
                .filter(contact -> !contact.isAcknowledged)
                .count();
    }

    /**
     * Ends a contact whose caller has left the 200 response without its ACK, though the connection is open: nobody else
     * would release it, and its circuits would stay taken (RFC 3261, section 13.3.1.4).
     */
    void acknowledgementMissing(TrackedContact contact) {
        if (contact.isAcknowledged || contactsByTag.get(contact.tag) != contact) {
            return;
        }
        outbound.log("no-ack", describe(contact) + "; its caller has not acknowledged the answer");
        sendFinish(contact);
        releaseSender.releaseOnConnection(
                contact.tag, contact.calledNumber, EndCause.TEMPORARY_FAILURE, contact.callerConnectionId);
        contactEnded(contact, RingEndCause.CALLED_OFF, NO_REPORT);
    }

    /** The caller has acknowledged the 200 response. */
    void acknowledged(String tag) {
        TrackedContact contact = contactsByTag.get(tag);
        if (contact != null) {
            contact.isAcknowledged = true;
        }
    }

    /** Ends a contact by its caller's BYE. */
    void releasedByCaller(TrackedContact contact) {
        sendFinish(contact);
        contactEnded(contact, RingEndCause.CALLED_OFF, NO_REPORT);
    }

    /**
     * Ends a contact by its switch's FINISH; every cause but normal clearing is sent on as a temporary failure. The
     * FINISH is acknowledged on the given connection once the caller has acknowledged the release.
     */
    void releasedBySwitch(TrackedContact contact, long switchConnectionId, int q850Cause, float[] report) {
        sendRelease(
                contact,
                EndCause.toCaller(q850Cause),
                () -> outbound.sendFinished(contact.switchId(), switchConnectionId, contact.tag));
        contactEnded(contact, EndCause.ofEstablishedEnd(q850Cause), report);
    }

    /**
     * Ends the contacts whose 200 response went out on a connection that has ended and was not acknowledged: the
     * response may not have arrived, and nobody else would ever release them.
     */
    void callerConnectionEnded(long connectionId) {
        List<TrackedContact> unacknowledged =
                contactsMatching(contact -> !contact.isAcknowledged && contact.callerConnectionId == connectionId);
        if (!unacknowledged.isEmpty()) {
            outbound.log(
                    "unsure",
                    unacknowledged.size() + " contacts were answered but not acknowledged on a connection that ended");
        }
        for (TrackedContact contact : unacknowledged) {
            sendFinish(contact);
            sendRelease(contact, EndCause.TEMPORARY_FAILURE, () -> {});
            contactEnded(contact, RingEndCause.CALLED_OFF, NO_REPORT);
        }
    }

    /** Ends the contacts of a switch whose process has ended, as no release will come from it. */
    void switchProcessEnded(long switchId) {
        endWithProcess(switchId, contact -> true);
    }

    /**
     * Ends the contacts of a switch whose process another one has followed at its address. A contact stands at the process
     * at the other end of the connection that brought its answer: those answered on connections from the given number on
     * stand at the process that has followed. One that its caller has named stood at the earlier process.
     *
     * @param newSwitchId the switch of the process that has followed; the same one if it was started again
     */
    void switchProcessReplaced(long switchId, long newSwitchId, long firstConnectionNumber) {
        endWithProcess(switchId, contact -> contact.connectionNumber < firstConnectionNumber);
        for (TrackedContact contact : contactsMatching(contact -> contact.switchId() == switchId)) {
            contact.establishedSwitchId = newSwitchId;
            outbound.log("process-kept", describe(contact) + ", at the process that has followed switch " + switchId);
        }
    }

    private void endWithProcess(long switchId, Predicate<TrackedContact> isOver) {
        List<TrackedContact> ended =
                new ArrayList<>(contactsMatching(contact -> contact.switchId() == switchId && isOver.test(contact)));
        namedContacts.removeAllAt(switchId).forEach(named -> ended.add(taken(named)));
        for (TrackedContact contact : ended) {
            outbound.log("process-over", describe(contact) + "; its process has ended");
            sendRelease(contact, EndCause.TEMPORARY_FAILURE, () -> {});
            contactEnded(contact, RingEndCause.CUT, NO_REPORT);
        }
        if (!ended.isEmpty()) {
            outbound.log(
                    "switch-over",
                    ended.size() + " established contacts were lost with the process of switch " + switchId);
        }
    }

    private List<TrackedContact> contactsMatching(Predicate<TrackedContact> predicate) {
        return contactsByTag.values().stream().filter(predicate).toList();
    }

    private void sendFinish(TrackedContact contact) {
        outbound.sendFinish(
                contact.switchId(),
                contact.attempt.switchConnectionId(),
                contact.tag,
                EndCause.NORMAL_CLEARING,
                () -> {});
    }

    private void sendRelease(TrackedContact contact, int q850Cause, Runnable onAcknowledged) {
        releaseSender.release(contact.tag, contact.calledNumber, q850Cause, contact.callerConnectionId, onAcknowledged);
    }

    private void contactEnded(TrackedContact contact, RingEndCause cause, float[] report) {
        contactsByTag.remove(contact.tag);
        endListener.contactEnded(contact, cause, report);
    }
}
