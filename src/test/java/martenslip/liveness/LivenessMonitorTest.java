package martenslip.liveness;

import static martenslip.liveness.LivenessMonitor.Action.DECLARE_DEAD;
import static martenslip.liveness.LivenessMonitor.Action.NONE;
import static martenslip.liveness.LivenessMonitor.Action.PROBE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

/** When a silent switch is probed and when it is declared dead. */
public class LivenessMonitorTest {
    private final LivenessMonitor monitor = new LivenessMonitor(at(0));

    private static Moment at(double seconds) {
        return new Moment(Span.ofMillis(seconds * 1000).ns());
    }

    /** Checks every half second; returns the second at which the switch is declared dead, or -1. */
    private static double declaredDeadAt(LivenessMonitor checked, boolean answersProbes, double end) {
        for (double now = 0.5; now <= end; now += 0.5) {
            LivenessMonitor.Action action = checked.check(at(now));
            if (action == PROBE && answersProbes) {
                checked.signalReceived(at(now));
            } else if (action == PROBE) {
                checked.connectFailed(at(now + 0.4));
            } else if (action == DECLARE_DEAD) {
                return now;
            }
        }
        return -1;
    }

    @Test
    public void vanishedSwitchIsDeclaredDeadInTime() {
        LivenessMonitor heardOnce = new LivenessMonitor(at(0));
        heardOnce.signalReceived(at(0));
        double deadAt = declaredDeadAt(heardOnce, false, 20);
        assertTrue(deadAt > 6 && deadAt < 7.3, "declared dead at " + deadAt);
    }

    /** It may have vanished seconds before this process started, and its contacts' callers are told within 8 s. */
    @Test
    public void aSwitchThatWasNeverHeardOfIsDeclaredDeadEarlier() {
        double deadAt = declaredDeadAt(new LivenessMonitor(at(0)), false, 20);
        assertTrue(deadAt > 3.5 && deadAt < 5, "declared dead at " + deadAt);
    }

    /** A caller may name a contact at a switch that was declared dead before. */
    @Test
    public void aDeadSwitchStaysDeadUntilItsNextSignOfLife() {
        LivenessMonitor silent = new LivenessMonitor(at(0));
        assertFalse(silent.isDeclaredDead());
        double deadAt = declaredDeadAt(silent, false, 20);
        assertTrue(silent.isDeclaredDead());
        silent.check(at(deadAt + 10));
        assertTrue(silent.isDeclaredDead());
        silent.signalReceived(at(deadAt + 11));
        assertFalse(silent.isDeclaredDead());
    }

    @Test
    public void silentSwitchThatAnswersProbesIsAlive() {
        assertEquals(declaredDeadAt(new LivenessMonitor(at(0)), true, 60), -1.0);
    }

    @Test
    public void silenceWithoutFailedProbeIsNotDead() {
        LivenessMonitor fresh = new LivenessMonitor(at(0));
        assertEquals(fresh.check(at(30)), PROBE);
        assertEquals(fresh.check(at(30.5)), NONE);
        fresh.connectFailed(at(30.6));
        assertEquals(fresh.check(at(30.7)), DECLARE_DEAD);
        assertEquals(fresh.check(at(40)), NONE);
    }

    @Test
    public void failureBeforeTheProbeIsIgnored() {
        LivenessMonitor fresh = new LivenessMonitor(at(0));
        fresh.connectFailed(at(1));
        assertEquals(fresh.check(at(3)), PROBE);
        assertEquals(fresh.check(at(7)), PROBE);
    }

    @Test
    public void unlistedSwitchIsDeadOnceSilent() {
        monitor.setListed(false);
        assertEquals(monitor.check(at(2.9)), NONE);
        assertEquals(monitor.check(at(3)), DECLARE_DEAD);
    }
}
