package martenslip.eventloop;

import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * The clock of one thread and all its timers: a wheel of slots, each {@link #TICK} wide. Scheduling and cancelling take
 * constant time whatever the number of timers; a timer expires up to one tick late and never early. A timer with a
 * delay longer than one revolution of the wheel stays in its slot until its due tick. One thread owns the wheel.
 *
 * <p>Invariant: a scheduled timer is in the slot of its due tick, and {@code nextTick} is the first tick whose slot has
 * not been processed. A timer that is due in the past goes to the slot of {@code nextTick}, as a processed slot is not
 * visited again for a whole revolution.
 */
public final class TimerWheel {
    /**
     * Resolution. The shortest timer of RFC 3261 is 500 ms, but simulated processors of stand-ins work in milliseconds.
     */
    public static final Span TICK = Span.ofMillis(1);
    /** How late a coarse timer may expire; RFC 3261 gives only a minimum for the time that a transaction lingers. */
    public static final Span COARSE_TICK = Span.ofMillis(128);

    private static final int SLOT_COUNT = 4096;
    private static final int MAX_LOOKAHEAD_TICKS = 50;

    /** One timer; it is in at most one slot. */
    public static final class Timer {
        private final Runnable action;
        private Timer previous;
        private Timer next;
        private long dueTick;

        private Timer(Runnable action) {
            this.action = action;
        }

        /** True until the timer expires or is cancelled. */
        public boolean isScheduled() {
            return previous != null;
        }

        /** Cancels the timer; does nothing if it has expired. */
        public void cancel() {
            if (previous != null) {
                previous.next = next;
                next.previous = previous;
                previous = null;
                next = null;
            }
        }

        private void link(Timer head) {
            previous = head.previous;
            next = head;
            head.previous.next = this;
            head.previous = this;
        }
    }

    private final Timer[] slots = new Timer[SLOT_COUNT];
    private long nextTick;
    private Moment now;

    /** Creates an empty wheel that starts at this time. */
    public TimerWheel(Moment now) {
        for (int i = 0; i < SLOT_COUNT; i++) {
            slots[i] = new Timer(null);
            slots[i].previous = slots[i];
            slots[i].next = slots[i];
        }
        this.now = now;
        nextTick = now.ns() / TICK.ns();
    }

    /** The time of the current turn; it changes only with {@link #advanceTo}. */
    public Moment now() {
        return now;
    }

    /** Runs {@code action} at {@code dueAt} or up to one tick later. */
    public Timer scheduleAt(Moment dueAt, Runnable action) {
        Timer timer = new Timer(action);
        timer.dueTick = Math.max(nextTick, Math.floorDiv(dueAt.ns() + TICK.ns() - 1, TICK.ns()));
        timer.link(slots[(int) (timer.dueTick % SLOT_COUNT)]);
        return timer;
    }

    /** Runs {@code action} after this delay from {@link #now()} or up to one tick later. */
    public Timer scheduleAfter(Span delay, Runnable action) {
        return scheduleAt(now.plus(delay), action);
    }

    /**
     * Runs {@code action} up to {@link #COARSE_TICK} later than asked, together with other coarse timers. Meant for the
     * ends of lingering states, of which there are thousands: each would otherwise wake an idle thread on its own.
     */
    public Timer scheduleCoarse(Span delay, Runnable action) {
        long coarseTickNanos = COARSE_TICK.ns();
        return scheduleAt(
                new Moment(
                        Math.floorDiv(now.plus(delay).ns() + coarseTickNanos - 1, coarseTickNanos) * coarseTickNanos),
                action);
    }

    /** Starts a turn: sets the time to {@code moment} and runs all due timers in the order of their ticks. */
    public void advanceTo(Moment moment) {
        now = moment;
        long lastTick = now.ns() / TICK.ns();
        // After a pause of more than one revolution each slot needs only one visit.
        long firstTick = Math.max(nextTick, lastTick - SLOT_COUNT + 1);
        for (long tick = firstTick; tick <= lastTick; tick++) {
            // Timers scheduled while this slot expires go to a later one; otherwise a timer that reschedules itself
            // would expire endlessly.
            nextTick = tick + 1;
            boolean expired = false;
            try {
                expireSlot(slots[(int) (tick % SLOT_COUNT)], lastTick);
                expired = true;
            } finally {
                // After an exception the rest of the slot is left to the next turn.
                nextTick = expired ? nextTick : tick;
            }
        }
        nextTick = Math.max(nextTick, lastTick + 1);
    }

    /** A time in which no timer is due, at most {@link #MAX_LOOKAHEAD_TICKS} ticks. */
    public Span timeUntilNextTimer() {
        int emptyTicks = 0;
        while (emptyTicks < MAX_LOOKAHEAD_TICKS) {
            Timer head = slots[(int) ((nextTick + emptyTicks) % SLOT_COUNT)];
            if (head.next != head) {
                break;
            }
            emptyTicks++;
        }
        return new Span((nextTick + emptyTicks) * TICK.ns())
                .minus(new Span(now.ns()))
                .atLeast(Span.ZERO);
    }

    private void expireSlot(Timer head, long lastTick) {
        Timer timer = head.next;
        while (timer != head) {
            Timer following = timer.next;
            if (timer.dueTick <= lastTick) {
                timer.cancel();
                timer.action.run();
                // The action may have cancelled the following timer, so the slot is read from its start again.
                following = head.next;
            }
            timer = following;
        }
    }
}
