package martenslip.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Nested settings as the plain map of path and value that the module knows from the simulator's wire: plain lists
 * joined by commas, lists of objects as {@code .count} and {@code .0}, {@code .1}; blanks and commas in a value as
 * {@code _}.
 */
final class SettingsFlattener {
    private SettingsFlattener() {}

    static Map<String, String> flatten(Map<?, ?> settings) {
        Map<String, String> flattened = new LinkedHashMap<>();
        settings.forEach((name, value) -> flattenInto(flattened, String.valueOf(name), value));
        return flattened;
    }

    private static void flattenInto(Map<String, String> flattened, String path, Object value) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, inner) -> flattenInto(flattened, path + "." + name, inner));
        } else if (value instanceof List<?> list) {
            boolean hasOnlyPlainItems = list.stream().noneMatch(item -> item instanceof Map || item instanceof List);
            if (hasOnlyPlainItems) {
                flattened.put(
                        path,
                        String.join(
                                ",",
                                list.stream().map(SettingsFlattener::toText).toList()));
                return;
            }
            flattened.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flattenInto(flattened, path + "." + i, list.get(i));
            }
        } else {
            flattened.put(path, toText(value));
        }
    }

    private static String toText(Object value) {
        return value == null ? "" : value.toString().replace(' ', '_').replace(',', '_');
    }
}
