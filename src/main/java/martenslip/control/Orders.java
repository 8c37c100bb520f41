package martenslip.control;

/** What the module orders. Rings of a contact are numbered 0, 1, 2 ... as they are ordered. */
public interface Orders {
    /** Sets a contact up toward a switch; it may take {@code limit} until it stands. */
    void ring(long contact, long target, Span limit);

    void cancel(long contact, int ring);

    /** Final: refused; {@code comeBack} is when to try again, zero to say nothing. */
    void defer(long contact, Span retryAfter);

    /** Final: failed. */
    void abandon(long contact);

    /** Asks for {@link Controller#timerExpired} after {@code delay}; it cannot be taken back. */
    void startTimer(Span delay, long token);

    void probe(long target);

    /** A short note to a peer, or to all of them with {@link #ALL_PEERS}. */
    void sendNote(int peer, byte[] note);

    void watchSwitchList(boolean enabled);

    void log(String line);

    int ALL_PEERS = 0xffff;
}
