package martenslip.exchange;

import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.Span;
import martenslip.signaling.ListedSwitch;

/**
 * Commands of the decider to the lanes. Rings are numbered per contact from 0, over all deciders that the contact has
 * had; {@code target} is the id of a switch.
 */
interface LaneCommands {
    /** A ring to send: its number, the switch, the trunk group toward it (null without one) and the time limit. */
    record RingCommand(
            int ringNumber,
            long target,
            ListedSwitch listedSwitch,
            ExchangeConfiguration.Group group,
            Span timeLimit) {}

    /** Sends a ring for the contact. */
    void ring(long contactId, RingCommand command);

    /** Cancels a ring that is not established yet. */
    void cancel(long contactId, int ringNumber);

    /** Refuses the contact for now; the caller may come back after {@code retryAfter}, if that is over zero. */
    void defer(long contactId, Span retryAfter);

    /** Refuses the contact because no time is left for it. */
    void abandon(long contactId);

    /** Sends an OPTIONS request to the switch. */
    void probe(ListedSwitch listedSwitch);

    /** Sends a note to one peer controller, or to all with {@link martenslip.control.Orders#ALL_PEERS}. */
    void sendNote(int peerNumber, byte[] note);

    /** Starts or stops the subscription to the switch list. */
    void watchSwitchList(boolean enabled);
}
