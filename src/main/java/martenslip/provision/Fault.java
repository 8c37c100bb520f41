package martenslip.provision;

/** What is wrong with an XML file, and where: line, path of elements, reason. */
public record Fault(int line, String path, String reason) {
    @Override
    public String toString() {
        return "line " + line + ", " + path + ": " + reason;
    }
}
