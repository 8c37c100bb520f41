package martenslip;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import martenslip.control.Contact;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.control.SwitchEntry.State;

/**
 * A fleet of modules before one switch that is replaced, on driven time: what all of them send to the cold machine,
 * held against what the settings allow it in each window. Traffic is thin and uneven, callers who are refused come
 * again. It knows nothing of how the module spends.
 */
final class ColdStartFleetSimulation {
    static final double WARM_S = 14;
    static final double SHARE = 0.29;
    static final double MULTIPLE = 3;
    static final double WINDOW_S = 1.5;
    private static final double REPLACED_S = 40;
    private static final double END_S = 60;
    private static final double LAG_S = 1;
    private static final double USE = 0.8;
    private static final double HOLD_S = 10;

    /**
     * {@code calls} a second to the switch by all processes on an ordinary second, {@code rush} times as many once it
     * is replaced, {@code young} the part of processes that started a moment before or after. {@code sameId}: the
     * machine itself came back, rather than another in its place.
     */
    record Parameters(int processes, double calls, double rush, double young, boolean sameId) {}

    /** Worst window: sent less the allowance N, in units of 2 sqrt(N) + 2; over 1 the switch falls. */
    record Result(double worst, int sent, double allowed, double sentCold) {}

    /** {@code told}: its sender knew of the start. A fall is the fleet's where over two thirds of a window did. */
    private record Arrival(double at, boolean told) {}

    private record ScheduledEvent(double at, long order, Runnable what) {}

    private final Parameters plan;
    private final SplittableRandom chance;
    private final PriorityQueue<ScheduledEvent> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final List<ExchangeProcess> processes = new ArrayList<>();
    private final ArrayDeque<Arrival> window = new ArrayDeque<>();
    private double now;
    private long ids;
    private Result found = new Result(-9, 0, 0, 0);
    private int askedCold;
    private int sentCold;

    private ColdStartFleetSimulation(Parameters plan, long seed) {
        this.plan = plan;
        chance = new SplittableRandom(seed);
    }

    static Result play(Parameters plan, long seed) {
        return new ColdStartFleetSimulation(plan, seed).run();
    }

    private final class ExchangeProcess implements Orders {
        private final int number;
        private final double rate;
        private final Map<Long, Integer> tries = new HashMap<>();
        private RoutingPolicy logic;
        private boolean told;

        ExchangeProcess(int number, double rate, double starts) {
            this.number = number;
            this.rate = rate;
            at(starts, this::start);
            next();
        }

        private void start() {
            logic = new RoutingPolicy(settings(), chance.nextLong(), moment(), this);
            boolean after = now >= REPLACED_S + LAG_S;
            told = after;
            logic.switchListReceived(
                    moment(),
                    ListKind.CACHED,
                    List.of(new SwitchEntry(1000 + number, number, State.READY, null, 0), after ? cold() : warm()));
            group();
        }

        /** Built for what it carries and a third more; all of it is free once the machine was replaced. */
        private void group() {
            float size = (float) Math.max(2, Math.ceil(rate * HOLD_S * 1.3));
            for (long id : new long[] {101, 201}) {
                logic.switchReported(moment(), id, true, Span.ZERO, new float[] {size, size});
            }
        }

        private void replaced() {
            if (logic == null) {
                return;
            }
            told = true;
            if (!plan.sameId) {
                logic.switchListReceived(
                        moment(), ListKind.CHANGES, List.of(new SwitchEntry(101, 1, State.GONE, null, 0)));
            }
            logic.switchListReceived(moment(), ListKind.CHANGES, List.of(cold()));
            group();
        }

        private void next() {
            double rush = now >= REPLACED_S ? plan.rush : 1;
            at(now - Math.log(1 - chance.nextDouble()) / (rate * rush), () -> {
                call(0);
                next();
            });
        }

        private void call(int again) {
            if (logic == null) {
                return;
            }
            long id = ++ids;
            tries.put(id, again);
            askedCold += again == 0 && now >= REPLACED_S ? 1 : 0;
            logic.contactOffered(
                    moment(),
                    new Contact(
                            id,
                            chance.nextDouble() < 0.07 ? 1 : 0,
                            0,
                            1,
                            -1,
                            1,
                            Span.ofMillis(6000),
                            false,
                            false,
                            false));
        }

        @Override
        public void ring(long contact, long target, Span limit) {
            group();
            if (target == (plan.sameId ? 101 : 201) && now >= REPLACED_S) {
                arrived(told);
                sentCold++;
            }
            RoutingPolicy to = logic;
            at(now + 0.02, () -> to.established(moment(), contact, 0, target, Span.ofMillis(20)));
            at(
                    now + 0.02 - HOLD_S * Math.log(1 - chance.nextDouble()),
                    () -> to.ringEnded(
                            moment(),
                            new RingEnd(
                                    contact,
                                    0,
                                    target,
                                    RingEndCause.CONCLUDED,
                                    RejectionReason.NONE,
                                    Span.ofMillis(9000),
                                    true,
                                    new float[0])));
        }

        @Override
        public void defer(long contact, Span comeBack) {
            int again = tries.remove(contact) + 1;
            if (again < 4) {
                at(now + 0.8 + 0.7 * chance.nextDouble(), () -> call(again));
            }
        }

        @Override
        public void abandon(long contact) {
            tries.remove(contact);
        }

        @Override
        public void startTimer(Span delay, long token) {
            RoutingPolicy to = logic;
            at(now + delay.ns() / 1e9, () -> {
                if (to != null) {
                    to.timerExpired(moment(), token);
                }
            });
        }

        @Override
        public void cancel(long contact, int ring) {
            // Rings here stand before anybody gives up.
        }

        @Override
        public void probe(long target) {
            throw new IllegalStateException("probes are not allowed");
        }

        @Override
        public void sendNote(int peer, byte[] note) {
            throw new IllegalStateException("notes are not allowed");
        }

        @Override
        public void watchSwitchList(boolean on) {
            // Told unasked.
        }

        @Override
        public void log(String line) {
            throw new IllegalStateException(line);
        }
    }

    private Map<String, String> settings() {
        Map<String, String> all = new HashMap<>(new ExchangeFixture().settings);
        all.put("family-info.home-no", "2");
        all.put("guarantees.warm-within-ns", Long.toString((long) (WARM_S * 1e9)));
        all.put("guarantees.cold-share", Double.toString(SHARE));
        all.put("guarantees.fall-multiple", Double.toString(MULTIPLE));
        all.put("guarantees.fall-ns", Long.toString((long) (WINDOW_S * 1e9)));
        all.put("n-instances", Integer.toString(plan.processes));
        return all;
    }

    private SwitchEntry warm() {
        return new SwitchEntry(101, 1, State.READY, null, 0);
    }

    private SwitchEntry cold() {
        return new SwitchEntry(plan.sameId ? 101 : 201, 1, State.READY, new Moment((long) (REPLACED_S * 1e9)), 0);
    }

    private Moment moment() {
        return new Moment((long) (now * 1e9));
    }

    private void at(double when, Runnable what) {
        events.add(new ScheduledEvent(when, ++ids, what));
    }

    private void arrived(boolean told) {
        window.add(new Arrival(now, told));
        while (window.peek().at < now - WINDOW_S) {
            window.poll();
        }
        double age = Math.min(1, (now - REPLACED_S) / WARM_S);
        double allowed = MULTIPLE * plan.calls / USE * (SHARE + (1 - SHARE) * age) * WINDOW_S;
        double over = (window.size() - allowed) / (2 * Math.sqrt(allowed) + 2);
        boolean ours = window.stream().filter(Arrival::told).count() * 3 > window.size() * 2;
        if (ours && age < 1 && over > found.worst) {
            found = new Result(over, window.size(), allowed, 0);
        }
    }

    private Result run() {
        double[] shares = new double[plan.processes];
        double all = 0;
        for (int i = 0; i < shares.length; i++) {
            shares[i] = 0.15 - Math.log(1 - chance.nextDouble());
            all += shares[i];
        }
        for (int i = 0; i < shares.length; i++) {
            boolean young = i < plan.young * shares.length;
            double starts = young ? REPLACED_S - 2 + 6 * chance.nextDouble() : 0;
            processes.add(new ExchangeProcess(2 + i, plan.calls * shares[i] / all, starts));
        }
        at(REPLACED_S + LAG_S, () -> processes.forEach(ExchangeProcess::replaced));
        for (ScheduledEvent event = events.poll(); event != null && event.at < END_S; event = events.poll()) {
            now = event.at;
            event.what.run();
        }
        return new Result(found.worst, found.sent, found.allowed, (double) sentCold / Math.max(1, askedCold));
    }
}
