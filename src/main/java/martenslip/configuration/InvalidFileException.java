package martenslip.configuration;

import java.util.List;
import java.util.stream.Collectors;

/** A file that is refused whole; nothing of it was applied. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<FileError> errors;

    public InvalidFileException(String fileName, List<FileError> errors) {
        super(errors.stream().map(error -> fileName + ": " + error).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(errors);
    }

    public List<FileError> errors() {
        return errors;
    }
}
