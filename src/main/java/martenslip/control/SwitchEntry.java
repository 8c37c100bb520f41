package martenslip.control;

/**
 * One entry of the switch list.
 *
 * @param id the machine; it changes when another machine takes over the number
 * @param number the exchange number of the switch
 * @param state whether the switch takes new contacts
 * @param startedAt when the machine started, or null if that was long ago
 * @param zone the zone of the machine; machines of a zone may lose their network together
 */
public record SwitchEntry(long id, int number, State state, Moment startedAt, int zone) {
    /** State of a switch. Logs write the value names out. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
