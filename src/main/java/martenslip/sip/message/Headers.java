package martenslip.sip.message;

import java.util.ArrayList;
import java.util.List;

/** Header fields in the order they stand; names are in their one spelling. Not for several threads at once. */
public final class Headers {
    private record Field(String name, String value) {}

    private final List<Field> fields;

    public Headers() {
        fields = new ArrayList<>(16);
    }

    private Headers(List<Field> fields) {
        this.fields = new ArrayList<>(fields);
    }

    public Headers copy() {
        return new Headers(fields);
    }

    public int count() {
        return fields.size();
    }

    /** The first value of the name, or null. */
    public String first(String name) {
        int at = at(name, 0);
        return at < 0 ? null : fields.get(at).value;
    }

    public List<String> all(String name) {
        List<String> values = new ArrayList<>(2);
        for (int at = at(name, 0); at >= 0; at = at(name, at + 1)) {
            values.add(fields.get(at).value);
        }
        return values;
    }

    public Headers add(String name, Object value) {
        fields.add(new Field(HeaderNames.canonical(name), value.toString()));
        return this;
    }

    /** Before all others of its name, as a Via or a Record-Route is put. */
    public Headers addFirst(String name, Object value) {
        int at = at(name, 0);
        fields.add(Math.max(0, at), new Field(name, value.toString()));
        return this;
    }

    /** In place of the first of the name, or at the end. */
    public Headers set(String name, Object value) {
        int at = at(name, 0);
        if (at < 0) {
            return add(name, value);
        }
        fields.set(at, new Field(name, value.toString()));
        return this;
    }

    /** Takes the first of the name away. */
    public Headers removeFirst(String name) {
        int at = at(name, 0);
        if (at >= 0) {
            fields.remove(at);
        }
        return this;
    }

    public Headers removeAll(String name) {
        fields.removeIf(field -> field.name.equals(name));
        return this;
    }

    /** All of the name of another message, in their order. */
    public Headers copyFrom(Headers other, String name) {
        other.all(name).forEach(value -> add(name, value));
        return this;
    }

    private int at(String name, int from) {
        for (int i = from; i < fields.size(); i++) {
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
