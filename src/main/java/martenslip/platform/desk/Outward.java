package martenslip.platform.desk;

/** What the desk has sent. Nothing here waits; what fails at once is told by the result, what fails later as news. */
public interface Outward {
    /** Toward a caller on its line; false where that is over. */
    boolean toCaller(long line, byte[] message);

    /** A line that callers who behave have open, or 0. */
    long anyLine();

    /** The set-up of this line has its final answer. */
    void settled(long line);

    /** Ends a line whose caller misbehaves. */
    void drop(long line, String why);

    /** A set-up toward a switch; the number of the connection that takes it, or 0 where none can be had. */
    long start(long target, String tag, String skill, long leftMs, String key, String description);

    /** Gives a ring up, or releases what stands, on the connection if it is up, else on any. */
    void finish(long target, long connection, String tag, int cause);

    /** Says that a release was heard. */
    void finished(long target, long connection, String tag);

    void note(int peer, byte[] note);

    void log(String kind, String line);
}
