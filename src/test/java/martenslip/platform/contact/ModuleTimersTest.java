package martenslip.platform.contact;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The module's timers and their ends. */
public class ModuleTimersTest {
    private static final long TOKEN = 8;
    private TimerWheel wheel;
    private List<Long> expired;
    private ModuleTimers timers;

    @BeforeMethod
    public void begin() {
        wheel = new TimerWheel(new Moment(0));
        expired = new ArrayList<>();
        timers = new ModuleTimers(wheel, expired::add);
    }

    private void advanceToMs(long timeMs) {
        wheel.advanceTo(new Moment(Span.ofMillis(timeMs).ns()));
    }

    @Test
    public void eachTimerOfATokenExpires() {
        timers.start(Span.ofMillis(10), TOKEN);
        timers.start(Span.ofMillis(20), TOKEN);
        advanceToMs(15);
        assertEquals(expired, List.of(TOKEN));
        advanceToMs(30);
        assertEquals(expired, List.of(TOKEN, TOKEN));
        assertEquals(timers.tokenCount(), 0);
    }

    /** Guards against timers of answered contacts that fill the heap until the contacts' deadlines (review/6). */
    @Test
    public void cancelledTimersAreNotKept() {
        for (long token = 0; token < 1000; token++) {
            timers.start(Span.ofMillis(10), token);
            timers.start(Span.ofMillis(9000), token);
            timers.cancel(token);
        }
        assertEquals(timers.tokenCount(), 0);
        advanceToMs(10_000);
        assertEquals(expired, List.of());
    }
}
