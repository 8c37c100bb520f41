package martenslip.exchange;

import martenslip.control.Contact;
import martenslip.control.Moment;
import martenslip.control.RejectionReason;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Hop;
import martenslip.tracking.ContactRegistry;

/**
 * All that whoever takes a contact over must know of it. It is written before each step that leaves the process, so
 * a successor knows of all that may have left. Its messages are copies that nobody changes.
 *
 * @param tag the tag of this side toward the caller
 * @param rings how many rings the contact has had
 * @param out the ring that is out or stands, or null
 * @param heldUntil when the last ring ended that may still hold something, or null
 * @param answer the final answer, or null
 * @param sent the answer has left
 * @param confirmed its 2xx was acknowledged
 * @param bye the side that is owed a BYE
 */
record HandoverRecord(
        Contact contact,
        String number,
        Moment at,
        Request invite,
        Hop from,
        String tag,
        int rings,
        InFlightRing out,
        Moment heldUntil,
        RejectionReason last,
        Response answer,
        boolean answered,
        boolean sent,
        boolean confirmed,
        PendingBye bye) {
    enum PendingBye {
        NONE,
        CALLER,
        RING
    }

    /** {@code invite} bears its Via; {@code stood} is its 2xx, or null. */
    record InFlightRing(
            int number, long target, int far, Moment at, Moment until, Request invite, Hop hop, Response stood) {}

    ContactRegistry.LaneContact held() {
        boolean live = out != null && bye == PendingBye.NONE;
        return new ContactRegistry.LaneContact(
                contact,
                at,
                rings,
                live ? out.number() : -1,
                live ? out.target() : 0,
                live && out.stood() != null,
                answered,
                heldUntil);
    }
}
