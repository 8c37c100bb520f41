package martenslip.eventloop;

import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * The time of one thread and all its timers: a wheel of slots, each {@link #TICK} wide. Setting and taking back
 * cost the same whatever the number of timers; a timer rings up to one tick late and never early. A span longer
 * than one turn of the wheel stays in its slot until its turn has come. One thread owns it.
 *
 * <p>Invariant: a timer that is set stands in the slot of its due tick, and {@code next} is the first tick whose
 * slot has not been emptied. A timer due in the past goes to the slot {@code next}, as an emptied slot is not
 * looked at again for a whole turn.
 */
public final class TimerWheel {
    /** Resolution: the shortest timer of RFC 3261 is 500 ms, but processors of stand-ins work in milliseconds. */
    public static final Span TICK = Span.ofMillis(1);
    /** By how much a loose timer may be late; RFC 3261 says of its lingering spans only how long they last at least. */
    public static final Span COARSE_TICK = Span.ofMillis(128);

    private static final int SLOTS = 4096;
    private static final int LOOK = 50;

    /** One timer; it stands in at most one slot. */
    public static final class Timer {
        private final Runnable what;
        private Timer before;
        private Timer after;
        private long tick;

        private Timer(Runnable what) {
            this.what = what;
        }

        /** True from the setting until it rings or is taken back. */
        public boolean isScheduled() {
            return before != null;
        }

        /** Takes it back; nothing happens where it has rung already. */
        public void cancel() {
            if (before != null) {
                before.after = after;
                after.before = before;
                before = null;
                after = null;
            }
        }

        private void link(Timer head) {
            before = head.before;
            after = head;
            head.before.after = this;
            head.before = this;
        }
    }

    private final Timer[] slots = new Timer[SLOTS];
    private long next;
    private Moment now;

    public TimerWheel(Moment now) {
        for (int i = 0; i < SLOTS; i++) {
            slots[i] = new Timer(null);
            slots[i].before = slots[i];
            slots[i].after = slots[i];
        }
        this.now = now;
        next = now.ns() / TICK.ns();
    }

    /** The moment of the turn in progress; it stands still until the next {@link #advanceTo}. */
    public Moment now() {
        return now;
    }

    /** Rings {@code what} at {@code when} or up to a tick later. */
    public Timer scheduleAt(Moment when, Runnable what) {
        Timer timer = new Timer(what);
        timer.tick = Math.max(next, Math.floorDiv(when.ns() + TICK.ns() - 1, TICK.ns()));
        timer.link(slots[(int) (timer.tick % SLOTS)]);
        return timer;
    }

    public Timer scheduleAfter(Span span, Runnable what) {
        return scheduleAt(now.plus(span), what);
    }

    /**
     * Rings up to {@link #COARSE_TICK} later than asked, together with others of its kind: for ends of lingering states, of
     * which thousands stand. Each would else wake an idle thread for itself.
     */
    public Timer scheduleCoarse(Span span, Runnable what) {
        long wide = COARSE_TICK.ns();
        return scheduleAt(new Moment(Math.floorDiv(now.plus(span).ns() + wide - 1, wide) * wide), what);
    }

    /** Begins a turn: time goes on to {@code moment} and all that are due ring, in the order of their ticks. */
    public void advanceTo(Moment moment) {
        now = moment;
        long last = now.ns() / TICK.ns();
        // After a pause of over a turn each slot needs one look only.
        long from = Math.max(next, last - SLOTS + 1);
        for (long tick = from; tick <= last; tick++) {
            // What is set while this slot rings goes to a later one, or a timer that sets itself would ring on.
            next = tick + 1;
            boolean emptied = false;
            try {
                empty(slots[(int) (tick % SLOTS)], last);
                emptied = true;
            } finally {
                // After a fault the rest of the slot is for the next turn.
                next = emptied ? next : tick;
            }
        }
        next = Math.max(next, last + 1);
    }

    /** How long nothing will ring, as far as a short look ahead shows. */
    public Span timeUntilNextTimer() {
        int free = 0;
        while (free < LOOK) {
            Timer head = slots[(int) ((next + free) % SLOTS)];
            if (head.after != head) {
                break;
            }
            free++;
        }
        return new Span((next + free) * TICK.ns()).minus(new Span(now.ns())).atLeast(Span.ZERO);
    }

    private void empty(Timer head, long last) {
        Timer timer = head.after;
        while (timer != head) {
            Timer following = timer.after;
            if (timer.tick <= last) {
                timer.cancel();
                timer.what.run();
                // What rang may have taken the following one back, so the slot is read from its start again.
                following = head.after;
            }
            timer = following;
        }
    }
}
