package martenslip.platform.contact;

/**
 * Whether the caller of a set-up has cancelled it or ended its connection. The thread that reads this from the socket
 * sets the flag at once, while the event itself still queues behind older work in the decision thread's inbox. Every
 * START of the set-up checks the flag as it is written, so no attempt begins after its caller has left, however long
 * either waited.
 */
public final class CallerCancellation {
    private volatile boolean isCancelled;

    /** Marks the caller as gone, for good. May be called from any thread. */
    public void cancel() {
        isCancelled = true;
    }

    /** Whether the caller has gone. May be called from any thread. */
    public boolean isCancelled() {
        return isCancelled;
    }
}
