package martenslip.platform;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * Looks through the settings that this program and its module read, before anything of them is used: a number is one
 * and in its range, a switch is true or false. What is absent takes its default, as the operators' page says; what is
 * there and wrong stops the start, by name. Nothing here belongs to one deployment.
 */
final class SettingsValidator {
    /** A century: no span of a call, a connection or a start is longer. */
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

    /** Throws where one is wrong; the text names its path and the reason. */
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

    /** A list is one number after another; an empty one is none. */
    private static void validateNumber(Map<String, String> settings, NumberRange range) throws IOException {
        if (settings.keySet().stream().anyMatch(name -> name.startsWith(range.path + "."))) {
            throw new IOException("settings." + range.path + " is no number");
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
                throw new IOException("settings." + range.path + " is no number: " + text);
            }
            requireInRange(value, "settings." + range.path, text, range.min, range.max);
        }
    }

    /** The value where it is in its range; else the message names its place and the text as it stands. */
    static double requireInRange(double value, String path, Object text, double min, double max) throws IOException {
        // No number at all is in no range.
        if (!(value >= min && value <= max)) {
            throw new IOException(path + " is out of its range, " + min + " to " + max + ": " + text);
        }
        return value;
    }
}
