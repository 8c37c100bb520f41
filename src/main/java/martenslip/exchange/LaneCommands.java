package martenslip.exchange;

import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.Span;
import martenslip.signaling.ListedSwitch;

/** What the decider has lanes do. */
interface LaneCommands {
    /** A ring as the lane needs it: its number, the switch, the group toward it (null without one) and the limit. */
    record RingCommand(int number, long target, ListedSwitch to, ExchangeConfiguration.Group group, Span limit) {}

    void ring(long contact, RingCommand send);

    void callOff(long contact, int ring);

    void defer(long contact, Span comeBack);

    void abandon(long contact);

    void probe(ListedSwitch to);

    void note(int peer, byte[] note);

    void watchList(boolean on);
}
