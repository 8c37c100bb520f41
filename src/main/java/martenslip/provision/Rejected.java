package martenslip.provision;

import java.util.List;
import java.util.stream.Collectors;

/** A file that is refused whole; nothing of it was applied. */
public final class Rejected extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<Fault> faults;

    public Rejected(String name, List<Fault> faults) {
        super(faults.stream().map(fault -> name + ": " + fault).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    public List<Fault> faults() {
        return faults;
    }
}
