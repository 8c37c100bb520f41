package martenslip.sip.transaction;

import java.util.SplittableRandom;
import java.util.function.Predicate;
import martenslip.sip.message.Via;

/**
 * Generates branches, tags and Call-IDs. Branches and Call-IDs are unique by a random prefix and a counter. Owned by
 * one thread.
 */
public final class IdGenerator {
    private final SplittableRandom random;
    private final String prefix;
    private final Predicate<String> ownsCallId;
    private long count;

    /** A generator that accepts every Call-ID. */
    public IdGenerator(long seed) {
        this(seed, callId -> true);
    }

    /**
     * {@code ownsCallId} is true for Call-IDs whose messages are routed to this thread. Call-IDs are generated until
     * one is accepted, so with N threads about one in N should be.
     */
    public IdGenerator(long seed, Predicate<String> ownsCallId) {
        this.ownsCallId = ownsCallId;
        random = new SplittableRandom(seed);
        prefix = Long.toString(random.nextLong() & Long.MAX_VALUE, 36);
    }

    /** A new branch with the magic cookie. */
    public String nextBranch() {
        return Via.MAGIC_COOKIE + prefix + "." + Long.toString(++count, 36);
    }

    /** A new tag with at least 32 random bits (RFC 3261 19.3). */
    public String nextTag() {
        return Long.toString(random.nextLong() & Long.MAX_VALUE, 36);
    }

    /** A new Call-ID that leads back to this thread. */
    public String nextCallId(String host) {
        String callId = prefix + "-" + Long.toString(++count, 36) + "@" + host;
        while (!ownsCallId.test(callId)) {
            callId = prefix + "-" + Long.toString(++count, 36) + "@" + host;
        }
        return callId;
    }
}
