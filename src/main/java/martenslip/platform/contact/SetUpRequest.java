package martenslip.platform.contact;

import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.Request;

/**
 * A valid set-up request of a caller.
 *
 * @param connectionId the connection it was received on
 * @param invite the INVITE
 * @param tag the Call-ID
 * @param calledNumber the number called, 16 hexadecimal digits as they were received
 * @param skill the number of the skill
 * @param receivedAt when its last byte was read
 * @param patience how long the caller waits for the final answer, from {@code receivedAt}
 * @param destination the number of the switch where the contact ends
 * @param routingHint the advised tandem, or for a contact in transit the switch it comes from; -1 for none
 * @param width the circuits the contact takes
 * @param inTransit whether the contact is in transit from another switch
 * @param redial whether the caller has tried before
 * @param establishedSwitch the id of the switch where the contact is already established, or null
 * @param description the session description
 * @param cancellation whether the caller still waits for the answer
 */
public record SetUpRequest(
        long connectionId,
        Request invite,
        String tag,
        String calledNumber,
        int skill,
        Moment receivedAt,
        Span patience,
        int destination,
        int routingHint,
        int width,
        boolean inTransit,
        boolean redial,
        String establishedSwitch,
        String description,
        CallerCancellation cancellation) {
    /** The called number as a value. */
    long calledNumberValue() {
        return Long.parseUnsignedLong(calledNumber, 16);
    }
}
