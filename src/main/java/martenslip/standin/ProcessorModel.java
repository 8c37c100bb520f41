package martenslip.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * Model of a switch's processor: one first-in, first-out queue that rejects new contacts once the wait is too long.
 * Time is a parameter, so that real and simulated time can both drive it.
 */
public final class ProcessorModel {
    /**
     * Kinds of work with their cost in set-ups: the processor time of the work over that of one {@link #SET_UP}. The
     * front end's own responses and ACKs cost almost nothing.
     */
    public enum WorkType {
        /** Forwarding a contact to the exchange's controller. */
        ROUTE(0.25),

        /** Setting up a contact that terminates here. */
        SET_UP(1),

        /** Forwarding a final response to an INVITE that is not a refusal. */
        ANSWER(0.3),

        /** Ending an established contact. */
        RELEASE(0.3),

        /** Refusing or cancelling a contact. */
        REJECT(0.1),

        /** Any other message. */
        MINOR_MESSAGE(0.02);

        private final double setUpShare;

        WorkType(double setUpShare) {
            this.setUpShare = setUpShare;
        }

        /** True for new contacts, which a full processor rejects; other work belongs to contacts accepted before. */
        boolean isNewWork() {
            return this == ROUTE || this == SET_UP;
        }
    }

    /**
     * Settings of a processor.
     *
     * @param setUpTime processor time of one set-up when warm
     * @param maxWait queue wait above which new contacts are rejected
     * @param coldStartCapacity share of the warm capacity at a cold start; it rises linearly over {@code warmUpTime}
     * @param overloadMultiple multiple of its present capacity at which a cold switch is overloaded
     * @param overloadWindow window over which set-ups are counted for that
     */
    public record Settings(
            Span setUpTime,
            Span maxWait,
            double coldStartCapacity,
            Span warmUpTime,
            double overloadMultiple,
            Span overloadWindow) {}

    /** Set-ups a second, with their releases, of a warm processor that does nothing else. */
    static double capacity(Settings settings) {
        return 1e9 / settings.setUpTime().ns() / TERMINATING_COST_SETUPS;
    }

    /** Work of a contact that terminates here, in set-ups. */
    public static final double TERMINATING_COST_SETUPS = WorkType.SET_UP.setUpShare + WorkType.RELEASE.setUpShare;

    /** Work of a contact that is forwarded to the controller, in set-ups. */
    public static final double FORWARDING_COST_SETUPS =
            WorkType.ROUTE.setUpShare + WorkType.ANSWER.setUpShare + WorkType.RELEASE.setUpShare;

    /** Set-ups above the limit that count as chance, not as overload by the controllers. */
    private static final int SET_UP_TOLERANCE = 3;

    /** Longer than any run: work at an overloaded processor never completes. */
    private static final Span OVERLOADED_COMPLETION_DELAY = Span.ofMillis(3.6e6);

    private final Settings settings;
    private final Moment startedAt;
    private final boolean coldStart;
    private final Deque<Moment> recentSetUps = new ArrayDeque<>();
    private final Deque<Moment> pendingCompletions = new ArrayDeque<>();
    private Moment busyUntil;
    private double slowdown = 1;
    private boolean overloaded;

    /** Creates a processor that starts now. */
    public ProcessorModel(Settings settings, Moment now, boolean coldStart) {
        this.settings = settings;
        startedAt = now;
        busyUntil = now;
        this.coldStart = coldStart;
    }

    /** The present capacity as a share of the warm capacity. */
    public double capacityShare(Moment now) {
        double warmShare = coldStart ? now.since(startedAt).ratioTo(settings.warmUpTime()) : 1;
        return (settings.coldStartCapacity() + (1 - settings.coldStartCapacity()) * Math.min(1, warmShare)) / slowdown;
    }

    /** True while it warms up after a cold start. */
    public boolean isCold(Moment now) {
        return coldStart && settings.warmUpTime().longerThan(now.since(startedAt));
    }

    /** Multiplies the time of later work by this factor. */
    public void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** True once it was overloaded while cold; from then on no work completes. */
    public boolean overloaded() {
        return overloaded;
    }

    /** How long work added now waits until it starts. */
    public Span waitTime(Moment now) {
        return busyUntil.since(now).atLeast(Span.ZERO);
    }

    /** Work items that are not completed yet. */
    public int queueDepth(Moment now) {
        while (!pendingCompletions.isEmpty() && !now.before(pendingCompletions.peek())) {
            pendingCompletions.poll();
        }
        return pendingCompletions.size();
    }

    /** Counts a set-up that a controller sent here; too many while cold overload the processor. */
    public void setUpReceived(Moment now) {
        recentSetUps.add(now);
        while (now.since(recentSetUps.peek()).longerThan(settings.overloadWindow())) {
            recentSetUps.poll();
        }
        double maxSetUps = settings.overloadMultiple()
                * capacity(settings)
                * capacityShare(now)
                * settings.overloadWindow().ns()
                / 1e9;
        overloaded |= isCold(now) && recentSetUps.size() > maxSetUps + SET_UP_TOLERANCE;
    }

    /** Queues work and returns when it completes; null where it was rejected, which costs some work too. */
    public Moment enqueue(Moment now, WorkType type) {
        if (type.isNewWork()) {
            if (waitTime(now).longerThan(settings.maxWait())) {
                append(now, WorkType.REJECT);
                return null;
            }
        }
        return overloaded ? now.plus(OVERLOADED_COMPLETION_DELAY) : append(now, type);
    }

    private Moment append(Moment now, WorkType type) {
        Moment startsAt = busyUntil.before(now) ? now : busyUntil;
        busyUntil = startsAt.plus(settings.setUpTime().times(type.setUpShare / capacityShare(now)));
        pendingCompletions.add(busyUntil);
        return busyUntil;
    }
}
