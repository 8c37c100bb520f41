package martenslip.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Span;

/**
 * An element of a file that is valid by its schema, so that the format of its values needs no further check. The
 * accessors of a value without a default require that the attribute is present.
 */
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

    /** Returns the local name. */
    public String name() {
        return name;
    }

    /** Returns the child elements in the order of the file. */
    public List<XmlElement> children() {
        return children;
    }

    /** Returns the child elements of the given name. */
    public List<XmlElement> children(String childName) {
        return children.stream().filter(child -> child.name.equals(childName)).toList();
    }

    /** Returns the only child of the given name; the schema requires it. */
    public XmlElement child(String childName) {
        return children(childName).get(0);
    }

    /** Returns all attributes with their values as written, in the order of the file. */
    public Map<String, String> attributes() {
        return java.util.Collections.unmodifiableMap(attributes);
    }

    /** Returns whether the attribute is present. */
    public boolean has(String attribute) {
        return attributes.containsKey(attribute);
    }

    /** Returns the value without blanks around it; empty where the attribute is absent. */
    public String text(String attribute) {
        return attributes.getOrDefault(attribute, "").trim();
    }

    /** Returns the value as an integer. */
    public int integer(String attribute) {
        return Integer.parseInt(text(attribute));
    }

    /** Returns the value as an integer, or the default where the attribute is absent. */
    public int integer(String attribute, int defaultValue) {
        return has(attribute) ? integer(attribute) : defaultValue;
    }

    /** Returns the value as a decimal number. */
    public double decimal(String attribute) {
        return Double.parseDouble(text(attribute));
    }

    /** Returns the value as a decimal number, or the default where the attribute is absent. */
    public double decimal(String attribute, double defaultValue) {
        return has(attribute) ? decimal(attribute) : defaultValue;
    }

    /** Returns the value, a decimal number of milliseconds, as a duration. */
    public Span milliseconds(String attribute) {
        return Span.ofMillis(decimal(attribute));
    }

    /** Creates an error at the line and path of this element. */
    public FileError error(String reason) {
        return new FileError(line, path, reason);
    }

    /** Creates an error at the line of this element and the path of the attribute. */
    public FileError error(String attribute, String reason) {
        return new FileError(line, path + "/@" + attribute, reason);
    }
}
