package martenslip.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Span;

/** An element of a file that its schema has accepted, so that values need no second check of their form. */
public final class XmlElement {
    private final String name;
    private final String path;
    private final int line;
    private final Map<String, String> attributes = new LinkedHashMap<>();
    private final List<XmlElement> children = new ArrayList<>();

    XmlElement(String name, String path, int line) {
        this.name = name;
        this.path = path;
        this.line = line;
    }

    void put(String attribute, String value) {
        attributes.put(attribute, value);
    }

    void add(XmlElement child) {
        children.add(child);
    }

    public String name() {
        return name;
    }

    public List<XmlElement> children() {
        return children;
    }

    public List<XmlElement> children(String childName) {
        return children.stream().filter(child -> child.name.equals(childName)).toList();
    }

    /** The one child of the name; the schema has seen to it that it is there. */
    public XmlElement child(String childName) {
        return children(childName).get(0);
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

    public int integer(String attribute, int defaultValue) {
        return has(attribute) ? integer(attribute) : defaultValue;
    }

    public double decimal(String attribute) {
        return Double.parseDouble(text(attribute));
    }

    public double decimal(String attribute, double defaultValue) {
        return has(attribute) ? decimal(attribute) : defaultValue;
    }

    /** A span that stands in milliseconds. */
    public Span milliseconds(String attribute) {
        return Span.ofMillis(decimal(attribute));
    }

    public FileError error(String reason) {
        return new FileError(line, path, reason);
    }

    public FileError error(String attribute, String reason) {
        return new FileError(line, path + "/@" + attribute, reason);
    }
}
