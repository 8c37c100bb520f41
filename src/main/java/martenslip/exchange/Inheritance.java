package martenslip.exchange;

import martenslip.sip.dialog.CallIn;
import martenslip.sip.dialog.Calls;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.Response;

/**
 * Goes on with what a lane's thread held that was replaced: legs, rings and answers are built again from the wills. A
 * step that may or may not have left is taken once more with the same bytes, which the far side takes for a repeat.
 */
final class Inheritance {
    private final Contacts contacts;
    private final Calls calls;
    private final Estate estate;
    private final EventLog log;

    Inheritance(Contacts contacts, Calls calls, Estate estate, EventLog log) {
        this.contacts = contacts;
        this.calls = calls;
        this.estate = estate;
        this.log = log;
    }

    /** Before any other work of the lane's new thread; the decider is told of all that is open. */
    void takeOver() {
        for (Will will : estate.wills()) {
            try {
                takeOver(will);
            } catch (BadValue e) {
                log.warn(
                        calls.wheel().now(),
                        "will-not-read",
                        "contact",
                        will.contact().id(),
                        "why",
                        e.getMessage());
            }
        }
        contacts.tellHeld();
    }

    private void takeOver(Will will) throws BadValue {
        boolean stood = will.answer() != null && will.answer().success();
        boolean quiet = stood && (will.confirmed() || will.bye() == Will.Bye.RING);
        CallIn caller = calls.takeOver(will.invite(), will.from(), will.tag(), quiet);
        if (caller == null) {
            return;
        }
        Taken taken = new Taken(will, caller);
        caller.listen(contacts.callerOf(taken));
        if (will.out() != null) {
            ring(taken, will.out());
        }
        contacts.takenOver(taken);
        if (will.answer() != null) {
            answer(taken, stood, quiet);
        }
        if (will.bye() == Will.Bye.CALLER) {
            caller.bye(null);
        }
    }

    private void answer(Taken taken, boolean stood, boolean quiet) {
        Response answer = taken.answer.copy();
        if (stood && !quiet) {
            taken.caller.accept(answer);
        } else if (!stood && taken.sent) {
            taken.caller.refusedAlready(answer);
        } else if (!stood) {
            taken.caller.refuse(answer);
            taken.sent = true;
            contacts.keep(taken);
        }
    }

    private void ring(Taken taken, Will.Out out) throws BadValue {
        Ring ring = new Ring(out.number(), out.target(), out.far(), out.at(), out.until());
        ring.invite = out.invite();
        ring.hop = out.hop();
        ring.okay = out.stood();
        ring.stood = out.stood() != null;
        taken.ring = ring;
        ring.call = calls.takeOver(out.invite().copy(), out.hop(), out.stood(), contacts.answersTo(taken, ring));
        if (taken.bye == Will.Bye.RING) {
            ring.told = true;
            ring.call.bye(null);
        } else if (taken.bye == Will.Bye.CALLER) {
            ring.told = true;
        } else if (!ring.stood) {
            contacts.watch(taken, ring);
        }
    }
}
