package martenslip.platform;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * Checks the settings that this program and its module read, before any of them is used: a number must be a number in
 * its range, a boolean must be true or false. An absent setting takes its default, given in the operators'
 * documentation; a wrong one stops the start with an error that names it. No range depends on one deployment.
 */
final class SettingsValidator {
    /** About a century; no duration of a call, a connection or a start is longer. */
    private static final double MAX_SPAN_NS = 3.2e18;

    private static final double MAX_NUMBER = 1e9;

    private record NumberRange(String path, double min, double max) {}

    private static final List<NumberRange> NUMBER_RANGES = List.of(
            new NumberRange("round-ns", 1, MAX_SPAN_NS),
            new NumberRange("me", -1, MAX_NUMBER),
            new NumberRange("n-instances", 0, MAX_NUMBER),
            new NumberRange("family-info.mean-hold-ns", 0, MAX_SPAN_NS),
            new NumberRange("family-info.widths", 0, MAX_NUMBER),
            new NumberRange("family-info.home-no", -1, MAX_NUMBER),
            new NumberRange("family-info.release-ns", 0, MAX_SPAN_NS),
            new NumberRange("guarantees.warm-within-ns", 0, MAX_SPAN_NS),
            new NumberRange("guarantees.cold-share", 0, 1),
            new NumberRange("guarantees.fall-multiple", 0, MAX_NUMBER),
            new NumberRange("guarantees.fall-ns", 0, MAX_SPAN_NS),
            new NumberRange("guarantees.drain-grace-ns", 0, MAX_SPAN_NS),
            new NumberRange("guarantees.answer-slack-ns", 0, MAX_SPAN_NS),
            new NumberRange("policy-limits.send-cap", 0, MAX_NUMBER),
            new NumberRange("policy-limits.max-open", 0, MAX_NUMBER),
            new NumberRange("policy-limits.max-retry-after-ns", 0, MAX_SPAN_NS),
            new NumberRange("policy-limits.connect-timeout-ns", 0, MAX_SPAN_NS),
            new NumberRange("policy-limits.conn-idle-ns", 0, MAX_SPAN_NS));
    private static final List<NumberRange> CLASS_NUMBER_RANGES = List.of(
            new NumberRange("aim-ns", 0, MAX_SPAN_NS),
            new NumberRange("hard-limit-ns", 0, MAX_SPAN_NS),
            new NumberRange("worth", 0, 1e12));
    private static final List<String> BOOLEAN_SETTINGS = List.of("cancel", "peers", "probes", "retry-after");

    private SettingsValidator() {}

    /**
     * Checks all settings.
     *
     * @throws IOException where one is wrong, with its path and the reason
     */
    static void validate(Map<String, String> settings) throws IOException {
        validateNumber(settings, new NumberRange("classes.count", 1, 1024));
        String count = settings.get("classes.count");
        if (count == null) {
            throw new IOException("settings.classes is missing or empty");
        }
        for (int i = 0; i < (int) Double.parseDouble(count); i++) {
            String classPath = "classes." + i + ".";
            if (settings.getOrDefault(classPath + "name", "").isBlank()) {
                throw new IOException("settings.classes[" + i + "].name is missing");
            }
            for (NumberRange range : CLASS_NUMBER_RANGES) {
                validateNumber(settings, new NumberRange(classPath + range.path, range.min, range.max));
            }
        }
        for (NumberRange range : NUMBER_RANGES) {
            validateNumber(settings, range);
        }
        for (String name : BOOLEAN_SETTINGS) {
            String text = settings.get("policy-limits." + name);
            if (text != null && !text.equals("true") && !text.equals("false")) {
                throw new IOException("settings.policy-limits." + name + " is neither true nor false: " + text);
            }
        }
    }

    /** Checks one number, or each number of a list; an empty text counts as absent. */
    private static void validateNumber(Map<String, String> settings, NumberRange range) throws IOException {
        if (settings.keySet().stream().anyMatch(name -> name.startsWith(range.path + "."))) {
            throw new IOException("settings." + range.path + " is not a number");
        }
        String text = settings.get(range.path);
        if (text == null || text.isBlank()) {
            return;
        }
        for (String item : text.split(",", -1)) {
            double value;
            try {
                value = Double.parseDouble(item.trim());
            } catch (NumberFormatException e) {
                throw new IOException("settings." + range.path + " is not a number: " + text);
            }
            requireInRange(value, "settings." + range.path, text, range.min, range.max);
        }
    }

    /** Returns a value that is in its range; the exception names the path and the text as it was written. */
    static double requireInRange(double value, String path, Object text, double min, double max) throws IOException {
        // Written so that NaN is rejected too.
        if (!(value >= min && value <= max)) {
            throw new IOException(path + " is out of range, " + min + " to " + max + ": " + text);
        }
        return value;
    }
}
