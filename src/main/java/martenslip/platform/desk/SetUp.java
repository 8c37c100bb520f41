package martenslip.platform.desk;

import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.Request;

/**
 * A set-up that a caller asks for, read and found fit. {@code line} is the connection, {@code tag} the caller's id,
 * {@code key} the number called as it was written, {@code standsAt} the switch where it stands already, or null,
 * {@code caller} whether it still waits for the answer.
 */
public record SetUp(
        long line,
        Request invite,
        String tag,
        String key,
        int skill,
        Moment heardAt,
        Span patience,
        int destination,
        int hint,
        int width,
        boolean transit,
        boolean again,
        String standsAt,
        String description,
        Withdrawal caller) {
    long dialled() {
        return Long.parseUnsignedLong(key, 16);
    }
}
