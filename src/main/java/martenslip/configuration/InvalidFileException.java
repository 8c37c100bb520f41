package martenslip.configuration;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for a file with errors; nothing of it was applied. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<FileError> errors;

    /** Creates an exception whose message has a line for each error. */
    public InvalidFileException(String fileName, List<FileError> errors) {
        super(errors.stream().map(error -> fileName + ": " + error).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(errors);
    }

    /** Returns all errors that were found. */
    public List<FileError> errors() {
        return errors;
    }
}
