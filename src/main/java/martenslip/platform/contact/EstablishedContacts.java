package martenslip.platform.contact;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import martenslip.control.Moment;
import martenslip.control.RingEndCause;

/**
 * Contacts that stand: no connection owns one. It ends by its switch's release, by its caller's, with the process
 * behind its switch, or where its good answer may not have come through. Each end is said to whoever did not bring it,
 * and the module is told once. The deciding thread's.
 */
final class EstablishedContacts {
    private static final float[] NO_REPORT = {};

    /** Hears of each end once the contact is no longer here. */
    interface EndListener {
        void contactEnded(TrackedContact contact, RingEndCause cause, float[] report);
    }

    private final OutboundMessages outbound;
    private final ReleaseSender releaseSender;
    private final EndListener endListener;
    private final Map<String, TrackedContact> contactsByTag = new LinkedHashMap<>();

    EstablishedContacts(OutboundMessages outbound, ReleaseSender releaseSender, EndListener endListener) {
        this.outbound = outbound;
        this.releaseSender = releaseSender;
        this.endListener = endListener;
    }

    int count() {
        return contactsByTag.size();
    }

    boolean hasContactsAt(long switchId) {
        return contactsByTag.values().stream().anyMatch(contact -> contact.attempt.switchId == switchId);
    }

    void add(TrackedContact contact, Moment now) {
        contact.isEstablished = true;
        contact.establishedAt = now;
        contact.setUpRequest = null;
        contactsByTag.put(contact.tag, contact);
    }

    void acknowledged(String tag) {
        TrackedContact contact = contactsByTag.get(tag);
        if (contact != null) {
            contact.isAcknowledged = true;
        }
    }

    void releasedByCaller(TrackedContact contact) {
        sendFinish(contact);
        contactEnded(contact, RingEndCause.CALLED_OFF, NO_REPORT);
    }

    void releasedBySwitch(TrackedContact contact, int q850Cause, float[] report) {
        sendRelease(
                contact, q850Cause == EndCause.NORMAL_CLEARING ? EndCause.NORMAL_CLEARING : EndCause.TEMPORARY_FAILURE);
        contactEnded(contact, EndCause.ofEstablishedEnd(q850Cause), report);
    }

    /** Good answers that were not acknowledged may not have come through, and nobody else would ever release these. */
    void callerConnectionEnded(long connectionId) {
        List<TrackedContact> unacknowledged =
                contactsMatching(contact -> !contact.isAcknowledged && contact.callerConnectionId == connectionId);
        if (!unacknowledged.isEmpty()) {
            outbound.log("unsure", unacknowledged.size() + " good answers not acknowledged on a connection that ended");
        }
        for (TrackedContact contact : unacknowledged) {
            sendFinish(contact);
            sendRelease(contact, EndCause.TEMPORARY_FAILURE);
            contactEnded(contact, RingEndCause.CALLED_OFF, NO_REPORT);
        }
    }

    /** What stood there before a moment, or at any, is over, and no release will come. */
    void switchProcessEnded(long switchId, Moment establishedBefore) {
        List<TrackedContact> ended = contactsMatching(contact -> contact.attempt.switchId == switchId
                && (establishedBefore == null || contact.establishedAt.before(establishedBefore)));
        for (TrackedContact contact : ended) {
            sendRelease(contact, EndCause.TEMPORARY_FAILURE);
            contactEnded(contact, RingEndCause.CUT, NO_REPORT);
        }
        if (!ended.isEmpty()) {
            outbound.log("switch-over", ended.size() + " contacts stood at switch " + switchId);
        }
    }

    private List<TrackedContact> contactsMatching(Predicate<TrackedContact> predicate) {
        return contactsByTag.values().stream().filter(predicate).toList();
    }

    private void sendFinish(TrackedContact contact) {
        outbound.sendFinish(
                contact.attempt.switchId,
                contact.attempt.switchConnectionId(),
                contact.tag,
                EndCause.NORMAL_CLEARING,
                () -> {});
    }

    private void sendRelease(TrackedContact contact, int q850Cause) {
        releaseSender.release(contact.tag, contact.calledNumber, q850Cause, contact.callerConnectionId);
    }

    private void contactEnded(TrackedContact contact, RingEndCause cause, float[] report) {
        contactsByTag.remove(contact.tag);
        endListener.contactEnded(contact, cause, report);
    }
}
