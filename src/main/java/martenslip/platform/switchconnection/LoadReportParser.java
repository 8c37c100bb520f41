package martenslip.platform.switchconnection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a load report into the order of the settings' fields; what is absent or no number is told as such,
 * never as 0. The wire may name a field by the simulator's word where the settings have the platform's.
 */
public final class LoadReportParser {
    private static final Map<String, String> OTHER = Map.of(
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

    private final Map<String, Integer> places = new HashMap<>();
    private final int count;

    public LoadReportParser(List<String> fields) {
        count = fields.size();
        for (int i = 0; i < count; i++) {
            places.put(fields.get(i), i);
            places.putIfAbsent(OTHER.getOrDefault(fields.get(i), fields.get(i)), i);
        }
    }

    /** Empty where there is no report. */
    public float[] read(String text) {
        if (text == null || text.isBlank()) {
            return new float[0];
        }
        float[] values = new float[count];
        for (int i = 0; i < count; i++) {
            values[i] = absent(i);
        }
        boolean any = false;
        for (String one : text.split("[;,]")) {
            int colon = one.indexOf(':');
            Integer place =
                    colon < 0 ? null : places.get(one.substring(0, colon).trim());
            if (place != null) {
                values[place] = number(one.substring(colon + 1).trim(), absent(place));
                any = true;
            }
        }
        return any ? values : new float[0];
    }

    /** The same without the circuits, for a report that may be older than what was told of them. */
    float[] processor(String text) {
        float[] values = read(text);
        for (int i = 0; i < Math.min(2, values.length); i++) {
            values[i] = Float.NaN;
        }
        return values;
    }

    /** Free circuits and size, the first two, say with a -1 that no group is there: not told is no number. */
    private static float absent(int place) {
        return place < 2 ? Float.NaN : -1;
    }

    private static float number(String text, float absent) {
        try {
            float value = Float.parseFloat(text);
            return Float.isFinite(value) && value >= 0 ? value : absent;
        } catch (NumberFormatException e) {
            return absent;
        }
    }
}
