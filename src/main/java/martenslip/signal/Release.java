package martenslip.signal;

import java.util.Locale;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.Digits;
import martenslip.sip.message.Message;
import martenslip.sip.message.Params;

/**
 * A release cause of ITU-T Q.850 as a Reason value (RFC 3326), with the place that released (RFC 8606).
 * {@code location} is empty where it is not told.
 */
public record Release(int cause, String location) {
    public static final int NORMAL = 16;
    public static final int BUSY = 17;
    public static final int OUT_OF_ORDER = 27;
    public static final int NO_CIRCUIT = 34;
    public static final int TEMPORARY = 41;
    public static final int CONGESTION = 42;
    public static final int TIMER = 102;
    /** The local network: the switch that was sent to speaks of itself. */
    public static final String HERE = "LN";
    /** The transit network: the tandem speaks of what lies beyond. */
    public static final String TRANSIT = "TN";
    /** The network of the called side, as a tandem passes it on. */
    public static final String BEYOND = "RLN";

    /** The Q.850 reason of the message, or null. */
    public static Release of(Message message) {
        for (String value : message.headers().all("Reason")) {
            int semicolon = value.indexOf(';');
            if (semicolon > 0 && value.substring(0, semicolon).trim().equalsIgnoreCase("Q.850")) {
                try {
                    Params params = Params.parse(value.substring(semicolon));
                    String cause = params.get("cause");
                    String location = params.get("location");
                    if (Digits.only(cause, 3)) {
                        return new Release(
                                Integer.parseInt(cause), location == null ? "" : location.toUpperCase(Locale.ROOT));
                    }
                } catch (BadValue e) {
                    return null;
                }
            }
        }
        return null;
    }

    public boolean from(String place) {
        return location.equals(place);
    }

    @Override
    public String toString() {
        return "Q.850;cause=" + cause + (location.isEmpty() ? "" : ";location=" + location);
    }
}
