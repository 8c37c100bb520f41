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
 * Simulates many modules that send to one switch while it is replaced, on simulated time. Compares the rings that all
 * of them send to the cold switch with the limit of the settings in each time window. Traffic is thin and uneven, and
 * refused callers redial. The simulation knows nothing of how the module spends its budget.
 */
final class ColdStartFleetSimulation {
    static final double WARM_UP_S = 14;
    static final double COLD_SHARE = 0.29;
    static final double MAX_COLD_MULTIPLE = 3;
    static final double WINDOW_S = 1.5;
    private static final double REPLACED_S = 40;
    private static final double END_S = 60;
    private static final double LIST_LAG_S = 1;
    private static final double UTILIZATION = 0.8;
    private static final double HOLD_S = 10;

    /**
     * A fleet and its traffic.
     *
     * @param processes number of exchange processes that send to the switch
     * @param calls ordinary calls a second to the switch from all processes
     * @param rush factor of the calls once the switch is replaced
     * @param young share of the processes that start shortly before or after the replacement
     * @param sameId whether the machine itself restarts, rather than another one replacing it
     */
    record Parameters(int processes, double calls, double rush, double young, boolean sameId) {}

    /** The worst window: rings sent above the allowance N, in units of 2 sqrt(N) + 2; above 1 the switch fails. */
    record Result(double worst, int sent, double allowed, double sentCold) {}

    /**
     * A ring at the switch. A failure counts against the fleet if over two thirds of the senders in a window were
     * notified.
     */
    private record Arrival(double at, boolean senderNotified) {}

    private record ScheduledEvent(double at, long order, Runnable action) {}

    private final Parameters parameters;
    private final SplittableRandom random;
    private final PriorityQueue<ScheduledEvent> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final List<ExchangeProcess> processes = new ArrayList<>();
    private final ArrayDeque<Arrival> window = new ArrayDeque<>();
    private double now;
    private long lastId;
    private Result worstResult = new Result(-9, 0, 0, 0);
    private int callsAfterReplacement;
    private int ringsToReplacement;

    private ColdStartFleetSimulation(Parameters parameters, long seed) {
        this.parameters = parameters;
        random = new SplittableRandom(seed);
    }

    static Result play(Parameters parameters, long seed) {
        return new ColdStartFleetSimulation(parameters, seed).run();
    }

    private final class ExchangeProcess implements Orders {
        private final int number;
        private final double callsPerSecond;
        private final Map<Long, Integer> attempts = new HashMap<>();
        private RoutingPolicy policy;
        private boolean notified;

        ExchangeProcess(int number, double callsPerSecond, double startsAt) {
            this.number = number;
            this.callsPerSecond = callsPerSecond;
            schedule(startsAt, this::start);
            scheduleNextCall();
        }

        private void start() {
            policy = new RoutingPolicy(settings(), random.nextLong(), nowMoment(), this);
            boolean switchReplaced = now >= REPLACED_S + LIST_LAG_S;
            notified = switchReplaced;
            policy.switchListReceived(
                    nowMoment(),
                    ListKind.CACHED,
                    List.of(
                            new SwitchEntry(1000 + number, number, State.READY, null, 0),
                            switchReplaced ? coldEntry() : warmEntry()));
            reportGroups();
        }

        /** Groups carry the ordinary traffic and 30% more; all circuits are free once the machine is replaced. */
        private void reportGroups() {
            float size = (float) Math.max(2, Math.ceil(callsPerSecond * HOLD_S * 1.3));
            for (long id : new long[] {101, 201}) {
                policy.switchReported(nowMoment(), id, true, Span.ZERO, new float[] {size, size});
            }
        }

        private void switchReplaced() {
            if (policy == null) {
                return;
            }
            notified = true;
            if (!parameters.sameId) {
                policy.switchListReceived(
                        nowMoment(), ListKind.CHANGES, List.of(new SwitchEntry(101, 1, State.GONE, null, 0)));
            }
            policy.switchListReceived(nowMoment(), ListKind.CHANGES, List.of(coldEntry()));
            reportGroups();
        }

        private void scheduleNextCall() {
            double rush = now >= REPLACED_S ? parameters.rush : 1;
            schedule(now - Math.log(1 - random.nextDouble()) / (callsPerSecond * rush), () -> {
                call(0);
                scheduleNextCall();
            });
        }

        private void call(int attempt) {
            if (policy == null) {
                return;
            }
            long id = ++lastId;
            attempts.put(id, attempt);
            callsAfterReplacement += attempt == 0 && now >= REPLACED_S ? 1 : 0;
            policy.contactOffered(
                    nowMoment(),
                    new Contact(
                            id,
                            random.nextDouble() < 0.07 ? 1 : 0,
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
            reportGroups();
            if (target == (parameters.sameId ? 101 : 201) && now >= REPLACED_S) {
                recordArrival(notified);
                ringsToReplacement++;
            }
            RoutingPolicy ringPolicy = policy;
            schedule(now + 0.02, () -> ringPolicy.established(nowMoment(), contact, 0, target, Span.ofMillis(20)));
            schedule(
                    now + 0.02 - HOLD_S * Math.log(1 - random.nextDouble()),
                    () -> ringPolicy.ringEnded(
                            nowMoment(),
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
        public void defer(long contact, Span retryAfter) {
            int attempt = attempts.remove(contact) + 1;
            if (attempt < 4) {
                schedule(now + 0.8 + 0.7 * random.nextDouble(), () -> call(attempt));
            }
        }

        @Override
        public void abandon(long contact) {
            attempts.remove(contact);
        }

        @Override
        public void startTimer(Span delay, long token) {
            RoutingPolicy timerPolicy = policy;
            schedule(now + delay.ns() / 1e9, () -> {
                if (timerPolicy != null) {
                    timerPolicy.timerExpired(nowMoment(), token);
                }
            });
        }

        @Override
        public void cancel(long contact, int ring) {
            // Rings are established before any caller gives up.
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
        public void watchSwitchList(boolean enabled) {
            // The simulation sends the list without a subscription.
        }

        @Override
        public void log(String line) {
            throw new IllegalStateException(line);
        }
    }

    private Map<String, String> settings() {
        Map<String, String> all = new HashMap<>(new ExchangeFixture().settings);
        all.put("family-info.home-no", "2");
        all.put("guarantees.warm-within-ns", Long.toString((long) (WARM_UP_S * 1e9)));
        all.put("guarantees.cold-share", Double.toString(COLD_SHARE));
        all.put("guarantees.fall-multiple", Double.toString(MAX_COLD_MULTIPLE));
        all.put("guarantees.fall-ns", Long.toString((long) (WINDOW_S * 1e9)));
        all.put("n-instances", Integer.toString(parameters.processes));
        return all;
    }

    private SwitchEntry warmEntry() {
        return new SwitchEntry(101, 1, State.READY, null, 0);
    }

    private SwitchEntry coldEntry() {
        return new SwitchEntry(parameters.sameId ? 101 : 201, 1, State.READY, new Moment((long) (REPLACED_S * 1e9)), 0);
    }

    private Moment nowMoment() {
        return new Moment((long) (now * 1e9));
    }

    private void schedule(double time, Runnable action) {
        events.add(new ScheduledEvent(time, ++lastId, action));
    }

    private void recordArrival(boolean senderNotified) {
        window.add(new Arrival(now, senderNotified));
        while (window.peek().at < now - WINDOW_S) {
            window.poll();
        }
        double warmUpProgress = Math.min(1, (now - REPLACED_S) / WARM_UP_S);
        double allowed = MAX_COLD_MULTIPLE
                * parameters.calls
                / UTILIZATION
                * (COLD_SHARE + (1 - COLD_SHARE) * warmUpProgress)
                * WINDOW_S;
        double excess = (window.size() - allowed) / (2 * Math.sqrt(allowed) + 2);
        boolean mostlyNotified = window.stream().filter(Arrival::senderNotified).count() * 3 > window.size() * 2;
        if (mostlyNotified && warmUpProgress < 1 && excess > worstResult.worst) {
            worstResult = new Result(excess, window.size(), allowed, 0);
        }
    }

    private Result run() {
        double[] shares = new double[parameters.processes];
        double total = 0;
        for (int i = 0; i < shares.length; i++) {
            shares[i] = 0.15 - Math.log(1 - random.nextDouble());
            total += shares[i];
        }
        for (int i = 0; i < shares.length; i++) {
            boolean startsLate = i < parameters.young * shares.length;
            double startsAt = startsLate ? REPLACED_S - 2 + 6 * random.nextDouble() : 0;
            processes.add(new ExchangeProcess(2 + i, parameters.calls * shares[i] / total, startsAt));
        }
        schedule(REPLACED_S + LIST_LAG_S, () -> processes.forEach(ExchangeProcess::switchReplaced));
        for (ScheduledEvent event = events.poll(); event != null && event.at < END_S; event = events.poll()) {
            now = event.at;
            event.action.run();
        }
        return new Result(
                worstResult.worst,
                worstResult.sent,
                worstResult.allowed,
                (double) ringsToReplacement / Math.max(1, callsAfterReplacement));
    }
}
