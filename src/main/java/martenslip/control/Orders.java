package martenslip.control;

/** The actions that the module orders. Rings of a contact are numbered 0, 1, 2 ... in the order of their orders. */
public interface Orders {
    /** Sets a contact up toward a switch; the ring times out after {@code limit} if it is not established. */
    void ring(long contact, long target, Span limit);

    /** Takes back a ring that has not ended. */
    void cancel(long contact, int ring);

    /** Final answer: refused. {@code retryAfter} tells the caller when to try again; zero sends no such time. */
    void defer(long contact, Span retryAfter);

    /** Final answer: failed. */
    void abandon(long contact);

    /** Requests {@link Controller#timerExpired} after {@code delay}. */
    void startTimer(Span delay, long token);

    /** The timers with this token have no effect any more: whoever keeps them may drop them. */
    default void cancelTimers(long token) {}

    /** Requests a report of the switch; see {@link Controller#switchReported}. */
    void probe(long target);

    /** Sends a short note to a peer, or to all of them with {@link #ALL_PEERS}. */
    void sendNote(int peer, byte[] note);

    /** Subscribes to the switch list, or ends the subscription. */
    void watchSwitchList(boolean enabled);

    /** Writes a line to the program's log. */
    void log(String line);

    /** The peer number that means all peers. */
    int ALL_PEERS = 0xffff;
}
