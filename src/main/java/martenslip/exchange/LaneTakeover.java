package martenslip.exchange;

import martenslip.sip.dialog.DialogLayer;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Response;

/**
 * Restores the contacts of a replaced lane thread: legs, rings and answers are rebuilt from the handover records. A
 * message that may or may not have been sent is sent again with the same bytes, which the far side treats as a
 * retransmission.
 */
final class LaneTakeover {
    private final Contacts contacts;
    private final DialogLayer dialogLayer;
    private final HandoverStore handoverStore;
    private final EventLog log;

    LaneTakeover(Contacts contacts, DialogLayer dialogLayer, HandoverStore handoverStore, EventLog log) {
        this.contacts = contacts;
        this.dialogLayer = dialogLayer;
        this.handoverStore = handoverStore;
        this.log = log;
    }

    /**
     * Restores all contacts and reports the open ones to the decider; called before any other work of the new thread.
     */
    void takeOver() {
        for (HandoverRecord handoverRecord : handoverStore.records()) {
            try {
                takeOver(handoverRecord);
            } catch (InvalidValueException e) {
                log.warn(
                        dialogLayer.timerWheel().now(),
                        "will-not-read",
                        "contact",
                        handoverRecord.contact().id(),
                        "why",
                        e.getMessage());
            }
        }
        contacts.reportOpenContacts();
    }

    private void takeOver(HandoverRecord handoverRecord) throws InvalidValueException {
        boolean established =
                handoverRecord.answer() != null && handoverRecord.answer().isSuccess();
        boolean settled = established
                && (handoverRecord.answerAcknowledged()
                        || handoverRecord.pendingBye() == HandoverRecord.PendingBye.RING);
        UasCall caller = dialogLayer.takeOver(
                handoverRecord.invite(), handoverRecord.callerHop(), handoverRecord.localTag(), settled);
        if (caller == null) {
            return;
        }
        AcceptedContact acceptedContact = new AcceptedContact(handoverRecord, caller);
        caller.setListener(contacts.callerListener(acceptedContact));
        if (handoverRecord.liveRing() != null) {
            restoreRing(acceptedContact, handoverRecord.liveRing());
        }
        contacts.addTakenOverContact(acceptedContact);
        if (handoverRecord.answer() != null) {
            restoreAnswer(acceptedContact, established, settled);
        }
        if (handoverRecord.pendingBye() == HandoverRecord.PendingBye.CALLER) {
            caller.bye(null);
        }
    }

    private void restoreAnswer(AcceptedContact acceptedContact, boolean established, boolean settled) {
        Response answer = acceptedContact.answer.copy();
        if (established && !settled) {
            acceptedContact.caller.accept(answer);
        } else if (!established && acceptedContact.answerSent) {
            acceptedContact.caller.restoreRefused(answer);
        } else if (!established) {
            acceptedContact.caller.refuse(answer);
            acceptedContact.answerSent = true;
            contacts.saveHandoverRecord(acceptedContact);
        }
    }

    private void restoreRing(AcceptedContact acceptedContact, HandoverRecord.RecordedRing recordedRing)
            throws InvalidValueException {
        Ring ring = new Ring(
                recordedRing.number(),
                recordedRing.target(),
                recordedRing.farExchange(),
                recordedRing.startedAt(),
                recordedRing.expiresAt());
        ring.invite = recordedRing.invite();
        ring.hop = recordedRing.hop();
        ring.successResponse = recordedRing.successResponse();
        ring.established = recordedRing.successResponse() != null;
        acceptedContact.lastRing = ring;
        ring.call = dialogLayer.takeOver(
                recordedRing.invite().copy(),
                recordedRing.hop(),
                recordedRing.successResponse(),
                contacts.ringListener(acceptedContact, ring));
        if (acceptedContact.pendingBye == HandoverRecord.PendingBye.RING) {
            ring.endReported = true;
            ring.call.bye(null);
        } else if (acceptedContact.pendingBye == HandoverRecord.PendingBye.CALLER) {
            ring.endReported = true;
        } else if (!ring.established) {
            contacts.startRingTimers(acceptedContact, ring);
        }
    }
}
