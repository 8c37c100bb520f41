package martenslip.platform.caller;

import martenslip.control.Span;

/**
 * Limits the rate of an action: a token is taken for each, up to a number at once. Without I/O, threads or clock: times are
 * values of {@link System#nanoTime} that the caller passes in. Used by one thread.
 */
final class TokenBucket {
    private final int capacity;
    private final Span tokenInterval;
    /** When the bucket is full if no further token is taken. */
    private long fullAtNs;

    /** A full bucket of this capacity, to which one token comes back at each interval. */
    TokenBucket(int capacity, Span tokenInterval, long nowNs) {
        this.capacity = capacity;
        this.tokenInterval = tokenInterval;
        fullAtNs = nowNs;
    }

    /** Takes a token; returns how long to wait before the action is due. */
    Span take(long nowNs) {
        long emptyNs = capacity * tokenInterval.ns();
        fullAtNs = Math.max(fullAtNs - nowNs, 0) + nowNs + tokenInterval.ns();
        return new Span(Math.max(0, fullAtNs - nowNs - emptyNs));
    }
}
