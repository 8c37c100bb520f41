package martenslip.exchange;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Consumer;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.ControllerFactory;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.eventloop.EventLoop;
import martenslip.sip.transport.TransportEvent;
import martenslip.watchdog.Watchdog;

/**
 * Owns the threads of an exchange: the lanes, the decider (on the lane thread if there is only one lane, else on its
 * own) and the watchdog that replaces a stalled one. A replaced thread that wakes up has no effect: its messages,
 * reports and commands all pass its fence as the last step.
 */
final class ThreadSupervisor implements AutoCloseable {
    private static final int INBOX_CAPACITY = 4 * InboundDispatcher.MAX_QUEUED_ARRIVALS;

    /** A task for a lane. A command carries the number of the decider that issued it, any other task -1. */
    private record LaneTask(Consumer<Lane> action, int deciderNumber) {}

    /** A task for the decider. */
    private record DeciderTask(Consumer<Decider> action) {}

    /** A decider with its thread. Each replacement has the next number. */
    private record DeciderInstance(EventLoop loop, Decider decider, int number) {}

    private final Lane.SharedServices sharedServices;
    private final ExchangeConfiguration configuration;
    private final ControllerFactory controllerFactory;
    private final Consumer<Throwable> faultHandler;
    private final SplittableRandom seedGenerator;
    private final int laneCount;
    private final boolean singleLane;
    private final String name;
    private final HandoverStore[] handoverStores;
    private final AtomicReferenceArray<Lane> lanes;
    private final AtomicLong replacedThreadCount = new AtomicLong();
    private final Thread watchdogThread;
    private volatile DeciderInstance deciderInstance;
    private volatile boolean refusingNewContacts;
    private volatile boolean closed;

    ThreadSupervisor(
            Lane.SharedServices sharedServices,
            ControllerFactory controllerFactory,
            Consumer<Throwable> faultHandler,
            long seed) {
        this.sharedServices = sharedServices;
        this.controllerFactory = controllerFactory;
        this.faultHandler = faultHandler;
        configuration = sharedServices.configuration();
        seedGenerator = new SplittableRandom(seed);
        laneCount = configuration.limits().lanes();
        singleLane = laneCount == 1;
        name = "exchange-" + configuration.number();
        handoverStores = new HandoverStore[laneCount];
        lanes = new AtomicReferenceArray<>(laneCount);
        for (int i = 0; i < laneCount; i++) {
            handoverStores[i] = new HandoverStore(i, laneCount);
            lanes.set(i, createLane(i, new EventLoop(singleLane ? name : name + "-lane-" + i, INBOX_CAPACITY)));
        }
        watchdogThread = new Thread(null, this::watchLoops, name + "-lookout", 256 * 1024);
        watchdogThread.setDaemon(true);
    }

    EventLoop laneLoop(int laneNumber) {
        return lanes.get(laneNumber).loop;
    }

    HandoverStore handoverStore(int laneNumber) {
        return handoverStores[laneNumber];
    }

    long replacedThreadCount() {
        return replacedThreadCount.get();
    }

    private Lane createLane(int laneNumber, EventLoop loop) {
        Lane[] laneHolder = new Lane[1];
        LaneReportDispatcher reports = new LaneReportDispatcher((report, mayBeRefused) -> {
            if (loop.isFenced()) {
                return false;
            }
            if (singleLane) {
                report.accept(laneHolder[0].decider);
                return true;
            }
            EventLoop deciderLoop = deciderInstance.loop();
            boolean accepted = (!mayBeRefused || deciderLoop.queueSize() < InboundDispatcher.MAX_QUEUED_ARRIVALS)
                    && deciderLoop.offer(new DeciderTask(report));
            if (!accepted) {
                sharedServices
                        .transport()
                        .dropCounter()
                        .increment(mayBeRefused ? "offer without room" : "report without room");
            }
            return accepted;
        });
        laneHolder[0] = new Lane(
                laneNumber, loop, sharedServices, handoverStores[laneNumber], reports, seedGenerator.nextLong());
        return laneHolder[0];
    }

    /** {@code owningLane} is the lane whose thread the decider shares, or null. */
    private DeciderInstance createDeciderInstance(EventLoop loop, int deciderNumber, Lane owningLane) {
        LaneCommandDispatcher laneCommands = new LaneCommandDispatcher(laneCount, new LaneCommandDispatcher.Channel() {
            @Override
            public void toContacts(int laneNumber, Consumer<Contacts> command) {
                pass(laneNumber, lane -> command.accept(lane.contacts));
            }

            @Override
            public void toNetworkMonitor(Consumer<NetworkMonitor> command) {
                pass(0, lane -> command.accept(lane.networkMonitor));
            }

            private void pass(int laneNumber, Consumer<Lane> command) {
                if (loop.isFenced()) {
                    return;
                }
                if (owningLane != null) {
                    command.accept(owningLane);
                } else if (!lanes.get(laneNumber).loop.offer(new LaneTask(command, deciderNumber))) {
                    sharedServices.transport().dropCounter().increment("order without room");
                }
            }
        });
        // A successor must not draw the same random numbers as its predecessor.
        Decider decider = new Decider(
                configuration,
                controllerFactory,
                configuration.seed() + deciderNumber,
                loop.timerWheel(),
                laneCommands,
                sharedServices.eventLog());
        if (owningLane != null) {
            owningLane.decider = decider;
        }
        return new DeciderInstance(loop, decider, deciderNumber);
    }

    /** Starts all threads; called once, with the sockets open. */
    void start() {
        deciderInstance = singleLane
                ? createDeciderInstance(lanes.get(0).loop, 0, lanes.get(0))
                : createDeciderInstance(new EventLoop(name + "-decider", INBOX_CAPACITY), 0, null);
        Decider decider = deciderInstance.decider();
        if (!singleLane) {
            deciderInstance.loop().start(new DeciderHandler(decider), decider::start);
        }
        for (int i = 0; i < laneCount; i++) {
            Lane lane = lanes.get(i);
            boolean isFirstLane = i == 0;
            lane.loop.start(new LaneHandler(lane), () -> {
                if (isFirstLane) {
                    lane.networkMonitor.start(true);
                }
                if (singleLane) {
                    decider.start();
                }
            });
        }
        watchdogThread.start();
    }

    /** Queues a task for a lane; waits while its inbox is full. */
    void runOnLane(int laneNumber, Consumer<Lane> action) {
        putTask(lanes.get(laneNumber).loop, new LaneTask(action, -1));
    }

    /** Queues a task for the decider; waits while its inbox is full. */
    void runOnDecider(Consumer<Decider> action) {
        putTask(deciderInstance.loop(), new DeciderTask(action));
    }

    private void putTask(EventLoop loop, Object task) {
        try {
            loop.put(task, () -> sharedServices.transport().dropCounter().increment("waited for the inbox"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Makes all lanes, and their successors, refuse new contacts. */
    void refuseNewContacts() {
        refusingNewContacts = true;
        for (int i = 0; i < laneCount; i++) {
            runOnLane(i, lane -> lane.contacts.refuseNewContacts());
        }
    }

    /** See {@link Exchange#injectStall}. */
    void injectStall(int laneNumber, Span duration, String messagePrefix) {
        if (messagePrefix != null && laneNumber >= 0 && laneNumber < laneCount) {
            lanes.get(laneNumber).stallInjector.stallNextSend(duration, messagePrefix);
        } else if (laneNumber >= 0 && laneNumber < laneCount) {
            runOnLane(laneNumber, ignored -> StallInjector.stall(duration));
        } else {
            runOnDecider(ignored -> StallInjector.stall(duration));
        }
    }

    /** Handles the tasks of a lane; with a single lane those of the decider too. */
    private final class LaneHandler implements EventLoop.Handler {
        private final Lane lane;

        LaneHandler(Lane lane) {
            this.lane = lane;
        }

        @Override
        public void handle(Object task) {
            if (task instanceof TransportEvent transportEvent) {
                lane.dialogLayer().transactionLayer().handleEvent(transportEvent);
            } else if (task instanceof LaneTask laneTask
                    && (laneTask.deciderNumber() < 0 || laneTask.deciderNumber() == deciderInstance.number())) {
                laneTask.action().accept(lane);
            } else if (task instanceof DeciderTask deciderTask && singleLane) {
                deciderTask.action().accept(lane.decider);
            }
        }

        @Override
        public void afterTurn() {
            if (singleLane && !lane.loop.isFenced()) {
                lane.decider.deliverPendingEvents();
            }
        }

        @Override
        public void onFailure(Throwable fault) {
            faultHandler.accept(fault);
        }
    }

    /** Handles the tasks of a decider with a thread of its own. */
    private final class DeciderHandler implements EventLoop.Handler {
        private final Decider decider;

        DeciderHandler(Decider decider) {
            this.decider = decider;
        }

        @Override
        public void handle(Object task) {
            if (task instanceof DeciderTask deciderTask) {
                deciderTask.action().accept(decider);
            }
        }

        @Override
        public void afterTurn() {
            decider.deliverPendingEvents();
        }

        @Override
        public void onFailure(Throwable fault) {
            faultHandler.accept(fault);
        }
    }

    private void watchLoops() {
        int loopCount = singleLane ? 1 : laneCount + 1;
        Watchdog watchdog = new Watchdog(loopCount, new Moment(System.nanoTime()));
        while (!closed) {
            try {
                TimeUnit.NANOSECONDS.sleep(Watchdog.CHECK_INTERVAL.ns());
            } catch (InterruptedException e) {
                return;
            }
            for (int i = 0; i < laneCount; i++) {
                watchdog.iterationStarted(i, lanes.get(i).loop.lastTurnAt());
            }
            if (!singleLane) {
                watchdog.iterationStarted(laneCount, deciderInstance.loop().lastTurnAt());
            }
            int stalledLoop = watchdog.findStalled(new Moment(System.nanoTime()));
            if (stalledLoop >= 0 && !closed) {
                replacedThreadCount.incrementAndGet();
                if (stalledLoop < laneCount) {
                    replaceLane(stalledLoop);
                } else {
                    replaceDecider();
                }
            }
        }
    }

    private void replaceLane(int laneNumber) {
        Lane stalledLane = lanes.get(laneNumber);
        Object unfinishedTask = stalledLane.loop.fence();
        handoverStores[laneNumber].addReplacedThreadStatistics(stalledLane.statistics);
        EventLoop successorLoop = stalledLane.loop.successor(stalledLane.loop.name() + "+");
        Lane newLane = createLane(laneNumber, successorLoop);
        if (singleLane) {
            deciderInstance = createDeciderInstance(successorLoop, deciderInstance.number() + 1, newLane);
        }
        lanes.set(laneNumber, newLane);
        LaneHandler handler = new LaneHandler(newLane);
        successorLoop.start(handler, () -> {
            if (laneNumber == 0) {
                newLane.networkMonitor.start(false);
            }
            if (singleLane) {
                newLane.decider.start();
            }
            if (refusingNewContacts) {
                newLane.contacts.refuseNewContacts();
            }
            new LaneTakeover(
                            newLane.contacts,
                            newLane.dialogLayer(),
                            handoverStores[laneNumber],
                            sharedServices.eventLog())
                    .takeOver();
            if (laneNumber == 0 && !singleLane) {
                newLane.networkMonitor.watchSwitchList(true);
            }
            if (unfinishedTask != null) {
                repeatTask(handler, unfinishedTask);
            }
        });
    }

    /**
     * Repeats the task that the stalled thread did not finish; the transaction layer and the ring numbers prevent
     * anything from being done twice.
     */
    private static void repeatTask(EventLoop.Handler handler, Object unfinishedTask) {
        if (unfinishedTask instanceof TransportEvent
                || unfinishedTask instanceof LaneTask command && command.deciderNumber() >= 0) {
            handler.handle(unfinishedTask);
        }
    }

    private void replaceDecider() {
        DeciderInstance stalledInstance = deciderInstance;
        Object unfinishedTask = stalledInstance.loop().fence();
        EventLoop successorLoop =
                stalledInstance.loop().successor(stalledInstance.loop().name() + "+");
        deciderInstance = createDeciderInstance(successorLoop, stalledInstance.number() + 1, null);
        DeciderHandler handler = new DeciderHandler(deciderInstance.decider());
        Decider decider = deciderInstance.decider();
        successorLoop.start(handler, () -> {
            decider.switchListReceived(
                    martenslip.control.Controller.ListKind.FULL,
                    sharedServices.switchStateCache().switches());
            decider.groupStatesReceived(sharedServices.switchStateCache().groups());
            decider.start();
        });
        for (int i = 0; i < laneCount; i++) {
            boolean isFirstLane = i == 0;
            runOnLane(i, lane -> {
                lane.contacts.reportOpenContacts();
                if (isFirstLane) {
                    lane.networkMonitor.resubscribeCircuits();
                }
            });
        }
        // An unfinished report is not repeated: the lanes report all their open contacts instead.
    }

    @Override
    public void close() {
        closed = true;
        watchdogThread.interrupt();
        for (int i = 0; i < laneCount; i++) {
            lanes.get(i).loop.close();
        }
        if (deciderInstance != null) {
            deciderInstance.loop().close();
        }
    }
}
