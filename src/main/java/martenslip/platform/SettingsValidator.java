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
    private static final double LONGEST_NS = 3.2e18;

    private static final double MOST = 1e9;

    private record NumberRange(String path, double least, double most) {}

    private static final List<NumberRange> NUMBERS = List.of(
            new NumberRange("round-ns", 1, LONGEST_NS),
            new NumberRange("me", -1, MOST),
            new NumberRange("n-instances", 0, MOST),
            new NumberRange("family-info.mean-hold-ns", 0, LONGEST_NS),
            new NumberRange("family-info.widths", 0, MOST),
            new NumberRange("family-info.home-no", -1, MOST),
            new NumberRange("family-info.release-ns", 0, LONGEST_NS),
            new NumberRange("guarantees.warm-within-ns", 0, LONGEST_NS),
            new NumberRange("guarantees.cold-share", 0, 1),
            new NumberRange("guarantees.fall-multiple", 0, MOST),
            new NumberRange("guarantees.fall-ns", 0, LONGEST_NS),
            new NumberRange("guarantees.drain-grace-ns", 0, LONGEST_NS),
            new NumberRange("guarantees.answer-slack-ns", 0, LONGEST_NS),
            new NumberRange("policy-limits.send-cap", 0, MOST),
            new NumberRange("policy-limits.max-open", 0, MOST),
            new NumberRange("policy-limits.max-retry-after-ns", 0, LONGEST_NS),
            new NumberRange("policy-limits.connect-timeout-ns", 0, LONGEST_NS),
            new NumberRange("policy-limits.conn-idle-ns", 0, LONGEST_NS));
    private static final List<NumberRange> OF_A_CLASS = List.of(
            new NumberRange("aim-ns", 0, LONGEST_NS),
            new NumberRange("hard-limit-ns", 0, LONGEST_NS),
            new NumberRange("worth", 0, 1e12));
    private static final List<String> SWITCHES = List.of("cancel", "peers", "probes", "retry-after");

    private SettingsValidator() {}

    /** Throws where one is wrong; the text names its path and the reason. */
    static void check(Map<String, String> settings) throws IOException {
        number(settings, new NumberRange("classes.count", 1, 1024));
        String count = settings.get("classes.count");
        if (count == null) {
            throw new IOException("settings.classes is missing or empty");
        }
        for (int i = 0; i < (int) Double.parseDouble(count); i++) {
            String at = "classes." + i + ".";
            if (settings.getOrDefault(at + "name", "").isBlank()) {
                throw new IOException("settings.classes[" + i + "].name is missing");
            }
            for (NumberRange one : OF_A_CLASS) {
                number(settings, new NumberRange(at + one.path, one.least, one.most));
            }
        }
        for (NumberRange one : NUMBERS) {
            number(settings, one);
        }
        for (String name : SWITCHES) {
            String text = settings.get("policy-limits." + name);
            if (text != null && !text.equals("true") && !text.equals("false")) {
                throw new IOException("settings.policy-limits." + name + " is neither true nor false: " + text);
            }
        }
    }

    /** A list is one number after another; an empty one is none. */
    private static void number(Map<String, String> settings, NumberRange number) throws IOException {
        if (settings.keySet().stream().anyMatch(name -> name.startsWith(number.path + "."))) {
            throw new IOException("settings." + number.path + " is no number");
        }
        String text = settings.get(number.path);
        if (text == null || text.isBlank()) {
            return;
        }
        for (String item : text.split(",", -1)) {
            double value;
            try {
                value = Double.parseDouble(item.trim());
            } catch (NumberFormatException e) {
                throw new IOException("settings." + number.path + " is no number: " + text);
            }
            within(value, "settings." + number.path, text, number.least, number.most);
        }
    }

    /** The value where it is in its range; else the message names its place and the text as it stands. */
    static double within(double value, String where, Object text, double least, double most) throws IOException {
        // No number at all is in no range.
        if (!(value >= least && value <= most)) {
            throw new IOException(where + " is out of its range, " + least + " to " + most + ": " + text);
        }
        return value;
    }
}
