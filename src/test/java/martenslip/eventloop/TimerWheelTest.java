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

/** Timers expire once, in time and in order, also after cancellations, exceptions and long pauses. */
public class TimerWheelTest {
    private static Moment atMillis(double ms) {
        return new Moment(Span.ofMillis(ms).ns());
    }

    /**
     * Compares the wheel with a plain list of due times over turns of many lengths, some longer than a revolution of
     * the wheel.
     */
    @Test
    public void eachTimerExpiresOnceInTimeAndNeverEarly() {
        SplittableRandom random = new SplittableRandom(3);
        TimerWheel wheel = new TimerWheel(atMillis(0));
        List<Moment> pendingDueTimes = new ArrayList<>();
        int[] expiredCount = {0};
        double nowMs = 0;
        for (int turn = 0; turn < 2000; turn++) {
            double delayMs = random.nextDouble() * (turn % 50 == 0 ? 20_000 : 40);
            Moment dueAt = atMillis(nowMs + delayMs);
            pendingDueTimes.add(dueAt);
            wheel.scheduleAt(dueAt, () -> {
                expiredCount[0]++;
                assertFalse(wheel.now().before(dueAt), "expired early");
                assertTrue(pendingDueTimes.remove(dueAt), "expired twice");
            });
            nowMs += random.nextDouble() * (turn % 300 == 299 ? 9_000 : 12);
            wheel.advanceTo(atMillis(nowMs));
            Moment latestAllowed = atMillis(nowMs - TimerWheel.TICK.ns() / 1e6);
            assertTrue(
                    pendingDueTimes.stream().noneMatch(dueTime -> dueTime.before(latestAllowed)),
                    "not expired at " + nowMs);
        }
        wheel.advanceTo(atMillis(nowMs + 30_000));
        assertEquals(expiredCount[0], 2000);
    }

    @Test
    public void cancelledTimersDoNotExpire() {
        TimerWheel wheel = new TimerWheel(atMillis(0));
        List<String> expired = new ArrayList<>();
        TimerWheel.Timer[] timers = new TimerWheel.Timer[2];
        wheel.scheduleAt(atMillis(5), () -> {
            expired.add("first");
            timers[0].cancel();
        });
        timers[0] = wheel.scheduleAt(atMillis(5), () -> expired.add("cancelled by the first"));
        timers[1] = wheel.scheduleAt(atMillis(5), () -> expired.add("second"));
        TimerWheel.Timer cancelledTimer = wheel.scheduleAt(atMillis(6), () -> expired.add("cancelled"));
        cancelledTimer.cancel();
        cancelledTimer.cancel();
        wheel.advanceTo(atMillis(20));
        assertEquals(expired, List.of("first", "second"));
        assertFalse(timers[1].isScheduled());
    }

    @Test
    public void selfReschedulingTimerIsNeitherStarvedNorEndless() {
        TimerWheel wheel = new TimerWheel(atMillis(0));
        int[] expiredCount = {0};
        Runnable[] reschedule = new Runnable[1];
        reschedule[0] = () -> {
            expiredCount[0]++;
            wheel.scheduleAfter(Span.ZERO, reschedule[0]);
        };
        wheel.scheduleAfter(Span.ZERO, reschedule[0]);
        for (int turn = 1; turn <= 10; turn++) {
            wheel.advanceTo(atMillis(turn * 2));
        }
        assertTrue(expiredCount[0] >= 10 && expiredCount[0] <= 25, "expired " + expiredCount[0]);
    }

    @Test
    public void exceptionInOneTimerLosesNoOther() {
        TimerWheel wheel = new TimerWheel(atMillis(0));
        List<String> expired = new ArrayList<>();
        wheel.scheduleAt(atMillis(5), () -> {
            throw new IllegalStateException("injected");
        });
        wheel.scheduleAt(atMillis(5), () -> expired.add("same tick"));
        wheel.scheduleAt(atMillis(7), () -> expired.add("later tick"));
        try {
            wheel.advanceTo(atMillis(10));
        } catch (IllegalStateException e) {
            expired.add("thrown");
        }
        wheel.advanceTo(atMillis(10));
        assertEquals(expired, List.of("thrown", "same tick", "later tick"));
    }

    @Test
    public void timeUntilNextTimerNeverExceedsTheNextTimer() {
        TimerWheel wheel = new TimerWheel(atMillis(0));
        wheel.scheduleAt(atMillis(30), () -> {});
        assertTrue(wheel.timeUntilNextTimer().compareTo(Span.ofMillis(31)) <= 0);
        assertTrue(wheel.timeUntilNextTimer().longerThan(Span.ofMillis(10)));
    }
}
