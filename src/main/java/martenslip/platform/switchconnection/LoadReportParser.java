package martenslip.platform.switchconnection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses a switch's load report into the order of fields given in the settings. A field that is absent or not a number
 * is marked as absent (NaN or -1), never 0. A report may use the simulator's field names instead of the platform's.
 */
public final class LoadReportParser {
    /** The first fields: free and total circuits. */
    private static final int CIRCUIT_FIELDS = 2;

    /** The simulator's field names by the platform's. */
    private static final Map<String, String> SIMULATOR_FIELD_NAMES = Map.of(
            "spare",
            "x0",
            "total",
            "x1",
            "allowed",
            "qps",
            "cut_by",
            "eps",
            "depth",
            "queue",
            "concurrent",
            "inflight",
            "load_share",
            "util",
            "mean_ms",
            "latency_ms");

    private final Map<String, Integer> fieldIndexes = new HashMap<>();
    private final int fieldCount;

    /** {@code fields} are the field names in the order of the values of {@link #parse}. */
    public LoadReportParser(List<String> fields) {
        fieldCount = fields.size();
        for (int i = 0; i < fieldCount; i++) {
            fieldIndexes.put(fields.get(i), i);
            fieldIndexes.putIfAbsent(SIMULATOR_FIELD_NAMES.getOrDefault(fields.get(i), fields.get(i)), i);
        }
    }

    /** Returns an empty array if the text is null or contains no known field. */
    public float[] parse(String text) {
        if (text == null || text.isBlank()) {
            return new float[0];
        }
        float[] values = new float[fieldCount];
        for (int i = 0; i < fieldCount; i++) {
            values[i] = absentValue(i);
        }
        boolean hasKnownField = false;
        for (String entry : text.split("[;,]")) {
            int colon = entry.indexOf(':');
            Integer index = colon < 0
                    ? null
                    : fieldIndexes.get(entry.substring(0, colon).trim());
            if (index != null) {
                values[index] = parseNumber(entry.substring(colon + 1).trim(), absentValue(index));
                hasKnownField = true;
            }
        }
        return hasKnownField ? values : new float[0];
    }

    /** Parses a report that may be older than the last known circuit counts: leaves the circuit fields absent. */
    float[] parseWithoutCircuits(String text) {
        float[] values = parse(text);
        for (int i = 0; i < Math.min(CIRCUIT_FIELDS, values.length); i++) {
            values[i] = Float.NaN;
        }
        return values;
    }

    /** A -1 in a circuit field would mean that the switch has no group, so NaN means an absent value there. */
    private static float absentValue(int index) {
        return index < CIRCUIT_FIELDS ? Float.NaN : -1;
    }

    private static float parseNumber(String text, float absentValue) {
        try {
            float value = Float.parseFloat(text);
            return Float.isFinite(value) && value >= 0 ? value : absentValue;
        } catch (NumberFormatException e) {
            return absentValue;
        }
    }
}
