package martenslip.exchange;

import martenslip.sip.dialog.DialogLayer;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Response;

/**
 * Goes on with what a lane's thread held that was replaced: legs, rings and answers are built again from the wills. A
 * step that may or may not have left is taken once more with the same bytes, which the far side takes for a repeat.
 */
final class LaneTakeover {
    private final Contacts contacts;
    private final DialogLayer calls;
    private final HandoverStore estate;
    private final EventLog log;

    LaneTakeover(Contacts contacts, DialogLayer calls, HandoverStore estate, EventLog log) {
        this.contacts = contacts;
        this.calls = calls;
        this.estate = estate;
        this.log = log;
    }

    /** Before any other work of the lane's new thread; the decider is told of all that is open. */
    void takeOver() {
        for (HandoverRecord will : estate.wills()) {
            try {
                takeOver(will);
            } catch (InvalidValueException e) {
                log.warn(
                        calls.timerWheel().now(),
                        "will-not-read",
                        "contact",
                        will.contact().id(),
                        "why",
                        e.getMessage());
            }
        }
        contacts.tellHeld();
    }

    private void takeOver(HandoverRecord will) throws InvalidValueException {
        boolean stood = will.answer() != null && will.answer().isSuccess();
        boolean quiet = stood && (will.confirmed() || will.bye() == HandoverRecord.PendingBye.RING);
        UasCall caller = calls.takeOver(will.invite(), will.from(), will.tag(), quiet);
        if (caller == null) {
            return;
        }
        AcceptedContact taken = new AcceptedContact(will, caller);
        caller.setListener(contacts.callerOf(taken));
        if (will.out() != null) {
            ring(taken, will.out());
        }
        contacts.takenOver(taken);
        if (will.answer() != null) {
            answer(taken, stood, quiet);
        }
        if (will.bye() == HandoverRecord.PendingBye.CALLER) {
            caller.bye(null);
        }
    }

    private void answer(AcceptedContact taken, boolean stood, boolean quiet) {
        Response answer = taken.answer.copy();
        if (stood && !quiet) {
            taken.caller.accept(answer);
        } else if (!stood && taken.sent) {
            taken.caller.restoreRefused(answer);
        } else if (!stood) {
            taken.caller.refuse(answer);
            taken.sent = true;
            contacts.keep(taken);
        }
    }

    private void ring(AcceptedContact taken, HandoverRecord.InFlightRing out) throws InvalidValueException {
        Ring ring = new Ring(out.number(), out.target(), out.far(), out.at(), out.until());
        ring.invite = out.invite();
        ring.hop = out.hop();
        ring.okay = out.stood();
        ring.stood = out.stood() != null;
        taken.ring = ring;
        ring.call = calls.takeOver(out.invite().copy(), out.hop(), out.stood(), contacts.answersTo(taken, ring));
        if (taken.bye == HandoverRecord.PendingBye.RING) {
            ring.told = true;
            ring.call.bye(null);
        } else if (taken.bye == HandoverRecord.PendingBye.CALLER) {
            ring.told = true;
        } else if (!ring.stood) {
            contacts.watch(taken, ring);
        }
    }
}
