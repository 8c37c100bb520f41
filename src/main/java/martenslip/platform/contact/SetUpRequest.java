package martenslip.platform.contact;

import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.Request;

/**
 * A set-up that a caller asks for, read and found fit. {@code line} is the connection, {@code tag} the caller's id,
 * {@code key} the number called as it was written, {@code standsAt} the switch where it stands already, or null,
 * {@code caller} whether it still waits for the answer.
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
        int hint,
        int width,
        boolean transit,
        boolean redial,
        String establishedSwitch,
        String description,
        CallerCancellation cancellation) {
    long calledNumberValue() {
        return Long.parseUnsignedLong(calledNumber, 16);
    }
}
