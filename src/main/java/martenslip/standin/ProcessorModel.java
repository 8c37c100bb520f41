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
        ROUTE(0.25),
        SET_UP(1),
        ANSWER(0.3),
        RELEASE(0.3),
        REJECT(0.1),
        MINOR_MESSAGE(0.02);

        private final double setUpShare;

        WorkType(double setUpShare) {
            this.setUpShare = setUpShare;
        }

        /** New work, which a full processor turns away; the rest belongs to what was taken before. */
        boolean isNewWork() {
            return this == ROUTE || this == SET_UP;
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
    static double capacity(Settings settings) {
        return 1e9 / settings.setUpTime().ns() / TERMINATING_COST_SETUPS;
    }

    /** Work of a contact that ends here, and of one that is handed on to the controller, in set-ups. */
    public static final double TERMINATING_COST_SETUPS = WorkType.SET_UP.setUpShare + WorkType.RELEASE.setUpShare;

    public static final double FORWARDING_COST_SETUPS =
            WorkType.ROUTE.setUpShare + WorkType.ANSWER.setUpShare + WorkType.RELEASE.setUpShare;

    private final Settings settings;
    private final Moment startedAt;
    private final boolean coldStart;
    private final Deque<Moment> recentSetUps = new ArrayDeque<>();
    private final Deque<Moment> pendingCompletions = new ArrayDeque<>();
    private Moment busyUntil;
    private double slowdown = 1;
    private boolean overloaded;

    public ProcessorModel(Settings settings, Moment now, boolean coldStart) {
        this.settings = settings;
        startedAt = now;
        busyUntil = now;
        this.coldStart = coldStart;
    }

    /** Its present capacity as a part of a warm one's. */
    public double capacityShare(Moment now) {
        double warmShare = coldStart ? now.since(startedAt).ratioTo(settings.warmUpTime()) : 1;
        return (settings.coldStartCapacity() + (1 - settings.coldStartCapacity()) * Math.min(1, warmShare)) / slowdown;
    }

    public boolean isCold(Moment now) {
        return coldStart && settings.warmUpTime().longerThan(now.since(startedAt));
    }

    /** From now on work takes this many times as long. */
    public void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** True once it was pushed over while cold; nothing is done any more. */
    public boolean overloaded() {
        return overloaded;
    }

    public Span waitTime(Moment now) {
        return busyUntil.since(now).atLeast(Span.ZERO);
    }

    public int queueDepth(Moment now) {
        while (!pendingCompletions.isEmpty() && !now.before(pendingCompletions.peek())) {
            pendingCompletions.poll();
        }
        return pendingCompletions.size();
    }

    /** A set-up was sent here by a controller; too many while it is cold push it over. */
    public void setUpReceived(Moment now) {
        recentSetUps.add(now);
        while (now.since(recentSetUps.peek()).longerThan(settings.fallWindow())) {
            recentSetUps.poll();
        }
        double maxSetUps = settings.fallMultiple()
                * capacity(settings)
                * capacityShare(now)
                * settings.fallWindow().ns()
                / 1e9;
        // A few more than the budget are chance, not a push.
        overloaded |= isCold(now) && recentSetUps.size() > maxSetUps + 3;
    }

    /** When the work will be done; null where it is turned away, which costs work too. */
    public Moment enqueue(Moment now, WorkType type) {
        if (type.isNewWork()) {
            if (waitTime(now).longerThan(settings.maxWait())) {
                append(now, WorkType.REJECT);
                return null;
            }
        }
        return overloaded ? now.plus(Span.ofMillis(3.6e6)) : append(now, type);
    }

    private Moment append(Moment now, WorkType type) {
        Moment startsAt = busyUntil.before(now) ? now : busyUntil;
        busyUntil = startsAt.plus(settings.setUpTime().times(type.setUpShare / capacityShare(now)));
        pendingCompletions.add(busyUntil);
        return busyUntil;
    }
}
