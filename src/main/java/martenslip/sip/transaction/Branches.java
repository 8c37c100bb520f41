package martenslip.sip.transaction;

import java.util.SplittableRandom;
import martenslip.sip.message.Via;

/** Branches, tags and Call-IDs: unique by a start drawn at random and a count. One thread owns it. */
public final class Branches {
    private final SplittableRandom chance;
    private final String start;
    private long count;

    public Branches(long seed) {
        chance = new SplittableRandom(seed);
        start = Long.toString(chance.nextLong() & Long.MAX_VALUE, 36);
    }

    public String branch() {
        return Via.COOKIE + start + "." + Long.toString(++count, 36);
    }

    /** Tags hold at least 32 random bits (RFC 3261 19.3). */
    public String tag() {
        return Long.toString(chance.nextLong() & Long.MAX_VALUE, 36);
    }

    public String callId(String host) {
        return start + "-" + Long.toString(++count, 36) + "@" + host;
    }
}
