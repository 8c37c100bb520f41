package martenslip.configuration;

/** What is wrong with an XML file, and where: line, path of elements, reason. */
public record FileError(int line, String path, String reason) {
    @Override
    public String toString() {
        return "line " + line + ", " + path + ": " + reason;
    }
}
