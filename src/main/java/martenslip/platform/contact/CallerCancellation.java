package martenslip.platform.contact;

/**
 * Whether the caller of a set-up has gone: cancelled, or ended its connection. Whoever reads that off the socket marks
 * it at once; the news then waits its turn in the inbox, behind what is older. Each order of the set-up looks here as
 * it goes out, so none begins after its caller has left, however long either waited.
 */
public final class CallerCancellation {
    private volatile boolean isCancelled;

    /** Any thread; for good. */
    public void cancel() {
        isCancelled = true;
    }

    public boolean isCancelled() {
        return isCancelled;
    }
}
