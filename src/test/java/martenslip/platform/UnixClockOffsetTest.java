package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Iterator;
import java.util.List;
import martenslip.control.Moment;
import org.testng.annotations.Test;

/** Times of the Unix clock on the monotonic clock. */
public class UnixClockOffsetTest {
    private static final long NS_PER_MS = 1_000_000;

    /** Guards against report 9d16c4: starts of switches were dated early by the time that the program took to start. */
    @Test
    public void aTimeOfThePresentIsThePresentMoment() {
        UnixClockOffset offset = UnixClockOffset.measure(System::currentTimeMillis, System::nanoTime);
        long beforeNs = System.nanoTime();
        long unixTimeMs = System.currentTimeMillis();
        long afterNs = System.nanoTime();
        Moment moment = offset.toMoment(unixTimeMs);
        assertTrue(
                !moment.before(new Moment(beforeNs - 2 * NS_PER_MS)), "early by " + (beforeNs - moment.ns()) + " ns");
        assertTrue(!new Moment(afterNs + 2 * NS_PER_MS).before(moment), "late by " + (moment.ns() - afterNs) + " ns");
    }

    @Test
    public void aPauseBetweenTheReadingsDoesNotCount() {
        Iterator<Long> monotonicNs = List.of(
                        0L,
                        900 * NS_PER_MS,
                        1000 * NS_PER_MS,
                        1000 * NS_PER_MS + 1,
                        1002 * NS_PER_MS,
                        1700 * NS_PER_MS,
                        1800 * NS_PER_MS,
                        1900 * NS_PER_MS,
                        2000 * NS_PER_MS,
                        2100 * NS_PER_MS)
                .iterator();
        Iterator<Long> unixMs = List.of(5100L, 6000L, 6400L, 6850L, 7050L).iterator();
        UnixClockOffset offset = UnixClockOffset.measure(unixMs::next, monotonicNs::next);
        assertEquals(offset.toMoment(6000), new Moment(1000 * NS_PER_MS + 1));
    }
}
