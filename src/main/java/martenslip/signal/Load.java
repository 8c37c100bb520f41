package martenslip.signal;

import java.util.List;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.Digits;
import martenslip.sip.message.Params;
import martenslip.sip.message.Response;
import martenslip.sip.message.Via;

/**
 * What a switch says of itself in a response: overload control parameters in the topmost Via (RFC 7339 by loss,
 * RFC 7415 by rate), and in {@link #FIELD} what those don't hold. -1 stands for what was not said. {@code spare}
 * and {@code total} are the circuits of the group that the request came over.
 */
public record Load(double allowed, double cutBy, double depth, double meanMs, int spare, int total) {
    public static final String FIELD = "Martenslip-Load";
    public static final Load NONE = new Load(-1, -1, -1, -1, -1, -1);

    public static Load of(Response response) {
        try {
            Params via = response.via().params();
            String value = response.headers().first(FIELD);
            Params own = value == null ? Params.NONE : Params.parse(";" + value);
            String algorithm = via.unquoted("oc-algo");
            double oc = number(via.get("oc"));
            boolean stands = algorithm != null && oc >= 0 && number(via.get("oc-validity")) != 0;
            return new Load(
                    stands && algorithm.equals("rate") ? oc : -1,
                    stands && algorithm.equals("loss") ? Math.min(1, oc / 100) : -1,
                    number(own.get("depth")),
                    number(own.get("wait")),
                    (int) number(own.get("spare")),
                    (int) number(own.get("total")));
        } catch (BadValue e) {
            return NONE;
        }
    }

    private static double number(String text) {
        return Digits.decimal(text);
    }

    /** Puts it into a response; {@code validMs} is how long the overload parameters stand. */
    public void put(Response response, long validMs, String sequence) throws BadValue {
        Via via = response.via();
        if (via.params().has("oc") && (allowed >= 0 || cutBy >= 0)) {
            boolean rate = allowed >= 0;
            long oc = Math.round(rate ? allowed : cutBy * 100);
            response.headers()
                    .set(
                            "Via",
                            via.with("oc", Long.toString(oc))
                                    .with("oc-algo", rate ? "\"rate\"" : "\"loss\"")
                                    .with("oc-validity", Long.toString(validMs))
                                    .with("oc-seq", sequence));
        }
        StringBuilder own = new StringBuilder();
        add(own, "depth", depth);
        add(own, "wait", meanMs);
        add(own, "spare", total < 0 ? -1 : spare);
        add(own, "total", total);
        if (!own.isEmpty()) {
            response.headers().set(FIELD, own);
        }
    }

    /** With so many circuits fewer free, at least none. */
    public Load less(int circuits) {
        return new Load(allowed, cutBy, depth, meanMs, Math.max(0, spare - circuits), total);
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
    public float[] report(int spareKnown, int totalKnown, List<String> fields) {
        float[] values = new float[2 + fields.size()];
        values[0] = total < 0 ? spareKnown : spare;
        values[1] = total < 0 ? totalKnown : total;
        for (int i = 0; i < fields.size(); i++) {
            values[2 + i] = (float)
                    switch (fields.get(i)) {
                        case "allowed" -> allowed;
                        case "cut_by" -> cutBy;
                        case "depth" -> depth;
                        case "mean_ms" -> meanMs;
                        default -> -1;
                    };
        }
        return values;
    }
}
