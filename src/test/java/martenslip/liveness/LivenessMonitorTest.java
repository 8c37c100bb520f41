package martenslip.liveness;

import static martenslip.liveness.LivenessMonitor.Action.DECLARE_DEAD;
import static martenslip.liveness.LivenessMonitor.Action.NONE;
import static martenslip.liveness.LivenessMonitor.Action.PROBE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

public class LivenessMonitorTest {
    private final LivenessMonitor pulse = new LivenessMonitor(at(0));

    private static Moment at(double seconds) {
        return new Moment(Span.ofMillis(seconds * 1000).ns());
    }

    /** Whether it is called over within the time that the platform gives, looked at each half second. */
    private static double overAt(LivenessMonitor pulse, boolean answers, double until) {
        for (double now = 0.5; now <= until; now += 0.5) {
            LivenessMonitor.Action sign = pulse.check(at(now));
            if (sign == PROBE && answers) {
                pulse.signalReceived(at(now));
            } else if (sign == PROBE) {
                pulse.connectFailed(at(now + 0.4));
            } else if (sign == DECLARE_DEAD) {
                return now;
            }
        }
        return -1;
    }

    @Test
    public void oneThatDisappearedIsOverBeforeItsCallersAreOwed() {
        double over = overAt(new LivenessMonitor(at(0)), false, 20);
        assertTrue(over > 6 && over < 7.3, "over at " + over);
    }

    @Test
    public void oneThatIsSilentAndAnswersWhenAskedIsWell() {
        assertEquals(overAt(new LivenessMonitor(at(0)), true, 60), -1.0);
    }

    @Test
    public void silenceAloneProvesNothing() {
        LivenessMonitor one = new LivenessMonitor(at(0));
        assertEquals(one.check(at(30)), PROBE);
        assertEquals(one.check(at(30.5)), NONE);
        one.connectFailed(at(30.6));
        assertEquals(one.check(at(30.7)), DECLARE_DEAD);
        assertEquals(one.check(at(40)), NONE);
    }

    @Test
    public void aConnectionThatFailedBeforeItWasAskedForCountsNothing() {
        LivenessMonitor one = new LivenessMonitor(at(0));
        one.connectFailed(at(1));
        assertEquals(one.check(at(3)), PROBE);
        assertEquals(one.check(at(7)), PROBE);
    }

    @Test
    public void oneThatLeftTheListIsOverOnceItIsQuiet() {
        pulse.setListed(false);
        assertEquals(pulse.check(at(2.9)), NONE);
        assertEquals(pulse.check(at(3)), DECLARE_DEAD);
    }
}
