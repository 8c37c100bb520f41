package martenslip.sip.message;

import java.util.ArrayList;
import java.util.List;

/**
 * Header fields of a message in their order. Names are in the spelling of {@link HeaderNames#canonical}. Not thread-
 * safe.
 */
public final class Headers {
    private record Field(String name, String value) {}

    private final List<Field> fields;

    /** Creates an empty list of fields. */
    public Headers() {
        fields = new ArrayList<>(16);
    }

    private Headers(List<Field> fields) {
        this.fields = new ArrayList<>(fields);
    }

    /** An independent copy. */
    public Headers copy() {
        return new Headers(fields);
    }

    /** The number of fields. */
    public int count() {
        return fields.size();
    }

    /** The number of characters of all names and values. */
    public int textLength() {
        int length = 0;
        for (Field field : fields) {
            length += field.name.length() + field.value.length();
        }
        return length;
    }

    /** The first value of the name, or null. */
    public String first(String name) {
        int index = indexOf(name, 0);
        return index < 0 ? null : fields.get(index).value;
    }

    /** All values of the name in their order. */
    public List<String> all(String name) {
        List<String> values = new ArrayList<>(2);
        for (int index = indexOf(name, 0); index >= 0; index = indexOf(name, index + 1)) {
            values.add(fields.get(index).value);
        }
        return values;
    }

    /** Appends a field; the name may be in any spelling. */
    public Headers add(String name, Object value) {
        fields.add(new Field(HeaderNames.canonical(name), value.toString()));
        return this;
    }

    /** Inserts a field before all others of its name, as a new Via or Record-Route requires. */
    public Headers addFirst(String name, Object value) {
        int index = indexOf(name, 0);
        fields.add(Math.max(0, index), new Field(name, value.toString()));
        return this;
    }

    /** Replaces the first field of the name, or appends one if there is none. */
    public Headers set(String name, Object value) {
        int index = indexOf(name, 0);
        if (index < 0) {
            return add(name, value);
        }
        fields.set(index, new Field(name, value.toString()));
        return this;
    }

    /** Removes the first field of the name. */
    public Headers removeFirst(String name) {
        int index = indexOf(name, 0);
        if (index >= 0) {
            fields.remove(index);
        }
        return this;
    }

    /** Removes all fields of the name. */
    public Headers removeAll(String name) {
        fields.removeIf(field -> field.name.equals(name));
        return this;
    }

    /** Appends all fields of the name of another message in their order. */
    public Headers copyFrom(Headers other, String name) {
        other.all(name).forEach(value -> add(name, value));
        return this;
    }

    private int indexOf(String name, int start) {
        for (int i = start; i < fields.size(); i++) {
            if (fields.get(i).name.equals(name)) {
                return i;
            }
        }
        return -1;
    }

    void write(StringBuilder text) {
        for (Field field : fields) {
            text.append(field.name).append(": ").append(field.value).append("\r\n");
        }
    }
}
