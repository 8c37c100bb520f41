package martenslip.exchange;

import martenslip.control.Contact;
import martenslip.control.Moment;
import martenslip.control.RejectionReason;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.message.Response;

/** A contact that was taken: its caller's leg and its last ring, the only one that may be out. */
final class AcceptedContact {
    final Contact contact;
    final UasCall caller;
    final String number;
    final Moment at;
    /** How many rings it has had. */
    int rings;

    Ring ring;
    /** The final answer has been given, by whichever side. */
    boolean answered;

    Response answer;
    boolean sent;
    boolean confirmed;
    HandoverRecord.PendingBye bye = HandoverRecord.PendingBye.NONE;
    /** When the last ring ended that may still hold something. */
    Moment heldUntil;
    /** When a CANCEL left that could not leave as its ring was given up, or null. */
    Moment cancelledLate;
    /** Why the last ring ended, for a tandem to pass on. */
    RejectionReason last = RejectionReason.NONE;
    /** Its INVITE would count as a new one by now. */
    boolean forgotten;

    TimerWheel.Timer lastWord;

    AcceptedContact(Contact contact, UasCall caller, String number, Moment at) {
        this.contact = contact;
        this.caller = caller;
        this.number = number;
        this.at = at;
    }

    /** As its will says; the ring is its successor's to build. */
    AcceptedContact(HandoverRecord will, UasCall caller) {
        this(will.contact(), caller, will.number(), will.at());
        rings = will.rings();
        heldUntil = will.heldUntil();
        // It may have been a late CANCEL's: a will does not say, and to wait is safe.
        cancelledLate = heldUntil;
        last = will.last();
        answered = will.answered();
        answer = will.answer();
        sent = will.sent();
        confirmed = will.confirmed();
        bye = will.bye();
    }

    Ring ring(int wanted) {
        return ring != null && ring.number == wanted ? ring : null;
    }

    /** The ring that is out or stands, or null. */
    Ring live() {
        return ring == null || ring.told ? null : ring;
    }

    HandoverRecord will() {
        HandoverRecord.InFlightRing out =
                ring != null && (!ring.told || bye == HandoverRecord.PendingBye.RING) ? ring.out() : null;
        return new HandoverRecord(
                contact,
                number,
                at,
                caller.invite(),
                caller.transaction().from(),
                caller.tag(),
                rings,
                out,
                heldUntil,
                last,
                answer,
                answered,
                sent,
                confirmed,
                bye);
    }
}
