package martenslip.eventloop;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import martenslip.control.Moment;

/**
 * A thread that owns a timer wheel and handles the tasks of its inbox, in turns: a turn reads the clock once, runs the
 * due timers and handles at most {@link #MAX_TASKS_PER_TURN} tasks. A stalled loop can be fenced: another loop, created
 * with {@link #successor}, then continues with the same inbox, and the fenced one handles no further task if it wakes
 * up.
 */
public final class EventLoop implements AutoCloseable {
    private static final int MAX_TASKS_PER_TURN = 256;
    private static final int STACK_BYTES = 1 << 20;
    /**
     * The shortest wait for a task. With thousands of timers one is due in every tick; if no task arrives, timers are
     * batched over this time.
     */
    private static final long MIN_WAIT_NANOS = 2_000_000;

    /** Handles the tasks of a loop; all methods are called by the thread of the loop. */
    public interface Handler {
        /** Handles a task from the inbox that is not a {@link Runnable}. */
        void handle(Object task);

        /** Called at the end of each turn. */
        void afterTurn();

        /** Called with an exception of a task, a timer or {@link #afterTurn}; the loop then goes on. */
        void onFailure(Throwable fault);
    }

    private final String name;
    private final ArrayBlockingQueue<Object> inbox;
    private final TimerWheel timerWheel;
    private final Thread thread;
    private Handler handler;
    private Runnable startAction;
    private volatile boolean closing;
    private volatile boolean fenced;
    private volatile long lastTurnNanos;
    private volatile Object currentTask;

    /** Creates a loop whose inbox has room for {@code capacity} tasks; see {@link #start}. */
    public EventLoop(String name, int capacity) {
        this(name, new ArrayBlockingQueue<>(capacity));
    }

    private EventLoop(String name, ArrayBlockingQueue<Object> inbox) {
        this.name = name;
        this.inbox = inbox;
        timerWheel = new TimerWheel(new Moment(System.nanoTime()));
        lastTurnNanos = System.nanoTime();
        thread = new Thread(null, this::run, name, STACK_BYTES);
        thread.setDaemon(true);
    }

    /** The timers of this loop; only its thread may use them. */
    public TimerWheel timerWheel() {
        return timerWheel;
    }

    /** The name of the thread. */
    public String name() {
        return name;
    }

    /** Starts the thread; may be called once. {@code startupAction} is run before any task. */
    public void start(Handler taskHandler, Runnable startupAction) {
        handler = taskHandler;
        startAction = startupAction;
        lastTurnNanos = System.nanoTime();
        thread.start();
    }

    /** Adds a task; returns false if the inbox is full. Any thread may call it. */
    public boolean offer(Object task) {
        return inbox.offer(task);
    }

    /**
     * Adds a task and waits for room if the inbox is full; {@code onFullInbox} is run after each 100 ms of waiting.
     * Returns false if the loop is closing.
     */
    public boolean put(Object task, Runnable onFullInbox) throws InterruptedException {
        while (!closing) {
            if (inbox.offer(task, 100, TimeUnit.MILLISECONDS)) {
                return true;
            }
            onFullInbox.run();
        }
        return false;
    }

    /**
     * When the last turn began, on the clock of {@link System#nanoTime}; an idle loop starts a turn at least every 50
     * ms.
     */
    public Moment lastTurnAt() {
        return new Moment(lastTurnNanos);
    }

    /** Number of tasks in the inbox. */
    public int queueSize() {
        return inbox.size();
    }

    /**
     * True once another loop has taken over; what this one still does must have no effect outside. Any thread may call
     * it.
     */
    public boolean isFenced() {
        return fenced;
    }

    /**
     * Makes this loop handle no further tasks. Returns the task that it has not finished, or null. Any thread may call
     * it.
     */
    public Object fence() {
        fenced = true;
        return currentTask;
    }

    /** Creates a loop with the inbox of this one, which must be fenced. */
    public EventLoop successor(String successorName) {
        return new EventLoop(successorName, inbox);
    }

    private void run() {
        runGuarded(startAction);
        runGuarded(handler::afterTurn);
        while (!closing && !fenced) {
            try {
                Object task = inbox.poll(
                        Math.max(MIN_WAIT_NANOS, timerWheel.timeUntilNextTimer().ns()), TimeUnit.NANOSECONDS);
                runTurn(task);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void runTurn(Object firstTask) {
        Moment now = new Moment(System.nanoTime());
        lastTurnNanos = now.ns();
        Object task = firstTask;
        for (int handled = 0; task != null && handled < MAX_TASKS_PER_TURN; handled++) {
            currentTask = task;
            if (fenced) {
                // The task was taken out after the fence, so it belongs to the successor.
                inbox.offer(task);
                return;
            }
            if (handled == 0) {
                runGuarded(() -> timerWheel.advanceTo(now));
            }
            handle(task);
            currentTask = null;
            task = handled + 1 < MAX_TASKS_PER_TURN ? inbox.poll() : null;
        }
        if (firstTask == null) {
            runGuarded(() -> timerWheel.advanceTo(now));
        }
        runGuarded(handler::afterTurn);
    }

    private void handle(Object task) {
        runGuarded(() -> {
            if (task instanceof Runnable action) {
                action.run();
            } else {
                handler.handle(task);
            }
        });
    }

    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError | LinkageError e) {
            // One task is lost; without this thread no other would ever be handled.
            handler.onFailure(e);
        }
    }

    @Override
    public void close() {
        closing = true;
        thread.interrupt();
    }
}
