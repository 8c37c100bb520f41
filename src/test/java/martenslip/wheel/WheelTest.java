package martenslip.wheel;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

public class WheelTest {
    private static Moment at(double ms) {
        return new Moment(Span.ofMillis(ms).ns());
    }

    /** Against a plain list of due moments, with turns of all lengths, some longer than the wheel. */
    @Test
    public void ringsEachOnceInTimeAndNeverEarly() {
        SplittableRandom chance = new SplittableRandom(3);
        Wheel wheel = new Wheel(at(0));
        List<Moment> due = new ArrayList<>();
        int[] rung = {0};
        double now = 0;
        for (int turn = 0; turn < 2000; turn++) {
            double ms = chance.nextDouble() * (turn % 50 == 0 ? 20_000 : 40);
            Moment when = at(now + ms);
            due.add(when);
            wheel.at(when, () -> {
                rung[0]++;
                assertFalse(wheel.now().before(when), "early");
                assertTrue(due.remove(when), "twice");
            });
            now += chance.nextDouble() * (turn % 300 == 299 ? 9_000 : 12);
            wheel.turn(at(now));
            Moment late = at(now - Wheel.TICK.ns() / 1e6);
            assertTrue(due.stream().noneMatch(one -> one.before(late)), "left behind at " + now);
        }
        wheel.turn(at(now + 30_000));
        assertEquals(rung[0], 2000);
    }

    @Test
    public void whatIsTakenBackDoesNotRing() {
        Wheel wheel = new Wheel(at(0));
        List<String> rung = new ArrayList<>();
        Wheel.Timer[] others = new Wheel.Timer[2];
        wheel.at(at(5), () -> {
            rung.add("first");
            others[0].cancel();
        });
        others[0] = wheel.at(at(5), () -> rung.add("taken back by the first"));
        others[1] = wheel.at(at(5), () -> rung.add("second"));
        Wheel.Timer other = wheel.at(at(6), () -> rung.add("taken back"));
        other.cancel();
        other.cancel();
        wheel.turn(at(20));
        assertEquals(rung, List.of("first", "second"));
        assertFalse(others[1].set());
    }

    @Test
    public void oneThatSetsAnotherForNowIsNotStarved() {
        Wheel wheel = new Wheel(at(0));
        int[] rung = {0};
        Runnable[] again = new Runnable[1];
        again[0] = () -> {
            rung[0]++;
            wheel.after(Span.ZERO, again[0]);
        };
        wheel.after(Span.ZERO, again[0]);
        for (int turn = 1; turn <= 10; turn++) {
            wheel.turn(at(turn * 2));
        }
        assertTrue(rung[0] >= 10 && rung[0] <= 25, "rung " + rung[0]);
    }

    @Test
    public void aFaultInOneLosesNoOther() {
        Wheel wheel = new Wheel(at(0));
        List<String> rung = new ArrayList<>();
        wheel.at(at(5), () -> {
            throw new IllegalStateException("planted");
        });
        wheel.at(at(5), () -> rung.add("same tick"));
        wheel.at(at(7), () -> rung.add("later tick"));
        try {
            wheel.turn(at(10));
        } catch (IllegalStateException e) {
            rung.add("told");
        }
        wheel.turn(at(10));
        assertEquals(rung, List.of("told", "same tick", "later tick"));
    }

    @Test
    public void quietIsNeverLongerThanTheNextTimer() {
        Wheel wheel = new Wheel(at(0));
        wheel.at(at(30), () -> {});
        assertTrue(wheel.quiet().compareTo(Span.ofMillis(31)) <= 0);
        assertTrue(wheel.quiet().longerThan(Span.ofMillis(10)));
    }
}
