package martenslip.signaling;

import java.util.Locale;
import martenslip.sip.message.Digits;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Message;
import martenslip.sip.message.Parameters;

/**
 * A release cause of ITU-T Q.850 as a Reason value (RFC 3326), with the location that released the call (RFC 8606).
 * {@code location} is empty if it is not given.
 */
public record ReleaseCause(int cause, String location) {
    public static final int NORMAL_CLEARING = 16;
    public static final int BUSY = 17;
    public static final int OUT_OF_ORDER = 27;
    public static final int NO_CIRCUIT = 34;
    public static final int TEMPORARY_FAILURE = 41;
    public static final int CONGESTION = 42;
    public static final int TIMER_EXPIRY = 102;
    /** Local network: the switch that received the request released the call itself. */
    public static final String LOCAL_NETWORK = "LN";
    /** Transit network: a tandem reports a release beyond itself. */
    public static final String TRANSIT_NETWORK = "TN";
    /** Remote local network: a tandem passes on a release by the called side. */
    public static final String REMOTE_LOCAL_NETWORK = "RLN";

    /** The Q.850 cause in the Reason headers of the message, or null if there is none or it cannot be parsed. */
    public static ReleaseCause of(Message message) {
        for (String value : message.headers().all("Reason")) {
            int semicolon = value.indexOf(';');
            if (semicolon > 0 && value.substring(0, semicolon).trim().equalsIgnoreCase("Q.850")) {
                try {
                    Parameters parameters = Parameters.parse(value.substring(semicolon));
                    String cause = parameters.get("cause");
                    String location = parameters.get("location");
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

    /** True if the call was released at this location. */
    public boolean hasLocation(String otherLocation) {
        return location.equals(otherLocation);
    }

    @Override
    public String toString() {
        return "Q.850;cause=" + cause + (location.isEmpty() ? "" : ";location=" + location);
    }
}
