package martenslip.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * A switch's processor as a model: one line, work in the order of its arrival, set-ups and looks turned away once
 * the wait is too long. Time is handed in, so sockets and simulated time can both drive it.
 */
public final class ProcessorModel {
    /** What a message costs, in parts of a set-up; the front end's own replies and ACKs are next to nothing. */
    public enum WorkType {
        LOOK(0.25),
        SET_UP(1),
        ANSWER(0.3),
        RELEASE(0.3),
        REJECT(0.1),
        NOTE(0.02);

        private final double part;

        WorkType(double part) {
            this.part = part;
        }

        /** New work, which a full processor turns away; the rest belongs to what was taken before. */
        boolean fresh() {
            return this == LOOK || this == SET_UP;
        }
    }

    /** {@code unit} is a warm set-up's work; a cold start at {@code coldFrom} is warm after {@code warm}. */
    public record Settings(
            Span setUpTime,
            Span maxWait,
            double coldStartCapacity,
            Span warmUpTime,
            double fallMultiple,
            Span fallWindow) {}

    /** Set-ups a second of a warm processor that does nothing else, with their releases. */
    static double capacity(Settings make) {
        return 1e9 / make.setUpTime().ns() / TERMINATING_COST_SETUPS;
    }

    /** Work of a contact that ends here, and of one that is handed on to the controller, in set-ups. */
    public static final double TERMINATING_COST_SETUPS = WorkType.SET_UP.part + WorkType.RELEASE.part;

    public static final double FORWARDING_COST_SETUPS =
            WorkType.LOOK.part + WorkType.ANSWER.part + WorkType.RELEASE.part;

    private final Settings make;
    private final Moment started;
    private final boolean coldStart;
    private final Deque<Moment> recent = new ArrayDeque<>();
    private final Deque<Moment> pending = new ArrayDeque<>();
    private Moment busyUntil;
    private double slowness = 1;
    private boolean overloaded;

    public ProcessorModel(Settings make, Moment now, boolean coldStart) {
        this.make = make;
        started = now;
        busyUntil = now;
        this.coldStart = coldStart;
    }

    /** Its present capacity as a part of a warm one's. */
    public double part(Moment now) {
        double warm = coldStart ? now.since(started).ratioTo(make.warmUpTime()) : 1;
        return (make.coldStartCapacity() + (1 - make.coldStartCapacity()) * Math.min(1, warm)) / slowness;
    }

    public boolean cold(Moment now) {
        return coldStart && make.warmUpTime().longerThan(now.since(started));
    }

    /** From now on work takes this many times as long. */
    public void slow(double times) {
        slowness = times;
    }

    /** True once it was pushed over while cold; nothing is done any more. */
    public boolean overloaded() {
        return overloaded;
    }

    public Span wait(Moment now) {
        return busyUntil.since(now).atLeast(Span.ZERO);
    }

    public int depth(Moment now) {
        while (!pending.isEmpty() && !now.before(pending.peek())) {
            pending.poll();
        }
        return pending.size();
    }

    /** A set-up was sent here by a controller; too many while it is cold push it over. */
    public void sent(Moment now) {
        recent.add(now);
        while (now.since(recent.peek()).longerThan(make.fallWindow())) {
            recent.poll();
        }
        double most = make.fallMultiple()
                * capacity(make)
                * part(now)
                * make.fallWindow().ns()
                / 1e9;
        // A few more than the budget are chance, not a push.
        overloaded |= cold(now) && recent.size() > most + 3;
    }

    /** When the work will be done; null where it is turned away, which costs work too. */
    public Moment take(Moment now, WorkType work) {
        if (work.fresh()) {
            if (wait(now).longerThan(make.maxWait())) {
                add(now, WorkType.REJECT);
                return null;
            }
        }
        return overloaded ? now.plus(Span.ofMillis(3.6e6)) : add(now, work);
    }

    private Moment add(Moment now, WorkType work) {
        Moment begins = busyUntil.before(now) ? now : busyUntil;
        busyUntil = begins.plus(make.setUpTime().times(work.part / part(now)));
        pending.add(busyUntil);
        return busyUntil;
    }
}
