package martenslip.platform.contact;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;

/**
 * The timers of the routing module by their token. Without an end on the module's word, the timers of contacts that were
 * answered at once would stay until the contacts' deadlines, thousands a second in a flood.
 */
final class ModuleTimers {
    private final TimerWheel wheel;
    private final LongConsumer onExpired;
    private final Map<Long, List<TimerWheel.Timer>> timersByToken = new HashMap<>();

    /** {@code onExpired} is called with the token of each timer that expires. */
    ModuleTimers(TimerWheel wheel, LongConsumer onExpired) {
        this.wheel = wheel;
        this.onExpired = onExpired;
    }

    void start(Span delay, long token) {
        TimerWheel.Timer timer = wheel.scheduleAfter(delay, () -> expired(token));
        timersByToken.computeIfAbsent(token, key -> new ArrayList<>(2)).add(timer);
    }

    private void expired(long token) {
        timersByToken.computeIfPresent(token, (key, timers) -> {
            timers.removeIf(timer -> !timer.isScheduled());
            return timers.isEmpty() ? null : timers;
        });
        onExpired.accept(token);
    }

    /** Cancels all timers of a token. */
    void cancel(long token) {
        List<TimerWheel.Timer> timers = timersByToken.remove(token);
        if (timers != null) {
            timers.forEach(TimerWheel.Timer::cancel);
        }
    }

    /** The number of tokens with a timer. */
    int tokenCount() {
        return timersByToken.size();
    }
}
