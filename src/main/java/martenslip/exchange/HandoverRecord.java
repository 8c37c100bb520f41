package martenslip.exchange;

import martenslip.control.Contact;
import martenslip.control.Moment;
import martenslip.control.RejectionReason;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Hop;
import martenslip.tracking.ContactRegistry;

/**
 * The state of a contact that its lane thread leaves to a successor. It is written before each step that leaves the
 * process, so the successor knows of everything that may have been sent. Its messages are copies that nobody changes.
 *
 * @param callerHop where the INVITE of the caller came from
 * @param localTag the tag of this side toward the caller
 * @param ringCount how many rings the contact has had
 * @param liveRing the ring that is in flight or established, or that a BYE is pending for, or null
 * @param lastHeldRingEndedAt when the last ring ended that may still hold circuits, or null
 * @param answer the final answer, or null
 * @param answered whether the final answer is decided
 * @param answerSent whether a refusal was sent
 * @param answerAcknowledged whether the 2xx was acknowledged
 * @param pendingBye the leg to which a BYE has to be sent
 */
record HandoverRecord(
        Contact contact,
        String calledNumber,
        Moment acceptedAt,
        Request invite,
        Hop callerHop,
        String localTag,
        int ringCount,
        RecordedRing liveRing,
        Moment lastHeldRingEndedAt,
        RejectionReason lastRejectionReason,
        Response answer,
        boolean answered,
        boolean answerSent,
        boolean answerAcknowledged,
        PendingBye pendingBye) {
    /** The leg to which a BYE has to be sent. */
    enum PendingBye {
        NONE,
        CALLER,
        RING
    }

    /**
     * A ring that is in flight or established. {@code invite} contains its Via; {@code successResponse} is the 2xx, or
     * null.
     */
    record RecordedRing(
            int number,
            long target,
            int farExchange,
            Moment startedAt,
            Moment expiresAt,
            Request invite,
            Hop hop,
            Response successResponse) {}

    /** The state that is reported to the decider after a replacement. */
    ContactRegistry.LaneContact toLaneContact() {
        boolean live = liveRing != null && pendingBye == PendingBye.NONE;
        return new ContactRegistry.LaneContact(
                contact,
                acceptedAt,
                ringCount,
                live ? liveRing.number() : -1,
                live ? liveRing.target() : 0,
                live && liveRing.successResponse() != null,
                answered,
                lastHeldRingEndedAt);
    }
}
