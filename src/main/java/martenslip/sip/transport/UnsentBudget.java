package martenslip.sip.transport;

/**
 * Bounds the unsent bytes of many connections together. At the bound a connection may queue no more than its fair share:
 * one whose peer leaves more than that unread is closed. Thread-safe; without I/O or clock.
 */
public final class UnsentBudget {
    /** Without a bound. */
    public static final UnsentBudget UNLIMITED = new UnsentBudget(Long.MAX_VALUE, Integer.MAX_VALUE);

    private final long maxBytes;
    private final int fairShareBytes;
    private long usedBytes;

    /** {@code fairShareBytes} is what a connection may have unsent even at the bound. */
    public UnsentBudget(long maxBytes, int fairShareBytes) {
        this.maxBytes = maxBytes;
        this.fairShareBytes = fairShareBytes;
    }

    /** Counts a message of a connection that would then have {@code connectionBytes} unsent; false if it may not. */
    synchronized boolean reserve(int messageBytes, int connectionBytes) {
        if (usedBytes + messageBytes > maxBytes && connectionBytes > fairShareBytes) {
            return false;
        }
        usedBytes += messageBytes;
        return true;
    }

    /** A message was written, or its connection has ended. */
    synchronized void release(int messageBytes) {
        usedBytes -= messageBytes;
    }

    synchronized long usedBytes() {
        return usedBytes;
    }
}
