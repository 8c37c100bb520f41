package martenslip.watchdog;

import static org.testng.Assert.assertEquals;

import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

public class WatchdogTest {
    private static Moment at(double ms) {
        return new Moment(Span.ofMillis(ms).ns());
    }

    /** Looks each 20 ms from one moment to another with all but {@code hung} turning; the first place replaced. */
    private static int through(Watchdog lookout, int places, double from, double to, int hung) {
        int first = -1;
        for (double ms = from; ms <= to; ms += 20) {
            for (int i = 0; i < places; i++) {
                if (i != hung) {
                    lookout.loopTurned(i, at(ms));
                }
            }
            int place = lookout.findStalled(at(ms));
            first = first < 0 ? place : first;
        }
        return first;
    }

    @Test
    public void aThreadThatHangsIsReplacedOnceAndOthersAreLeft() {
        Watchdog lookout = new Watchdog(3, at(0));
        assertEquals(through(lookout, 3, 20, 140, 1), -1, "still within what a busy turn may take");
        assertEquals(through(lookout, 3, 160, 180, 1), 1);
        assertEquals(through(lookout, 3, 200, 640, 1), -1, "its replacement has time to take over");
        assertEquals(through(lookout, 3, 660, 1000, 1), 1, "a replacement that hangs is replaced too");
    }

    @Test
    public void aPauseOfTheWholeProcessIsNobodysStall() {
        Watchdog lookout = new Watchdog(4, at(0));
        through(lookout, 4, 20, 100, -1);
        assertEquals(lookout.findStalled(at(600)), -1);
        assertEquals(lookout.lateChecks(), 1);
        // Whoever still hangs after the pause is found from then on.
        assertEquals(through(lookout, 4, 620, 740, 2), -1);
        assertEquals(through(lookout, 4, 760, 780, 2), 2);
    }

    @Test
    public void theLongestSilentOneIsFirstAndOneALook() {
        Watchdog lookout = new Watchdog(3, at(0));
        lookout.loopTurned(0, at(10));
        lookout.loopTurned(1, at(5));
        lookout.loopTurned(2, at(170));
        for (double ms = 20; ms < 155; ms += 20) {
            lookout.findStalled(at(ms));
        }
        assertEquals(lookout.findStalled(at(175)), 1);
        assertEquals(lookout.findStalled(at(190)), 0);
        assertEquals(lookout.findStalled(at(210)), -1);
    }

    @Test
    public void aMachineThatFailsIsNotMetWithThreadsWithoutEnd() {
        Watchdog lookout = new Watchdog(1, at(0));
        int replaced = 0;
        for (double ms = 20; ms < 20_000; ms += 20) {
            replaced += lookout.findStalled(at(ms)) == 0 ? 1 : 0;
        }
        assertEquals(replaced, 8);
        assertEquals(lookout.suppressedReplacements() > 0, true);
        // Half a minute on it may try again.
        for (double ms = 20_000; ms < 40_000; ms += 20) {
            replaced += lookout.findStalled(at(ms)) == 0 ? 1 : 0;
        }
        assertEquals(replaced > 8, true);
    }
}
