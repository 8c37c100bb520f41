package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import martenslip.control.Span;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The order of the shutdown's steps, and that the last one comes before the platform's kill. */
public class ShutdownScheduleTest {
    @DataProvider
    public Object[][] longestDeadlinesMs() {
        return new Object[][] {{100}, {500}, {1000}, {1500}, {3000}, {9000}};
    }

    @Test(dataProvider = "longestDeadlinesMs")
    public void allStepsComeInOrderBeforeTheKill(int deadlineMs) {
        ShutdownSchedule schedule = ShutdownSchedule.forLongestDeadline(Span.ofMillis(deadlineMs));
        assertEquals(schedule.killAfter(), Span.ofMillis(Math.min(deadlineMs, 3000) + 700));
        assertFalse(Span.ofMillis(600).longerThan(schedule.refuseAfter()), "set-ups come for 0.6 s");
        assertFalse(schedule.firstIdleCheckAfter().longerThan(schedule.answerAllAfter()));
        Span end = schedule.answerAllAfter().plus(schedule.closeTimeout(schedule.answerAllAfter()));
        assertTrue(schedule.killAfter().longerThan(end));
    }

    @Test
    public void noTimeIsLeftToCloseAfterTheKill() {
        ShutdownSchedule schedule = ShutdownSchedule.forLongestDeadline(Span.ofMillis(500));
        assertEquals(schedule.closeTimeout(Span.ofMillis(1300)), Span.ZERO);
    }
}
