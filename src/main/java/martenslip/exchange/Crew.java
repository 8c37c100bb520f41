package martenslip.exchange;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Consumer;
import martenslip.control.Maker;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.lookout.Lookout;
import martenslip.provision.Site;
import martenslip.sip.transport.Arrival;
import martenslip.wheel.EventLoop;

/**
 * The threads of an exchange: its lanes, the decider (on the only lane's thread where there is one, else on its own),
 * and the look-out that replaces one that stalled. What a replaced thread still does reaches nobody: its sends,
 * reports and orders each pass its fence last.
 */
final class Crew implements AutoCloseable {
    private static final int ROOM = 4 * Intake.MOST;

    /** For a lane; an order bears the count of the decider that gave it, anything else -1. */
    private record ForLane(Consumer<Lane> what, int decider) {}

    private record ForDecider(Consumer<Decider> what) {}

    /** Who decides, on which thread. */
    private record Seat(EventLoop loop, Decider decider, int count) {}

    private final Lane.Common common;
    private final Site site;
    private final Maker maker;
    private final Consumer<Throwable> faults;
    private final SplittableRandom seeds;
    private final int count;
    private final boolean inline;
    private final String name;
    private final Estate[] estates;
    private final AtomicReferenceArray<Lane> lanes;
    private final AtomicLong replaced = new AtomicLong();
    private final Thread watch;
    private volatile Seat seat;
    private volatile boolean closing;
    private volatile boolean over;

    Crew(Lane.Common common, Maker maker, Consumer<Throwable> faults, long seed) {
        this.common = common;
        this.maker = maker;
        this.faults = faults;
        site = common.site();
        seeds = new SplittableRandom(seed);
        count = site.limits().lanes();
        inline = count == 1;
        name = "exchange-" + site.number();
        estates = new Estate[count];
        lanes = new AtomicReferenceArray<>(count);
        for (int i = 0; i < count; i++) {
            estates[i] = new Estate(i, count);
            lanes.set(i, lane(i, new EventLoop(inline ? name : name + "-lane-" + i, ROOM)));
        }
        watch = new Thread(null, this::watch, name + "-lookout", 256 * 1024);
        watch.setDaemon(true);
    }

    EventLoop loop(int lane) {
        return lanes.get(lane).loop;
    }

    Estate estate(int lane) {
        return estates[lane];
    }

    long replaced() {
        return replaced.get();
    }

    private Lane lane(int number, EventLoop loop) {
        Lane[] self = new Lane[1];
        ToDecider reports = new ToDecider((report, refusable) -> {
            if (loop.fenced()) {
                return false;
            }
            if (inline) {
                report.accept(self[0].decider);
                return true;
            }
            EventLoop to = seat.loop();
            boolean passed = (!refusable || to.waiting() < Intake.MOST) && to.offer(new ForDecider(report));
            if (!passed) {
                common.transport().drops().count(refusable ? "offer without room" : "report without room");
            }
            return passed;
        });
        self[0] = new Lane(number, loop, common, estates[number], reports, seeds.nextLong());
        return self[0];
    }

    /** {@code only} is the lane on whose thread it decides, or null. */
    private Seat seat(EventLoop loop, int number, Lane only) {
        ToLanes hands = new ToLanes(count, new ToLanes.Way() {
            @Override
            public void toContacts(int lane, Consumer<Contacts> order) {
                pass(lane, one -> order.accept(one.contacts));
            }

            @Override
            public void toSurroundings(Consumer<Surroundings> order) {
                pass(0, one -> order.accept(one.surroundings));
            }

            private void pass(int lane, Consumer<Lane> order) {
                if (loop.fenced()) {
                    return;
                }
                if (only != null) {
                    order.accept(only);
                } else if (!lanes.get(lane).loop.offer(new ForLane(order, number))) {
                    common.transport().drops().count("order without room");
                }
            }
        });
        // A successor must not draw as its predecessor did.
        Decider decider = new Decider(site, maker, site.seed() + number, loop.wheel(), hands, common.log());
        if (only != null) {
            only.decider = decider;
        }
        return new Seat(loop, decider, number);
    }

    /** Once, with the sockets open. */
    void start() {
        seat = inline
                ? seat(lanes.get(0).loop, 0, lanes.get(0))
                : seat(new EventLoop(name + "-decider", ROOM), 0, null);
        Decider decider = seat.decider();
        if (!inline) {
            seat.loop().start(new DeciderDuty(decider), decider::begin);
        }
        for (int i = 0; i < count; i++) {
            Lane lane = lanes.get(i);
            boolean first = i == 0;
            lane.loop.start(new LaneDuty(lane), () -> {
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
        put(lanes.get(lane).loop, new ForLane(what, -1));
    }

    void tellDecider(Consumer<Decider> what) {
        put(seat.loop(), new ForDecider(what));
    }

    private void put(EventLoop loop, Object what) {
        try {
            loop.put(what, () -> common.transport().drops().count("waited for the inbox"));
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
            tell(lane, any -> Planted.stall(span));
        } else {
            tellDecider(any -> Planted.stall(span));
        }
    }

    /** Carries out a lane's work; in a process with one lane the decider's too. */
    private final class LaneDuty implements EventLoop.Duty {
        private final Lane lane;

        LaneDuty(Lane lane) {
            this.lane = lane;
        }

        @Override
        public void take(Object next) {
            if (next instanceof Arrival arrival) {
                lane.calls().transactions().arrived(arrival);
            } else if (next instanceof ForLane order && (order.decider() < 0 || order.decider() == seat.count())) {
                order.what().accept(lane);
            } else if (next instanceof ForDecider report && inline) {
                report.what().accept(lane.decider);
            }
        }

        @Override
        public void after() {
            if (inline && !lane.loop.fenced()) {
                lane.decider.tellAll();
            }
        }

        @Override
        public void fault(Throwable fault) {
            faults.accept(fault);
        }
    }

    private final class DeciderDuty implements EventLoop.Duty {
        private final Decider decider;

        DeciderDuty(Decider decider) {
            this.decider = decider;
        }

        @Override
        public void take(Object next) {
            if (next instanceof ForDecider report) {
                report.what().accept(decider);
            }
        }

        @Override
        public void after() {
            decider.tellAll();
        }

        @Override
        public void fault(Throwable fault) {
            faults.accept(fault);
        }
    }

    private void watch() {
        int places = inline ? 1 : count + 1;
        Lookout lookout = new Lookout(places, new Moment(System.nanoTime()));
        while (!over) {
            try {
                TimeUnit.NANOSECONDS.sleep(Lookout.EVERY.ns());
            } catch (InterruptedException e) {
                return;
            }
            for (int i = 0; i < count; i++) {
                lookout.turned(i, lanes.get(i).loop.turnedAt());
            }
            if (!inline) {
                lookout.turned(count, seat.loop().turnedAt());
            }
            int stalled = lookout.look(new Moment(System.nanoTime()));
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
        LaneDuty duty = new LaneDuty(next);
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
            new Inheritance(next.contacts, next.calls(), estates[number], common.log()).takeOver();
            if (number == 0 && !inline) {
                next.surroundings.watchList(true);
            }
            if (inHand != null) {
                again(duty, inHand);
            }
        });
    }

    /** What the stalled thread was amid of; transactions and numbers of rings see to it that nothing is done twice. */
    private static void again(EventLoop.Duty duty, Object inHand) {
        if (inHand instanceof Arrival || inHand instanceof ForLane order && order.decider() >= 0) {
            duty.take(inHand);
        }
    }

    private void replaceDecider() {
        Seat old = seat;
        Object inHand = old.loop().fence();
        EventLoop loop = old.loop().successor(old.loop().name() + "+");
        seat = seat(loop, old.count() + 1, null);
        DeciderDuty duty = new DeciderDuty(seat.decider());
        Decider decider = seat.decider();
        loop.start(duty, () -> {
            decider.listed(
                    martenslip.control.Controller.ListKind.WHOLE, common.known().lines());
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
