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
 * The threads of an exchange: its lanes, the decider (on the only lane's thread where there is one, else on its own),
 * and the look-out that replaces one that stalled. What a replaced thread still does reaches nobody: its sends,
 * reports and orders each pass its fence last.
 */
final class ThreadSupervisor implements AutoCloseable {
    private static final int ROOM = 4 * InboundDispatcher.MOST;

    /** For a lane; an order bears the count of the decider that gave it, anything else -1. */
    private record LaneTask(Consumer<Lane> what, int decider) {}

    private record DeciderTask(Consumer<Decider> what) {}

    /** Who decides, on which thread. */
    private record DeciderInstance(EventLoop loop, Decider decider, int count) {}

    private final Lane.SharedServices common;
    private final ExchangeConfiguration site;
    private final ControllerFactory maker;
    private final Consumer<Throwable> faults;
    private final SplittableRandom seeds;
    private final int count;
    private final boolean inline;
    private final String name;
    private final HandoverStore[] estates;
    private final AtomicReferenceArray<Lane> lanes;
    private final AtomicLong replaced = new AtomicLong();
    private final Thread watch;
    private volatile DeciderInstance seat;
    private volatile boolean closing;
    private volatile boolean over;

    ThreadSupervisor(Lane.SharedServices common, ControllerFactory maker, Consumer<Throwable> faults, long seed) {
        this.common = common;
        this.maker = maker;
        this.faults = faults;
        site = common.site();
        seeds = new SplittableRandom(seed);
        count = site.limits().lanes();
        inline = count == 1;
        name = "exchange-" + site.number();
        estates = new HandoverStore[count];
        lanes = new AtomicReferenceArray<>(count);
        for (int i = 0; i < count; i++) {
            estates[i] = new HandoverStore(i, count);
            lanes.set(i, lane(i, new EventLoop(inline ? name : name + "-lane-" + i, ROOM)));
        }
        watch = new Thread(null, this::watch, name + "-lookout", 256 * 1024);
        watch.setDaemon(true);
    }

    EventLoop loop(int lane) {
        return lanes.get(lane).loop;
    }

    HandoverStore estate(int lane) {
        return estates[lane];
    }

    long replaced() {
        return replaced.get();
    }

    private Lane lane(int number, EventLoop loop) {
        Lane[] self = new Lane[1];
        LaneReportDispatcher reports = new LaneReportDispatcher((report, refusable) -> {
            if (loop.isFenced()) {
                return false;
            }
            if (inline) {
                report.accept(self[0].decider);
                return true;
            }
            EventLoop to = seat.loop();
            boolean passed =
                    (!refusable || to.queueSize() < InboundDispatcher.MOST) && to.offer(new DeciderTask(report));
            if (!passed) {
                common.transport().dropCounter().increment(refusable ? "offer without room" : "report without room");
            }
            return passed;
        });
        self[0] = new Lane(number, loop, common, estates[number], reports, seeds.nextLong());
        return self[0];
    }

    /** {@code only} is the lane on whose thread it decides, or null. */
    private DeciderInstance seat(EventLoop loop, int number, Lane only) {
        LaneCommandDispatcher hands = new LaneCommandDispatcher(count, new LaneCommandDispatcher.Channel() {
            @Override
            public void toContacts(int lane, Consumer<Contacts> order) {
                pass(lane, one -> order.accept(one.contacts));
            }

            @Override
            public void toSurroundings(Consumer<NetworkMonitor> order) {
                pass(0, one -> order.accept(one.surroundings));
            }

            private void pass(int lane, Consumer<Lane> order) {
                if (loop.isFenced()) {
                    return;
                }
                if (only != null) {
                    order.accept(only);
                } else if (!lanes.get(lane).loop.offer(new LaneTask(order, number))) {
                    common.transport().dropCounter().increment("order without room");
                }
            }
        });
        // A successor must not draw as its predecessor did.
        Decider decider = new Decider(site, maker, site.seed() + number, loop.timerWheel(), hands, common.log());
        if (only != null) {
            only.decider = decider;
        }
        return new DeciderInstance(loop, decider, number);
    }

    /** Once, with the sockets open. */
    void start() {
        seat = inline
                ? seat(lanes.get(0).loop, 0, lanes.get(0))
                : seat(new EventLoop(name + "-decider", ROOM), 0, null);
        Decider decider = seat.decider();
        if (!inline) {
            seat.loop().start(new DeciderHandler(decider), decider::begin);
        }
        for (int i = 0; i < count; i++) {
            Lane lane = lanes.get(i);
            boolean first = i == 0;
            lane.loop.start(new LaneHandler(lane), () -> {
                if (first) {
                    lane.surroundings.start(true);
                }
                if (inline) {
                    decider.begin();
                }
            });
        }
        watch.start();
    }

    void tell(int lane, Consumer<Lane> what) {
        put(lanes.get(lane).loop, new LaneTask(what, -1));
    }

    void tellDecider(Consumer<Decider> what) {
        put(seat.loop(), new DeciderTask(what));
    }

    private void put(EventLoop loop, Object what) {
        try {
            loop.put(what, () -> common.transport().dropCounter().increment("waited for the inbox"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** From now on nothing new is taken. */
    void closing() {
        closing = true;
        for (int i = 0; i < count; i++) {
            tell(i, lane -> lane.contacts.close());
        }
    }

    void plant(int lane, Span span, String amid) {
        if (amid != null && lane >= 0 && lane < count) {
            lanes.get(lane).planted.plant(span, amid);
        } else if (lane >= 0 && lane < count) {
            tell(lane, any -> StallInjector.stall(span));
        } else {
            tellDecider(any -> StallInjector.stall(span));
        }
    }

    /** Carries out a lane's work; in a process with one lane the decider's too. */
    private final class LaneHandler implements EventLoop.Handler {
        private final Lane lane;

        LaneHandler(Lane lane) {
            this.lane = lane;
        }

        @Override
        public void handle(Object next) {
            if (next instanceof TransportEvent arrival) {
                lane.calls().transactionLayer().handleEvent(arrival);
            } else if (next instanceof LaneTask order && (order.decider() < 0 || order.decider() == seat.count())) {
                order.what().accept(lane);
            } else if (next instanceof DeciderTask report && inline) {
                report.what().accept(lane.decider);
            }
        }

        @Override
        public void afterTurn() {
            if (inline && !lane.loop.isFenced()) {
                lane.decider.tellAll();
            }
        }

        @Override
        public void onFailure(Throwable fault) {
            faults.accept(fault);
        }
    }

    private final class DeciderHandler implements EventLoop.Handler {
        private final Decider decider;

        DeciderHandler(Decider decider) {
            this.decider = decider;
        }

        @Override
        public void handle(Object next) {
            if (next instanceof DeciderTask report) {
                report.what().accept(decider);
            }
        }

        @Override
        public void afterTurn() {
            decider.tellAll();
        }

        @Override
        public void onFailure(Throwable fault) {
            faults.accept(fault);
        }
    }

    private void watch() {
        int places = inline ? 1 : count + 1;
        Watchdog lookout = new Watchdog(places, new Moment(System.nanoTime()));
        while (!over) {
            try {
                TimeUnit.NANOSECONDS.sleep(Watchdog.CHECK_INTERVAL.ns());
            } catch (InterruptedException e) {
                return;
            }
            for (int i = 0; i < count; i++) {
                lookout.loopTurned(i, lanes.get(i).loop.lastTurnAt());
            }
            if (!inline) {
                lookout.loopTurned(count, seat.loop().lastTurnAt());
            }
            int stalled = lookout.findStalled(new Moment(System.nanoTime()));
            if (stalled >= 0 && !over) {
                replaced.incrementAndGet();
                if (stalled < count) {
                    replaceLane(stalled);
                } else {
                    replaceDecider();
                }
            }
        }
    }

    private void replaceLane(int number) {
        Lane old = lanes.get(number);
        Object inHand = old.loop.fence();
        estates[number].past(old.figures);
        EventLoop loop = old.loop.successor(old.loop.name() + "+");
        Lane next = lane(number, loop);
        if (inline) {
            seat = seat(loop, seat.count() + 1, next);
        }
        lanes.set(number, next);
        LaneHandler duty = new LaneHandler(next);
        loop.start(duty, () -> {
            if (number == 0) {
                next.surroundings.start(false);
            }
            if (inline) {
                next.decider.begin();
            }
            if (closing) {
                next.contacts.close();
            }
            new LaneTakeover(next.contacts, next.calls(), estates[number], common.log()).takeOver();
            if (number == 0 && !inline) {
                next.surroundings.watchList(true);
            }
            if (inHand != null) {
                again(duty, inHand);
            }
        });
    }

    /** What the stalled thread was amid of; transactions and numbers of rings see to it that nothing is done twice. */
    private static void again(EventLoop.Handler duty, Object inHand) {
        if (inHand instanceof TransportEvent || inHand instanceof LaneTask order && order.decider() >= 0) {
            duty.handle(inHand);
        }
    }

    private void replaceDecider() {
        DeciderInstance old = seat;
        Object inHand = old.loop().fence();
        EventLoop loop = old.loop().successor(old.loop().name() + "+");
        seat = seat(loop, old.count() + 1, null);
        DeciderHandler duty = new DeciderHandler(seat.decider());
        Decider decider = seat.decider();
        loop.start(duty, () -> {
            decider.listed(
                    martenslip.control.Controller.ListKind.FULL, common.known().lines());
            decider.circuits(common.known().groups());
            decider.begin();
        });
        for (int i = 0; i < count; i++) {
            boolean first = i == 0;
            tell(i, lane -> {
                lane.contacts.tellHeld();
                if (first) {
                    lane.surroundings.anew();
                }
            });
        }
        // The report that it was amid of is the lanes' to repeat, by what they hold.
    }

    @Override
    public void close() {
        over = true;
        watch.interrupt();
        for (int i = 0; i < count; i++) {
            lanes.get(i).loop.close();
        }
        if (seat != null) {
            seat.loop().close();
        }
    }
}
