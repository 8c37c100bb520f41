package martenslip.sip.message;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Parameters behind semicolons, in the order written; names are compared without case. Immutable. */
public final class Params {
    public static final Params NONE = new Params(List.of());

    private record One(String name, String value) {
        @Override
        public String toString() {
            return value == null ? ";" + name : ";" + name + "=" + value;
        }
    }

    private final List<One> all;

    private Params(List<One> all) {
        this.all = all;
    }

    /** Reads text that is empty or begins with a semicolon. */
    public static Params parse(String text) throws BadValue {
        String rest = text.trim();
        if (rest.isEmpty()) {
            return NONE;
        }
        if (rest.charAt(0) != ';') {
            throw new BadValue("a parameter must follow a semicolon: " + rest);
        }
        List<One> found = new ArrayList<>();
        for (String part : Text.split(rest.substring(1), ';')) {
            int equals = Text.outside(part, '=', 0);
            String name = (equals < 0 ? part : part.substring(0, equals)).trim().toLowerCase(Locale.ROOT);
            if (name.isEmpty()) {
                throw new BadValue("a parameter without a name: " + text);
            }
            found.add(new One(name, equals < 0 ? null : part.substring(equals + 1).trim()));
        }
        return new Params(found);
    }

    public boolean has(String name) {
        return find(name) != null;
    }

    /** The value as written, null where it is absent or has none. */
    public String get(String name) {
        One one = find(name);
        return one == null ? null : one.value;
    }

    /** The value without the quotes that may stand around it. */
    public String unquoted(String name) {
        String value = get(name);
        boolean quoted = value != null && value.length() >= 2 && value.startsWith("\"") && value.endsWith("\"");
        return quoted ? value.substring(1, value.length() - 1).replaceAll("\\\\(.)", "$1") : value;
    }

    /** With this one put in place of an older one of the name, or at the end. */
    public Params with(String name, String value) {
        List<One> next = new ArrayList<>(all);
        One one = new One(name, value);
        for (int i = 0; i < next.size(); i++) {
            if (next.get(i).name.equals(name)) {
                next.set(i, one);
                return new Params(next);
            }
        }
        next.add(one);
        return new Params(next);
    }

    private One find(String name) {
        for (One one : all) {
            if (one.name.equals(name)) {
                return one;
            }
        }
        return null;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Params same && all.equals(same.all);
    }

    @Override
    public int hashCode() {
        return all.hashCode();
    }

    @Override
    public String toString() {
        if (all.isEmpty()) {
            return "";
        }
        StringBuilder text = new StringBuilder();
        all.forEach(text::append);
        return text.toString();
    }
}
