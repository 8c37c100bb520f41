package martenslip.configuration;

/** An error in a configuration or expectations file: line, path of elements or column, and reason. */
public record FileError(int line, String path, String reason) {
    @Override
    public String toString() {
        return "line " + line + ", " + path + ": " + reason;
    }
}
