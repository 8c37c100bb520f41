package martenslip.signaling;

import java.util.List;
import martenslip.sip.message.Digits;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Parameters;
import martenslip.sip.message.Response;
import martenslip.sip.message.Via;

/**
 * The load that a switch reports in a response: the overload control parameters of the topmost Via (RFC 7339 by loss,
 * RFC 7415 by rate), and in {@link #HEADER} what these cannot express. -1 means not reported.
 *
 * @param allowedRate requests a second that the switch accepts
 * @param lossFraction share of the requests that must not be sent, 0 to 1
 * @param queueDepth requests that wait for the processor of the switch
 * @param meanWaitMs their mean wait in milliseconds
 * @param freeCircuits free circuits of the trunk group of the request
 * @param totalCircuits all circuits of that group
 */
public record SipLoadReport(
        double allowedRate,
        double lossFraction,
        double queueDepth,
        double meanWaitMs,
        int freeCircuits,
        int totalCircuits) {
    public static final String HEADER = "Martenslip-Load";
    public static final SipLoadReport NONE = new SipLoadReport(-1, -1, -1, -1, -1, -1);

    /** Reads the report of a response; {@link #NONE} if it cannot be parsed. */
    public static SipLoadReport of(Response response) {
        try {
            Parameters viaParameters = response.via().params();
            String value = response.headers().first(HEADER);
            Parameters loadParameters = value == null ? Parameters.NONE : Parameters.parse(";" + value);
            String algorithm = viaParameters.getUnquoted("oc-algo");
            double oc = parseNumber(viaParameters.get("oc"));
            boolean controlActive = algorithm != null && oc >= 0 && parseNumber(viaParameters.get("oc-validity")) != 0;
            return new SipLoadReport(
                    controlActive && algorithm.equals("rate") ? oc : -1,
                    controlActive && algorithm.equals("loss") ? Math.min(1, oc / 100) : -1,
                    parseNumber(loadParameters.get("depth")),
                    parseNumber(loadParameters.get("wait")),
                    (int) parseNumber(loadParameters.get("spare")),
                    (int) parseNumber(loadParameters.get("total")));
        } catch (InvalidValueException e) {
            return NONE;
        }
    }

    private static double parseNumber(String text) {
        return Digits.parseDecimal(text);
    }

    /** Writes the report into a response; {@code validityMs} is how long the overload control parameters are valid. */
    public void writeTo(Response response, long validityMs, String sequence) throws InvalidValueException {
        Via via = response.via();
        if (via.params().has("oc") && (allowedRate >= 0 || lossFraction >= 0)) {
            boolean byRate = allowedRate >= 0;
            long oc = Math.round(byRate ? allowedRate : lossFraction * 100);
            response.headers()
                    .set(
                            "Via",
                            via.with("oc", Long.toString(oc))
                                    .with("oc-algo", byRate ? "\"rate\"" : "\"loss\"")
                                    .with("oc-validity", Long.toString(validityMs))
                                    .with("oc-seq", sequence));
        }
        StringBuilder loadParameters = new StringBuilder();
        appendParameter(loadParameters, "depth", queueDepth);
        appendParameter(loadParameters, "wait", meanWaitMs);
        appendParameter(loadParameters, "spare", totalCircuits < 0 ? -1 : freeCircuits);
        appendParameter(loadParameters, "total", totalCircuits);
        if (!loadParameters.isEmpty()) {
            response.headers().set(HEADER, loadParameters);
        }
    }

    /** The report with this many circuits fewer free, but at least 0. */
    public SipLoadReport withFewerFreeCircuits(int circuits) {
        return new SipLoadReport(
                allowedRate, lossFraction, queueDepth, meanWaitMs, Math.max(0, freeCircuits - circuits), totalCircuits);
    }

    private static void appendParameter(StringBuilder text, String name, double value) {
        if (value >= 0) {
            boolean isInteger = value == Math.rint(value);
            text.append(text.isEmpty() ? "" : ";")
                    .append(name)
                    .append('=')
                    .append(
                            isInteger
                                    ? Long.toString((long) value)
                                    : String.format(java.util.Locale.ROOT, "%.2f", value));
        }
    }

    /**
     * The values in the order that the controller expects: free and total circuits, where {@code knownFreeCircuits} and
     * {@code knownTotalCircuits} replace values that are not reported, then those named by {@code fields}; -1 means not
     * reported.
     */
    public float[] toReportValues(int knownFreeCircuits, int knownTotalCircuits, List<String> fields) {
        float[] values = new float[2 + fields.size()];
        values[0] = totalCircuits < 0 ? knownFreeCircuits : freeCircuits;
        values[1] = totalCircuits < 0 ? knownTotalCircuits : totalCircuits;
        for (int i = 0; i < fields.size(); i++) {
            values[2 + i] = (float)
                    switch (fields.get(i)) {
                        case "allowed" -> allowedRate;
                        case "cut_by" -> lossFraction;
                        case "depth" -> queueDepth;
                        case "mean_ms" -> meanWaitMs;
                        default -> -1;
                    };
        }
        return values;
    }
}
