package martenslip.eventloop;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import martenslip.control.Moment;

/**
 * A thread that owns a wheel and takes what stands in its inbox, in turns: it reads the clock once a turn, rings what
 * is due, takes at most {@link #BATCH} and ends the turn. A loop that has stalled can be fenced: another one, begun
 * with {@link #successor}, then goes on with the same inbox, and the fenced one takes nothing more, should it wake.
 */
public final class EventLoop implements AutoCloseable {
    private static final int BATCH = 256;
    private static final int STACK = 1 << 20;
    /** With thousands of timers one is due in every tick; without arrivals they wait this long for each other. */
    private static final long REST = 2_000_000;

    /** What a loop does; all is called by its thread. */
    public interface Handler {
        void handle(Object next);

        /** The end of a turn. */
        void afterTurn();

        /** Nothing that comes ends the thread: a fault is told and the next one is taken. */
        void onFailure(Throwable fault);
    }

    private final String name;
    private final ArrayBlockingQueue<Object> inbox;
    private final TimerWheel timerWheel;
    private final Thread thread;
    private Handler duty;
    private Runnable first;
    private volatile boolean closing;
    private volatile boolean isFenced;
    private volatile long turnAt;
    private volatile Object inHand;

    public EventLoop(String name, int room) {
        this(name, new ArrayBlockingQueue<>(room));
    }

    private EventLoop(String name, ArrayBlockingQueue<Object> inbox) {
        this.name = name;
        this.inbox = inbox;
        timerWheel = new TimerWheel(new Moment(System.nanoTime()));
        turnAt = System.nanoTime();
        thread = new Thread(null, this::work, name, STACK);
        thread.setDaemon(true);
    }

    public TimerWheel timerWheel() {
        return timerWheel;
    }

    public String name() {
        return name;
    }

    /** Once; {@code before} is the first that its thread does. */
    public void start(Handler what, Runnable before) {
        duty = what;
        first = before;
        turnAt = System.nanoTime();
        thread.start();
    }

    /** False where there is no room. Any thread. */
    public boolean offer(Object one) {
        return inbox.offer(one);
    }

    /** Waits for room in steps; {@code waited} is run for each step that was in vain. False where the loop closes. */
    public boolean put(Object one, Runnable waited) throws InterruptedException {
        while (!closing) {
            if (inbox.offer(one, 100, TimeUnit.MILLISECONDS)) {
                return true;
            }
            waited.run();
        }
        return false;
    }

    /** When its last turn began, on the clock of {@link System#nanoTime}; an idle loop turns at least each 50 ms. */
    public Moment lastTurnAt() {
        return new Moment(turnAt);
    }

    /** Waiting in the inbox now. */
    public int queueSize() {
        return inbox.size();
    }

    /** True once another has taken over; what this one still does must reach nobody. Any thread. */
    public boolean isFenced() {
        return isFenced;
    }

    /** From now on this loop takes nothing more. What it was amid of is returned, or null. Any thread. */
    public Object fence() {
        isFenced = true;
        return inHand;
    }

    /** A loop with the inbox of this one, which must have been fenced. */
    public EventLoop successor(String itsName) {
        return new EventLoop(itsName, inbox);
    }

    private void work() {
        guarded(first);
        guarded(duty::afterTurn);
        while (!closing && !isFenced) {
            try {
                Object next = inbox.poll(
                        Math.max(REST, timerWheel.timeUntilNextTimer().ns()), TimeUnit.NANOSECONDS);
                turn(next);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void turn(Object first) {
        Moment now = new Moment(System.nanoTime());
        turnAt = now.ns();
        Object next = first;
        for (int done = 0; next != null && done < BATCH; done++) {
            inHand = next;
            if (isFenced) {
                // Taken out after the fence, so it is the successor's.
                inbox.offer(next);
                return;
            }
            if (done == 0) {
                guarded(() -> timerWheel.advanceTo(now));
            }
            take(next);
            inHand = null;
            next = done + 1 < BATCH ? inbox.poll() : null;
        }
        if (first == null) {
            guarded(() -> timerWheel.advanceTo(now));
        }
        guarded(duty::afterTurn);
    }

    private void take(Object next) {
        guarded(() -> {
            if (next instanceof Runnable what) {
                what.run();
            } else {
                duty.handle(next);
            }
        });
    }

    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException | StackOverflowError e) {
            duty.onFailure(e);
        }
    }

    @Override
    public void close() {
        closing = true;
        thread.interrupt();
    }
}
