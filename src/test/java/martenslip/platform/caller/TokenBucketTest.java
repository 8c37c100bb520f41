package martenslip.platform.caller;

import static org.testng.Assert.assertEquals;

import martenslip.control.Span;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The rate of a token bucket. */
public class TokenBucketTest {
    private static final long MS = 1_000_000;
    private static final int CAPACITY = 3;

    private TokenBucket bucket;

    @BeforeMethod
    public void begin() {
        bucket = new TokenBucket(CAPACITY, Span.ofMillis(50), 0);
    }

    @Test
    public void aBurstWithinTheCapacityDoesNotWaitAndTheNextTokenDoes() {
        for (int i = 0; i < CAPACITY; i++) {
            assertEquals(bucket.take(0), Span.ZERO);
        }
        assertEquals(bucket.take(0), Span.ofMillis(50));
        assertEquals(bucket.take(50 * MS), Span.ofMillis(50));
    }

    @Test
    public void tokensComeBackUpToTheCapacity() {
        for (int i = 0; i < CAPACITY; i++) {
            bucket.take(0);
        }
        for (int i = 0; i < CAPACITY; i++) {
            assertEquals(bucket.take(60_000 * MS), Span.ZERO);
        }
        assertEquals(bucket.take(60_000 * MS), Span.ofMillis(50));
    }
}
