package martenslip.sip.transaction;

import java.util.SplittableRandom;
import java.util.function.Predicate;
import martenslip.sip.message.Via;

/** Branches, tags and Call-IDs: unique by a start drawn at random and a count. One thread owns it. */
public final class IdGenerator {
    private final SplittableRandom chance;
    private final String start;
    private final Predicate<String> mine;
    private long count;

    public IdGenerator(long seed) {
        this(seed, any -> true);
    }

    /** {@code mine} says which Call-IDs lead back to this thread; about one in as many as there are threads must. */
    public IdGenerator(long seed, Predicate<String> mine) {
        this.mine = mine;
        chance = new SplittableRandom(seed);
        start = Long.toString(chance.nextLong() & Long.MAX_VALUE, 36);
    }

    public String nextBranch() {
        return Via.MAGIC_COOKIE + start + "." + Long.toString(++count, 36);
    }

    /** Tags hold at least 32 random bits (RFC 3261 19.3). */
    public String nextTag() {
        return Long.toString(chance.nextLong() & Long.MAX_VALUE, 36);
    }

    public String nextCallId(String host) {
        String made = start + "-" + Long.toString(++count, 36) + "@" + host;
        while (!mine.test(made)) {
            made = start + "-" + Long.toString(++count, 36) + "@" + host;
        }
        return made;
    }
}
