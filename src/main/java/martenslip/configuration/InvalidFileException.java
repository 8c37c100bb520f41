package martenslip.configuration;

import java.util.List;
import java.util.stream.Collectors;

/** A file that is refused whole; nothing of it was applied. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<FileError> errors;

    public InvalidFileException(String name, List<FileError> faults) {
        super(faults.stream().map(fault -> name + ": " + fault).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(faults);
    }

    public List<FileError> errors() {
        return errors;
    }
}
