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

    static Map<String, String> of(Map<?, ?> settings) {
        Map<String, String> flat = new LinkedHashMap<>();
        settings.forEach((name, value) -> put(flat, String.valueOf(name), value));
        return flat;
    }

    private static void put(Map<String, String> flat, String path, Object value) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, inner) -> put(flat, path + "." + name, inner));
        } else if (value instanceof List<?> list) {
            boolean plain = list.stream().noneMatch(one -> one instanceof Map || one instanceof List);
            if (plain) {
                flat.put(
                        path,
                        String.join(
                                ",", list.stream().map(SettingsFlattener::text).toList()));
                return;
            }
            flat.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                put(flat, path + "." + i, list.get(i));
            }
        } else {
            flat.put(path, text(value));
        }
    }

    private static String text(Object value) {
        return value == null ? "" : value.toString().replace(' ', '_').replace(',', '_');
    }
}
