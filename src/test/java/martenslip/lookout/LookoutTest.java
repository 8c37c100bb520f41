package martenslip.lookout;

import static org.testng.Assert.assertEquals;

import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

public class LookoutTest {
    private static Moment at(double ms) {
        return new Moment(Span.ofMillis(ms).ns());
    }

    /** Looks each 20 ms from one moment to another with all but {@code hung} turning; the first place replaced. */
    private static int through(Lookout lookout, int places, double from, double to, int hung) {
        int first = -1;
        for (double ms = from; ms <= to; ms += 20) {
            for (int i = 0; i < places; i++) {
                if (i != hung) {
                    lookout.turned(i, at(ms));
                }
            }
            int place = lookout.look(at(ms));
            first = first < 0 ? place : first;
        }
        return first;
    }

    @Test
    public void aThreadThatHangsIsReplacedOnceAndOthersAreLeft() {
        Lookout lookout = new Lookout(3, at(0));
        assertEquals(through(lookout, 3, 20, 140, 1), -1, "still within what a busy turn may take");
        assertEquals(through(lookout, 3, 160, 180, 1), 1);
        assertEquals(through(lookout, 3, 200, 640, 1), -1, "its replacement has time to take over");
        assertEquals(through(lookout, 3, 660, 1000, 1), 1, "a replacement that hangs is replaced too");
    }

    @Test
    public void aPauseOfTheWholeProcessIsNobodysStall() {
        Lookout lookout = new Lookout(4, at(0));
        through(lookout, 4, 20, 100, -1);
        assertEquals(lookout.look(at(600)), -1);
        assertEquals(lookout.forgiven(), 1);
        // Whoever still hangs after the pause is found from then on.
        assertEquals(through(lookout, 4, 620, 740, 2), -1);
        assertEquals(through(lookout, 4, 760, 780, 2), 2);
    }

    @Test
    public void theLongestSilentOneIsFirstAndOneALook() {
        Lookout lookout = new Lookout(3, at(0));
        lookout.turned(0, at(10));
        lookout.turned(1, at(5));
        lookout.turned(2, at(170));
        for (double ms = 20; ms < 155; ms += 20) {
            lookout.look(at(ms));
        }
        assertEquals(lookout.look(at(175)), 1);
        assertEquals(lookout.look(at(190)), 0);
        assertEquals(lookout.look(at(210)), -1);
    }

    @Test
    public void aMachineThatFailsIsNotMetWithThreadsWithoutEnd() {
        Lookout lookout = new Lookout(1, at(0));
        int replaced = 0;
        for (double ms = 20; ms < 20_000; ms += 20) {
            replaced += lookout.look(at(ms)) == 0 ? 1 : 0;
        }
        assertEquals(replaced, 8);
        assertEquals(lookout.withheld() > 0, true);
        // Half a minute on it may try again.
        for (double ms = 20_000; ms < 40_000; ms += 20) {
            replaced += lookout.look(at(ms)) == 0 ? 1 : 0;
        }
        assertEquals(replaced > 8, true);
    }
}
