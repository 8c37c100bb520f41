package martenslip.signaling;

import java.util.List;
import martenslip.sip.message.Digits;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Parameters;
import martenslip.sip.message.Response;
import martenslip.sip.message.Via;

/**
 * What a switch says of itself in a response: overload control parameters in the topmost Via (RFC 7339 by loss,
 * RFC 7415 by rate), and in {@link #HEADER} what those don't hold. -1 stands for what was not said. {@code spare}
 * and {@code total} are the circuits of the group that the request came over.
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

    public static SipLoadReport of(Response response) {
        try {
            Parameters via = response.via().params();
            String value = response.headers().first(HEADER);
            Parameters own = value == null ? Parameters.NONE : Parameters.parse(";" + value);
            String algorithm = via.getUnquoted("oc-algo");
            double oc = number(via.get("oc"));
            boolean stands = algorithm != null && oc >= 0 && number(via.get("oc-validity")) != 0;
            return new SipLoadReport(
                    stands && algorithm.equals("rate") ? oc : -1,
                    stands && algorithm.equals("loss") ? Math.min(1, oc / 100) : -1,
                    number(own.get("depth")),
                    number(own.get("wait")),
                    (int) number(own.get("spare")),
                    (int) number(own.get("total")));
        } catch (InvalidValueException e) {
            return NONE;
        }
    }

    private static double number(String text) {
        return Digits.parseDecimal(text);
    }

    /** Puts it into a response; {@code validMs} is how long the overload parameters stand. */
    public void writeTo(Response response, long validMs, String sequence) throws InvalidValueException {
        Via via = response.via();
        if (via.params().has("oc") && (allowedRate >= 0 || lossFraction >= 0)) {
            boolean rate = allowedRate >= 0;
            long oc = Math.round(rate ? allowedRate : lossFraction * 100);
            response.headers()
                    .set(
                            "Via",
                            via.with("oc", Long.toString(oc))
                                    .with("oc-algo", rate ? "\"rate\"" : "\"loss\"")
                                    .with("oc-validity", Long.toString(validMs))
                                    .with("oc-seq", sequence));
        }
        StringBuilder own = new StringBuilder();
        add(own, "depth", queueDepth);
        add(own, "wait", meanWaitMs);
        add(own, "spare", totalCircuits < 0 ? -1 : freeCircuits);
        add(own, "total", totalCircuits);
        if (!own.isEmpty()) {
            response.headers().set(HEADER, own);
        }
    }

    /** With so many circuits fewer free, at least none. */
    public SipLoadReport withFewerFreeCircuits(int circuits) {
        return new SipLoadReport(
                allowedRate, lossFraction, queueDepth, meanWaitMs, Math.max(0, freeCircuits - circuits), totalCircuits);
    }

    private static void add(StringBuilder text, String name, double value) {
        if (value >= 0) {
            boolean whole = value == Math.rint(value);
            text.append(text.isEmpty() ? "" : ";")
                    .append(name)
                    .append('=')
                    .append(whole ? Long.toString((long) value) : String.format(java.util.Locale.ROOT, "%.2f", value));
        }
    }

    /** Values in the module's order: first the group's, then those of {@code fields}; what was not said is -1. */
    public float[] toReportValues(int spareKnown, int totalKnown, List<String> fields) {
        float[] values = new float[2 + fields.size()];
        values[0] = totalCircuits < 0 ? spareKnown : freeCircuits;
        values[1] = totalCircuits < 0 ? totalKnown : totalCircuits;
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
