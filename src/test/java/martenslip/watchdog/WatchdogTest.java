package martenslip.watchdog;

import static org.testng.Assert.assertEquals;

import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

/** When the watchdog has a thread replaced, and when it does not. */
public class WatchdogTest {
    private static Moment at(double milliseconds) {
        return new Moment(Span.ofMillis(milliseconds).ns());
    }

    /** Checks every 20 ms while all threads but {@code hungThread} iterate; returns the first thread replaced, or -1. */
    private static int checkThrough(Watchdog watchdog, int threads, double start, double end, int hungThread) {
        int firstStalled = -1;
        for (double time = start; time <= end; time += 20) {
            for (int i = 0; i < threads; i++) {
                if (i != hungThread) {
                    watchdog.iterationStarted(i, at(time));
                }
            }
            int stalled = watchdog.findStalled(at(time));
            firstStalled = firstStalled < 0 ? stalled : firstStalled;
        }
        return firstStalled;
    }

    @Test
    public void hungThreadIsReplacedOnce() {
        Watchdog watchdog = new Watchdog(3, at(0));
        assertEquals(checkThrough(watchdog, 3, 20, 140, 1), -1, "still within the time of a busy iteration");
        assertEquals(checkThrough(watchdog, 3, 160, 180, 1), 1);
        assertEquals(checkThrough(watchdog, 3, 200, 640, 1), -1, "its replacement has time to take over");
        assertEquals(checkThrough(watchdog, 3, 660, 1000, 1), 1, "a replacement that hangs is replaced too");
    }

    @Test
    public void processPauseIsNoStall() {
        Watchdog watchdog = new Watchdog(4, at(0));
        checkThrough(watchdog, 4, 20, 100, -1);
        assertEquals(watchdog.findStalled(at(600)), -1);
        assertEquals(watchdog.lateChecks(), 1);
        // A thread that still hangs after the pause is found from then on.
        assertEquals(checkThrough(watchdog, 4, 620, 740, 2), -1);
        assertEquals(checkThrough(watchdog, 4, 760, 780, 2), 2);
    }

    @Test
    public void longestStalledThreadIsReplacedFirst() {
        Watchdog watchdog = new Watchdog(3, at(0));
        watchdog.iterationStarted(0, at(10));
        watchdog.iterationStarted(1, at(5));
        watchdog.iterationStarted(2, at(170));
        for (double time = 20; time < 155; time += 20) {
            watchdog.findStalled(at(time));
        }
        assertEquals(watchdog.findStalled(at(175)), 1);
        assertEquals(watchdog.findStalled(at(190)), 0);
        assertEquals(watchdog.findStalled(at(210)), -1);
    }

    @Test
    public void replacementsAreBounded() {
        Watchdog watchdog = new Watchdog(1, at(0));
        int replaced = 0;
        for (double time = 20; time < 20_000; time += 20) {
            replaced += watchdog.findStalled(at(time)) == 0 ? 1 : 0;
        }
        assertEquals(replaced, 8);
        assertEquals(watchdog.suppressedReplacements() > 0, true);
        // Half a minute later replacements are allowed again.
        for (double time = 20_000; time < 40_000; time += 20) {
            replaced += watchdog.findStalled(at(time)) == 0 ? 1 : 0;
        }
        assertEquals(replaced > 8, true);
    }
}
