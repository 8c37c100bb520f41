package martenslip.control;

/** A line of the switch list. {@code started} is null where the start was long ago. */
public record SwitchEntry(long id, int number, State state, Moment startedAt, int zone) {
    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
