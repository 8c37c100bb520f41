package martenslip.exchange;

import martenslip.control.Span;
import martenslip.provision.Site;
import martenslip.signal.Neighbour;

/** What the decider has lanes do. */
interface Hands {
    /** A ring as the lane needs it: its number, the switch, the group toward it (null without one) and the limit. */
    record Send(int number, long target, Neighbour to, Site.Group group, Span limit) {}

    void ring(long contact, Send send);

    void callOff(long contact, int ring);

    void defer(long contact, Span comeBack);

    void abandon(long contact);

    void probe(Neighbour to);

    void note(int peer, byte[] note);

    void watchList(boolean on);
}
