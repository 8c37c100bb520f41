package martenslip.sip.message;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Parameters separated by semicolons, in the order written. Names are case-insensitive. Immutable. */
public final class Parameters {
    /** No parameters. */
    public static final Parameters NONE = new Parameters(List.of());

    private static final String[] FREQUENT_NAMES = {
        "branch", "tag", "rport", "received", "oc", "oc-algo", "lr", "transport", "tgrp", "trunk-context"
    };

    private record Parameter(String name, String value) {
        @Override
        public String toString() {
            return value == null ? ";" + name : ";" + name + "=" + value;
        }
    }

    private final List<Parameter> parameters;

    private Parameters(List<Parameter> parameters) {
        this.parameters = parameters;
    }

    /** Parses text that is empty or begins with a semicolon. */
    public static Parameters parse(String text) throws InvalidValueException {
        String rest = text.trim();
        if (rest.isEmpty()) {
            return NONE;
        }
        if (rest.charAt(0) != ';') {
            throw new InvalidValueException("a parameter must follow a semicolon: " + rest);
        }
        List<Parameter> parsed = new ArrayList<>(4);
        for (int start = 1; start <= rest.length(); ) {
            int semicolon = HeaderScanner.indexOutsideQuotes(rest, ';', start);
            int end = semicolon < 0 ? rest.length() : semicolon;
            int equals = rest.indexOf('=', start);
            equals = equals >= end ? -1 : equals;
            String name = canonicalName(rest, start, equals < 0 ? end : equals);
            if (name.isEmpty()) {
                throw new InvalidValueException("a parameter without a name: " + text);
            }
            parsed.add(new Parameter(
                    name, equals < 0 ? null : rest.substring(equals + 1, end).trim()));
            start = end + 1;
        }
        return new Parameters(parsed);
    }

    /** The lower-case name. Frequent names, a dozen in each message, are matched without creating a string. */
    private static String canonicalName(String text, int start, int end) {
        for (String frequentName : FREQUENT_NAMES) {
            if (frequentName.length() == end - start && text.startsWith(frequentName, start)) {
                return frequentName;
            }
        }
        return text.substring(start, end).trim().toLowerCase(Locale.ROOT);
    }

    /** True if the parameter is present, with or without a value. */
    public boolean has(String name) {
        return find(name) != null;
    }

    /** The value as written; null if the parameter is absent or has no value. */
    public String get(String name) {
        Parameter parameter = find(name);
        return parameter == null ? null : parameter.value;
    }

    /** The value without enclosing quotes and the escapes within them; null as in {@link #get}. */
    public String getUnquoted(String name) {
        String value = get(name);
        boolean quoted = value != null && value.length() >= 2 && value.startsWith("\"") && value.endsWith("\"");
        return quoted ? value.substring(1, value.length() - 1).replaceAll("\\\\(.)", "$1") : value;
    }

    /**
     * A copy in which the parameter replaces the first one of its name, or is appended. A null value writes the name
     * alone.
     */
    public Parameters with(String name, String value) {
        List<Parameter> updated = new ArrayList<>(parameters);
        Parameter parameter = new Parameter(name, value);
        for (int i = 0; i < updated.size(); i++) {
            if (updated.get(i).name.equals(name)) {
                updated.set(i, parameter);
                return new Parameters(updated);
            }
        }
        updated.add(parameter);
        return new Parameters(updated);
    }

    private Parameter find(String name) {
        for (Parameter parameter : parameters) {
            if (parameter.name.equals(name)) {
                return parameter;
            }
        }
        return null;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Parameters same && parameters.equals(same.parameters);
    }

    @Override
    public int hashCode() {
        return parameters.hashCode();
    }

    @Override
    public String toString() {
        if (parameters.isEmpty()) {
            return "";
        }
        StringBuilder text = new StringBuilder();
        parameters.forEach(text::append);
        return text.toString();
    }
}
