package martenslip.exchange;

import martenslip.control.Contact;
import martenslip.control.Moment;
import martenslip.control.RejectionReason;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.message.Response;

/** A contact that the exchange accepted, with its caller leg and its last ring, the only one that may be in flight. */
final class AcceptedContact {
    final Contact contact;
    final UasCall caller;
    final String calledNumber;
    final Moment acceptedAt;
    /** Number of rings so far. */
    int ringCount;

    Ring lastRing;
    /** The final answer is decided, by the decider, the lane or the caller leg. */
    boolean answered;

    Response answer;
    boolean answerSent;
    boolean answerAcknowledged;
    HandoverRecord.PendingBye pendingBye = HandoverRecord.PendingBye.NONE;
    /** When the last ring ended that may still hold circuits, or null. */
    Moment lastHeldRingEndedAt;
    /** When a CANCEL was sent that had to wait for the first response to its ring (RFC 3261 9.1), or null. */
    Moment delayedCancelSentAt;
    /** Why the last ring was refused; a tandem passes it on. */
    RejectionReason lastRejectionReason = RejectionReason.NONE;
    /** The INVITE transaction has ended: a retransmission would count as a new INVITE. */
    boolean inviteTransactionEnded;

    TimerWheel.Timer answerDeadlineTimer;

    AcceptedContact(Contact contact, UasCall caller, String calledNumber, Moment acceptedAt) {
        this.contact = contact;
        this.caller = caller;
        this.calledNumber = calledNumber;
        this.acceptedAt = acceptedAt;
    }

    /** Restores a contact from its handover record; the caller of this constructor restores the ring. */
    AcceptedContact(HandoverRecord handoverRecord, UasCall caller) {
        this(handoverRecord.contact(), caller, handoverRecord.calledNumber(), handoverRecord.acceptedAt());
        ringCount = handoverRecord.ringCount();
        lastHeldRingEndedAt = handoverRecord.lastHeldRingEndedAt();
        // The record does not tell whether a delayed CANCEL was the cause; waiting for the release time is safe.
        delayedCancelSentAt = lastHeldRingEndedAt;
        lastRejectionReason = handoverRecord.lastRejectionReason();
        answered = handoverRecord.answered();
        answer = handoverRecord.answer();
        answerSent = handoverRecord.answerSent();
        answerAcknowledged = handoverRecord.answerAcknowledged();
        pendingBye = handoverRecord.pendingBye();
    }

    /** The last ring if it has this number, else null. */
    Ring ringWithNumber(int ringNumber) {
        return lastRing != null && lastRing.number == ringNumber ? lastRing : null;
    }

    /** The ring that is in flight or established, or null. */
    Ring liveRing() {
        return lastRing == null || lastRing.endReported ? null : lastRing;
    }

    /** A copy of the state for a successor thread. */
    HandoverRecord toHandoverRecord() {
        HandoverRecord.RecordedRing recordedRing =
                lastRing != null && (!lastRing.endReported || pendingBye == HandoverRecord.PendingBye.RING)
                        ? lastRing.toRecordedRing()
                        : null;
        return new HandoverRecord(
                contact,
                calledNumber,
                acceptedAt,
                caller.invite(),
                caller.transaction().from(),
                caller.localTag(),
                ringCount,
                recordedRing,
                lastHeldRingEndedAt,
                lastRejectionReason,
                answer,
                answered,
                answerSent,
                answerAcknowledged,
                pendingBye);
    }
}
