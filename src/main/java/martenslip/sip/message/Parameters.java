package martenslip.sip.message;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Parameters behind semicolons, in the order written; names are compared without case. Immutable. */
public final class Parameters {
    public static final Parameters NONE = new Parameters(List.of());
    private static final String[] USUAL = {
        "branch", "tag", "rport", "received", "oc", "oc-algo", "lr", "transport", "tgrp", "trunk-context"
    };

    private record One(String name, String value) {
        @Override
        public String toString() {
            return value == null ? ";" + name : ";" + name + "=" + value;
        }
    }

    private final List<One> all;

    private Parameters(List<One> all) {
        this.all = all;
    }

    /** Reads text that is empty or begins with a semicolon. */
    public static Parameters parse(String text) throws InvalidValueException {
        String rest = text.trim();
        if (rest.isEmpty()) {
            return NONE;
        }
        if (rest.charAt(0) != ';') {
            throw new InvalidValueException("a parameter must follow a semicolon: " + rest);
        }
        List<One> found = new ArrayList<>(4);
        for (int from = 1; from <= rest.length(); ) {
            int semicolon = HeaderScanner.outside(rest, ';', from);
            int end = semicolon < 0 ? rest.length() : semicolon;
            int equals = rest.indexOf('=', from);
            equals = equals >= end ? -1 : equals;
            String name = name(rest, from, equals < 0 ? end : equals);
            if (name.isEmpty()) {
                throw new InvalidValueException("a parameter without a name: " + text);
            }
            found.add(new One(
                    name, equals < 0 ? null : rest.substring(equals + 1, end).trim()));
            from = end + 1;
        }
        return new Parameters(found);
    }

    /** The usual names are met without a copy: each message has a dozen of them. */
    private static String name(String text, int from, int to) {
        for (String usual : USUAL) {
            if (usual.length() == to - from && text.startsWith(usual, from)) {
                return usual;
            }
        }
        return text.substring(from, to).trim().toLowerCase(Locale.ROOT);
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
    public String getUnquoted(String name) {
        String value = get(name);
        boolean quoted = value != null && value.length() >= 2 && value.startsWith("\"") && value.endsWith("\"");
        return quoted ? value.substring(1, value.length() - 1).replaceAll("\\\\(.)", "$1") : value;
    }

    /** With this one put in place of an older one of the name, or at the end. */
    public Parameters with(String name, String value) {
        List<One> next = new ArrayList<>(all);
        One one = new One(name, value);
        for (int i = 0; i < next.size(); i++) {
            if (next.get(i).name.equals(name)) {
                next.set(i, one);
                return new Parameters(next);
            }
        }
        next.add(one);
        return new Parameters(next);
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
        return other instanceof Parameters same && all.equals(same.all);
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
