package martenslip.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Turns nested settings into the map of path and value that the module also receives through the simulator's protocol.
 * A list of plain values is joined by commas; a list with objects or lists in it becomes {@code .count}, {@code .0},
 * {@code .1} and so on. Blanks and commas in a value become {@code _}.
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
