package martenslip.liveness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.liveness.ConnectionMonitor.Action;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** When a connection that is silent beside others is tested and closed. */
public class ConnectionMonitorTest {
    private ConnectionMonitor monitor;

    @BeforeMethod
    public void createMonitor() {
        monitor = new ConnectionMonitor();
    }

    private static Moment at(double seconds) {
        return new Moment(Span.ofMillis(seconds * 1000).ns());
    }

    /** When a connection last received something, given the time of the check. */
    private interface Signals {
        Moment lastBefore(double seconds);
    }

    private static final Signals STEADY = now -> at(now - 0.1);

    private static Signals silentFrom(double silentFrom) {
        return now -> at(Math.min(now - 0.1, silentFrom));
    }

    /** Checks every half second and returns what was due, each with its time, until the connection is closed. */
    private List<String> actions(Signals own, Signals sibling, double end) {
        List<String> actions = new ArrayList<>();
        for (double now = 0.5; now <= end; now += 0.5) {
            Moment siblingSignal = sibling == null ? null : sibling.lastBefore(now);
            Action action = monitor.check(at(now), own.lastBefore(now), siblingSignal, siblingSignal);
            if (action != Action.NONE) {
                actions.add(action + " " + now);
            }
            if (action == Action.CLOSE) {
                break;
            }
        }
        return actions;
    }

    /** A release sent on the mute connection, and again on the next one opened, is due to its caller after 8 s. */
    @Test
    public void aConnectionThatMissesWhatItsSiblingBringsIsTestedAndClosed() {
        assertEquals(actions(silentFrom(2), STEADY, 20), List.of("TEST 4.0", "CLOSE 5.0"));
    }

    @Test
    public void aConnectionThatLeavesAReplyOutIsTestedAndClosedOnceTheSwitchIsKnownToLive() {
        monitor.replyExpected(at(3));
        Signals firstHeardAtEight = now -> at(now < 8 ? 0 : 8);
        assertEquals(actions(silentFrom(0), firstHeardAtEight, 20), List.of("TEST 4.0", "CLOSE 8.0"));
    }

    /** A machine that is cut off for some seconds keeps its connections. */
    @Test
    public void nothingIsClosedWhileAllConnectionsAreSilent() {
        monitor.replyExpected(at(3));
        assertEquals(actions(silentFrom(2), silentFrom(2.3), 20), List.of("TEST 4.0"));
    }

    @Test
    public void aConnectionWithoutSiblingIsNeverClosed() {
        monitor.replyExpected(at(3));
        assertEquals(actions(silentFrom(2), null, 20), List.of("TEST 4.0"));
    }

    @Test
    public void aSoundConnectionIsNotTested() {
        monitor.replyExpected(at(1));
        assertEquals(actions(STEADY, STEADY, 60), List.of());
    }

    /** What a sibling receives for itself, such as the answer to a set-up, is not missed on this connection. */
    @Test
    public void aConnectionThatMissesNoReportIsNotTested() {
        for (double now = 0.5; now <= 60; now += 0.5) {
            assertEquals(monitor.check(at(now), at(0), at(0.2), at(now - 0.1)), Action.NONE);
        }
    }

    /** On a connection that has nothing to say the answers to the tests are all that arrives. */
    @Test
    public void testsOfAQuietConnectionAreBoundedInNumber() {
        Moment lastSignal = at(0);
        int tests = 0;
        for (double now = 0.5; now <= 60; now += 0.5) {
            Action action = monitor.check(at(now), lastSignal, at(now - 0.1), at(now - 0.1));
            assertTrue(action != Action.CLOSE, "closed at " + now);
            if (action == Action.TEST) {
                tests++;
                lastSignal = at(now + 0.01);
            }
        }
        assertEquals(tests, 15);
    }
}
