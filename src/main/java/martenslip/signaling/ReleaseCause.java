package martenslip.signaling;

import java.util.Locale;
import martenslip.sip.message.Digits;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Message;
import martenslip.sip.message.Parameters;

/**
 * A release cause of ITU-T Q.850 as a Reason value (RFC 3326), with the place that released (RFC 8606).
 * {@code location} is empty where it is not told.
 */
public record ReleaseCause(int cause, String location) {
    public static final int NORMAL_CLEARING = 16;
    public static final int BUSY = 17;
    public static final int OUT_OF_ORDER = 27;
    public static final int NO_CIRCUIT = 34;
    public static final int TEMPORARY_FAILURE = 41;
    public static final int CONGESTION = 42;
    public static final int TIMER_EXPIRY = 102;
    /** The local network: the switch that was sent to speaks of itself. */
    public static final String LOCAL_NETWORK = "LN";
    /** The transit network: the tandem speaks of what lies beyond. */
    public static final String TRANSIT_NETWORK = "TN";
    /** The network of the called side, as a tandem passes it on. */
    public static final String REMOTE_LOCAL_NETWORK = "RLN";

    /** The Q.850 reason of the message, or null. */
    public static ReleaseCause of(Message message) {
        for (String value : message.headers().all("Reason")) {
            int semicolon = value.indexOf(';');
            if (semicolon > 0 && value.substring(0, semicolon).trim().equalsIgnoreCase("Q.850")) {
                try {
                    Parameters params = Parameters.parse(value.substring(semicolon));
                    String cause = params.get("cause");
                    String location = params.get("location");
                    if (Digits.isDigits(cause, 3)) {
                        return new ReleaseCause(
                                Integer.parseInt(cause), location == null ? "" : location.toUpperCase(Locale.ROOT));
                    }
                } catch (InvalidValueException e) {
                    return null;
                }
            }
        }
        return null;
    }

    public boolean hasLocation(String place) {
        return location.equals(place);
    }

    @Override
    public String toString() {
        return "Q.850;cause=" + cause + (location.isEmpty() ? "" : ";location=" + location);
    }
}
