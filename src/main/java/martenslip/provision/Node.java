package martenslip.provision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Span;

/** An element of a file that its schema has accepted, so that values need no second check of their form. */
public final class Node {
    private final String name;
    private final String path;
    private final int line;
    private final Map<String, String> attributes = new LinkedHashMap<>();
    private final List<Node> children = new ArrayList<>();

    Node(String name, String path, int line) {
        this.name = name;
        this.path = path;
        this.line = line;
    }

    void put(String attribute, String value) {
        attributes.put(attribute, value);
    }

    void add(Node child) {
        children.add(child);
    }

    public String name() {
        return name;
    }

    public List<Node> children() {
        return children;
    }

    public List<Node> children(String wanted) {
        return children.stream().filter(child -> child.name.equals(wanted)).toList();
    }

    /** The one child of the name; the schema has seen to it that it is there. */
    public Node child(String wanted) {
        return children(wanted).get(0);
    }

    /** All attributes as they stand, in their order. */
    public Map<String, String> attributes() {
        return java.util.Collections.unmodifiableMap(attributes);
    }

    public boolean has(String attribute) {
        return attributes.containsKey(attribute);
    }

    public String text(String attribute) {
        return attributes.getOrDefault(attribute, "").trim();
    }

    public int integer(String attribute) {
        return Integer.parseInt(text(attribute));
    }

    public int integer(String attribute, int otherwise) {
        return has(attribute) ? integer(attribute) : otherwise;
    }

    public double decimal(String attribute) {
        return Double.parseDouble(text(attribute));
    }

    public double decimal(String attribute, double otherwise) {
        return has(attribute) ? decimal(attribute) : otherwise;
    }

    /** A span that stands in milliseconds. */
    public Span ms(String attribute) {
        return Span.ofMillis(decimal(attribute));
    }

    public Fault fault(String reason) {
        return new Fault(line, path, reason);
    }

    public Fault fault(String attribute, String reason) {
        return new Fault(line, path + "/@" + attribute, reason);
    }
}
