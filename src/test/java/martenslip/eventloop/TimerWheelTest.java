package martenslip.eventloop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

public class TimerWheelTest {
    private static Moment at(double ms) {
        return new Moment(Span.ofMillis(ms).ns());
    }

    /** Against a plain list of due moments, with turns of all lengths, some longer than the wheel. */
    @Test
    public void ringsEachOnceInTimeAndNeverEarly() {
        SplittableRandom chance = new SplittableRandom(3);
        TimerWheel wheel = new TimerWheel(at(0));
        List<Moment> due = new ArrayList<>();
        int[] rung = {0};
        double now = 0;
        for (int turn = 0; turn < 2000; turn++) {
            double ms = chance.nextDouble() * (turn % 50 == 0 ? 20_000 : 40);
            Moment when = at(now + ms);
            due.add(when);
            wheel.scheduleAt(when, () -> {
                rung[0]++;
                assertFalse(wheel.now().before(when), "early");
                assertTrue(due.remove(when), "twice");
            });
            now += chance.nextDouble() * (turn % 300 == 299 ? 9_000 : 12);
            wheel.advanceTo(at(now));
            Moment late = at(now - TimerWheel.TICK.ns() / 1e6);
            assertTrue(due.stream().noneMatch(one -> one.before(late)), "left behind at " + now);
        }
        wheel.advanceTo(at(now + 30_000));
        assertEquals(rung[0], 2000);
    }

    @Test
    public void whatIsTakenBackDoesNotRing() {
        TimerWheel wheel = new TimerWheel(at(0));
        List<String> rung = new ArrayList<>();
        TimerWheel.Timer[] others = new TimerWheel.Timer[2];
        wheel.scheduleAt(at(5), () -> {
            rung.add("first");
            others[0].cancel();
        });
        others[0] = wheel.scheduleAt(at(5), () -> rung.add("taken back by the first"));
        others[1] = wheel.scheduleAt(at(5), () -> rung.add("second"));
        TimerWheel.Timer other = wheel.scheduleAt(at(6), () -> rung.add("taken back"));
        other.cancel();
        other.cancel();
        wheel.advanceTo(at(20));
        assertEquals(rung, List.of("first", "second"));
        assertFalse(others[1].isScheduled());
    }

    @Test
    public void oneThatSetsAnotherForNowIsNotStarved() {
        TimerWheel wheel = new TimerWheel(at(0));
        int[] rung = {0};
        Runnable[] again = new Runnable[1];
        again[0] = () -> {
            rung[0]++;
            wheel.scheduleAfter(Span.ZERO, again[0]);
        };
        wheel.scheduleAfter(Span.ZERO, again[0]);
        for (int turn = 1; turn <= 10; turn++) {
            wheel.advanceTo(at(turn * 2));
        }
        assertTrue(rung[0] >= 10 && rung[0] <= 25, "rung " + rung[0]);
    }

    @Test
    public void aFaultInOneLosesNoOther() {
        TimerWheel wheel = new TimerWheel(at(0));
        List<String> rung = new ArrayList<>();
        wheel.scheduleAt(at(5), () -> {
            throw new IllegalStateException("planted");
        });
        wheel.scheduleAt(at(5), () -> rung.add("same tick"));
        wheel.scheduleAt(at(7), () -> rung.add("later tick"));
        try {
            wheel.advanceTo(at(10));
        } catch (IllegalStateException e) {
            rung.add("told");
        }
        wheel.advanceTo(at(10));
        assertEquals(rung, List.of("told", "same tick", "later tick"));
    }

    @Test
    public void quietIsNeverLongerThanTheNextTimer() {
        TimerWheel wheel = new TimerWheel(at(0));
        wheel.scheduleAt(at(30), () -> {});
        assertTrue(wheel.timeUntilNextTimer().compareTo(Span.ofMillis(31)) <= 0);
        assertTrue(wheel.timeUntilNextTimer().longerThan(Span.ofMillis(10)));
    }
}
