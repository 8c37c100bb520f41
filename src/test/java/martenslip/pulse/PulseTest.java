package martenslip.pulse;

import static martenslip.pulse.Pulse.Sign.ASK;
import static martenslip.pulse.Pulse.Sign.OVER;
import static martenslip.pulse.Pulse.Sign.WELL;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

public class PulseTest {
    private final Pulse pulse = new Pulse(at(0));

    private static Moment at(double seconds) {
        return new Moment(Span.ofMillis(seconds * 1000).ns());
    }

    /** Whether it is called over within the time that the platform gives, looked at each half second. */
    private static double overAt(Pulse pulse, boolean answers, double until) {
        for (double now = 0.5; now <= until; now += 0.5) {
            Pulse.Sign sign = pulse.look(at(now));
            if (sign == ASK && answers) {
                pulse.heard(at(now));
            } else if (sign == ASK) {
                pulse.neverUp(at(now + 0.4));
            } else if (sign == OVER) {
                return now;
            }
        }
        return -1;
    }

    @Test
    public void oneThatDisappearedIsOverBeforeItsCallersAreOwed() {
        double over = overAt(new Pulse(at(0)), false, 20);
        assertTrue(over > 6 && over < 7.3, "over at " + over);
    }

    @Test
    public void oneThatIsSilentAndAnswersWhenAskedIsWell() {
        assertEquals(overAt(new Pulse(at(0)), true, 60), -1.0);
    }

    @Test
    public void silenceAloneProvesNothing() {
        Pulse one = new Pulse(at(0));
        assertEquals(one.look(at(30)), ASK);
        assertEquals(one.look(at(30.5)), WELL);
        one.neverUp(at(30.6));
        assertEquals(one.look(at(30.7)), OVER);
        assertEquals(one.look(at(40)), WELL);
    }

    @Test
    public void aConnectionThatFailedBeforeItWasAskedForCountsNothing() {
        Pulse one = new Pulse(at(0));
        one.neverUp(at(1));
        assertEquals(one.look(at(3)), ASK);
        assertEquals(one.look(at(7)), ASK);
    }

    @Test
    public void oneThatLeftTheListIsOverOnceItIsQuiet() {
        pulse.listed(false);
        assertEquals(pulse.look(at(2.9)), WELL);
        assertEquals(pulse.look(at(3)), OVER);
    }
}
