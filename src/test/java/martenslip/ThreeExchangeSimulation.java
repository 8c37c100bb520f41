package martenslip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.UnaryOperator;
import martenslip.InterleavingExplorer.Event;
import martenslip.control.Contact;
import martenslip.control.Controller;
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
 * Exchanges 0, 1 and 2, each pair with a group, and the very module at 0 and at 2, which is 0's tandem to 1. It says
 * which events may come next; whoever explores it picks one at a time, and {@link RuleChecker} looks on.
 */
final class ThreeExchangeSimulation implements InterleavingExplorer.Simulation {
    static final Span RELEASE = Span.ofMillis(100);
    static final Span ROUND = Span.ofMillis(25);
    static final Span GRACE = Span.ofMillis(50);
    static final Span WARM = Span.ofMillis(4000);
    private static final RejectionReason[] TURNED = {RejectionReason.NO_CIRCUIT, RejectionReason.PROCESSOR};

    /** What a world is made of; {@code late} has every clock heard a round late. */
    record Parameters(
            int direct, int around, int offers, int troubles, boolean late, int patience, List<String> faults) {}

    private record ScheduledEvent(Moment at, long order, Runnable what) {}

    /** A contact at a controller; {@code from} is the ring that brought it here, or null. */
    private final class Offer {
        final ControllerNode at;
        final Contact contact;
        final RingInFlight from;
        boolean answered;

        Offer(ControllerNode at, Contact contact, RingInFlight from) {
            this.at = at;
            this.contact = contact;
            this.from = from;
        }

        String key() {
            return at.number + "." + at.life + "/" + contact.id();
        }
    }

    private final class RingInFlight {
        final Offer offer;
        final int ring;
        final int to;
        final long target;
        final String group;
        Offer beyond;
        boolean stood;
        boolean sure;
        boolean calledOff;
        RingEndCause back;

        RingInFlight(Offer offer, int ring, long target) {
            this.offer = offer;
            this.ring = ring;
            this.target = target;
            to = number(target);
            group = group(offer.at.number, to);
        }

        boolean last() {
            return to == offer.contact.destination();
        }
    }

    private final RuleChecker rules = new RuleChecker(GRACE, RELEASE, WARM);
    private final Parameters plan;
    private final UnaryOperator<Orders> spoilsOrders;
    private final java.util.function.Function<Controller, Controller> spoils;
    private final Map<String, Integer> free = new LinkedHashMap<>();
    private final Map<String, Integer> size = new HashMap<>();
    private final Map<Integer, SwitchEntry> lines = new LinkedHashMap<>();
    private final Map<Integer, ControllerNode> controls = new LinkedHashMap<>();
    private final List<RingInFlight> flights = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> due =
            new PriorityQueue<>(Comparator.comparing(ScheduledEvent::at).thenComparing(ScheduledEvent::order));
    private final List<String> faults;
    private Moment now = new Moment(1_000_000_000_000L);
    private long count;
    private long ids;
    private int offered;
    private int troubles;
    private boolean left;

    ThreeExchangeSimulation(
            Parameters plan,
            UnaryOperator<Orders> spoilsOrders,
            java.util.function.Function<Controller, Controller> spoils) {
        this.plan = plan;
        this.spoilsOrders = spoilsOrders;
        this.spoils = spoils;
        faults = new ArrayList<>(plan.faults);
        group("0-1", plan.direct);
        group("0-2", plan.around);
        group("1-2", plan.around);
        for (int number = 0; number < 3; number++) {
            lines.put(number, new SwitchEntry(100 + number, number, State.READY, null, 0));
        }
        for (int number : new int[] {0, 2}) {
            controls.put(number, new ControllerNode(number, 0));
            controls.get(number).begin(ListKind.FULL);
        }
        if (faults.contains("cold")) {
            ordinaryTraffic();
        }
    }

    private void group(String name, int circuits) {
        free.put(name, circuits);
        size.put(name, circuits);
    }

    private static String group(int a, int b) {
        return Math.min(a, b) + "-" + Math.max(a, b);
    }

    private int number(long id) {
        return (int) (id % 100);
    }

    /** So that the module has something usual to measure a cold switch by: two contacts a second. */
    private void ordinaryTraffic() {
        for (int i = 0; i < 8; i++) {
            now = now.plus(Span.ofMillis(500));
            offer(0);
            List<RingInFlight> begun = List.copyOf(flights);
            begun.forEach(this::stands);
            begun.forEach(flight -> end(flight, RingEndCause.CONCLUDED, RejectionReason.NONE));
        }
        due.clear();
    }

    private void after(Span span, Runnable what) {
        due.add(new ScheduledEvent(now.plus(span), count++, what));
    }

    @Override
    public List<Event> enabledEvents() {
        List<Event> all = new ArrayList<>();
        if (offered < plan.offers) {
            all.add(new Event("offer", () -> offer(offered++ % 2)));
        }
        for (RingInFlight flight : flights) {
            flightEvents(flight, all);
        }
        for (ControllerNode control : controls.values()) {
            for (Offer offer : control.offers.values()) {
                if (!left && !offer.answered && offer.from == null) {
                    all.add(new Event("leaves " + offer.key(), () -> {
                        left = true;
                        leaves(offer);
                    }));
                }
            }
        }
        for (String fault : faults) {
            all.add(new Event(fault, () -> {
                faults.remove(fault);
                strike(fault);
            }));
        }
        if (!due.isEmpty()) {
            all.add(new Event("time", () -> {
                ScheduledEvent next = due.poll();
                now = now.before(next.at) ? next.at : now;
                rules.checkDeadlines(now);
                next.what.run();
            }));
        }
        return all;
    }

    private void flightEvents(RingInFlight flight, List<Event> all) {
        String name = flight.offer.key() + "#" + flight.ring;
        if (flight.back != null) {
            all.add(new Event(
                    name + " " + flight.back,
                    () -> end(
                            flight,
                            flight.back,
                            flight.back == RingEndCause.TURNED_BACK
                                    ? RejectionReason.TANDEM
                                    : RejectionReason.NO_CIRCUIT)));
            return;
        }
        if (!flight.stood && (flight.last() || flight.sure)) {
            all.add(new Event(name + " stands", () -> stands(flight)));
        }
        if (!flight.last() && flight.beyond == null && !flight.calledOff) {
            all.add(new Event(name + " arrives", () -> arrives(flight)));
        }
        if (flight.stood) {
            all.add(new Event(name + " concludes", () -> end(flight, RingEndCause.CONCLUDED, RejectionReason.NONE)));
        }
        if (flight.calledOff) {
            all.add(new Event(name + " is off", () -> end(flight, RingEndCause.CALLED_OFF, RejectionReason.NONE)));
        } else if (troubles < plan.troubles) {
            trouble(flight, name, RingEndCause.CUT, RejectionReason.NONE, all);
            if (!flight.stood) {
                trouble(flight, name, RingEndCause.TIMED_OUT, RejectionReason.NONE, all);
                trouble(flight, name, RingEndCause.UNREACHABLE, RejectionReason.NONE, all);
                trouble(flight, name, RingEndCause.BUSY, RejectionReason.LINES_BUSY, all);
                for (RejectionReason blame : TURNED) {
                    trouble(flight, name, RingEndCause.TURNED_BACK, blame, all);
                }
            }
        }
    }

    private void trouble(RingInFlight flight, String name, RingEndCause cause, RejectionReason blame, List<Event> all) {
        all.add(new Event(name + " " + cause + " " + blame, () -> {
            troubles++;
            end(flight, cause, blame);
        }));
    }

    private void offer(int skill) {
        ControllerNode control = controls.get(0);
        Contact contact = new Contact(
                ++ids,
                skill,
                70 + skill,
                1,
                -1,
                1,
                Span.ofMillis(skill == 0 ? plan.patience : plan.patience / 1.5),
                false,
                false,
                false);
        control.take(new Offer(control, contact, null));
    }

    private void arrives(RingInFlight flight) {
        ControllerNode control = controls.get(flight.to);
        Contact was = flight.offer.contact;
        Contact contact = new Contact(
                ++ids,
                was.skill(),
                was.dialledNumber(),
                was.destination(),
                flight.offer.at.number,
                1,
                Span.ofMillis(plan.patience / 2.0),
                false,
                true,
                false);
        flight.beyond = new Offer(control, contact, flight);
        control.take(flight.beyond);
    }

    private void stands(RingInFlight flight) {
        flight.stood = true;
        Offer offer = flight.offer;
        if (!offer.answered) {
            offer.answered = true;
            rules.contactAnswered(now, offer.key());
            if (offer.from != null) {
                offer.from.sure = true;
            }
        }
        offer.at.module.established(now, offer.contact.id(), flight.ring, flight.target, Span.ofMillis(10));
        told();
    }

    private void end(RingInFlight flight, RingEndCause cause, RejectionReason blame) {
        if (!flights.remove(flight)) {
            return;
        }
        Offer offer = flight.offer;
        if (cause != RingEndCause.NOT_SENT) {
            free.merge(flight.group, 1, Integer::sum);
        }
        rules.ringEnded(
                now,
                offer.key(),
                cause == RingEndCause.TIMED_OUT || cause == RingEndCause.CUT || cause == RingEndCause.CALLED_OFF);
        boolean stood = flight.stood;
        offer.at.module.ringEnded(
                now,
                new RingEnd(
                        offer.contact.id(),
                        flight.ring,
                        flight.target,
                        cause,
                        blame,
                        Span.ofMillis(10),
                        offer.answered,
                        new float[0]));
        if (flight.beyond != null) {
            leaves(flight.beyond);
        }
        if (stood && offer.from != null) {
            end(offer.from, cause, blame);
        }
        told();
    }

    /** The caller, or the exchange that this contact came from, wants it no more. */
    private void leaves(Offer offer) {
        if (!offer.answered) {
            offer.answered = true;
            rules.callerGone(offer.key());
            offer.at.module.callerGone(now, offer.contact.id());
        }
        List.copyOf(flights).stream()
                .filter(one -> one.offer == offer && one.stood)
                .forEach(one -> end(one, RingEndCause.CALLED_OFF, RejectionReason.NONE));
        told();
    }

    private void strike(String fault) {
        switch (fault) {
            case "drains" -> listed(1, State.DRAINING, null);
            case "gone" -> listed(1, State.GONE, null);
            case "tandem drains" -> listed(2, State.DRAINING, null);
            case "ready" -> listed(1, State.READY, null);
            case "replaced" -> {
                listed(1, State.GONE, null);
                lines.put(1, new SwitchEntry(201, 1, State.READY, now, 0));
                controls.values()
                        .forEach(one -> one.module.switchListReceived(now, ListKind.CHANGES, List.of(lines.get(1))));
                told();
            }
            case "cold" -> {
                rules.switchStarted(now, 101, 2.5);
                listed(1, State.READY, now);
            }
            case "restart" -> restart();
            case "jammed" -> report(new float[] {-1, -1, 0, 40});
            case "unknown" -> report(new float[] {-1, -1, Float.NaN, Float.POSITIVE_INFINITY});
            case "circuits lost" -> {
                size.put("0-1", 0);
                free.put("0-1", 0);
                told();
            }
            default -> throw new IllegalArgumentException(fault);
        }
    }

    private void report(float[] said) {
        controls.values()
                .forEach(one -> one.module.switchReported(now, 101, true, Span.ZERO, new float[] {
                    free.get(group(one.number, 1)), size.get(group(one.number, 1)), said[2], said[3]
                }));
    }

    private void listed(int number, State state, Moment started) {
        SwitchEntry was = lines.get(number);
        lines.put(number, new SwitchEntry(was.id(), number, state, started, 0));
        controls.values().forEach(one -> {
            rules.setDraining(now, "" + one.number, was.id(), state != State.READY);
            one.module.switchListReceived(now, ListKind.CHANGES, List.of(lines.get(number)));
        });
    }

    /** The controller at 0 dies, and what it held with it; the next one has nothing but the list. */
    private void restart() {
        ControllerNode dead = controls.get(0);
        controls.put(0, new ControllerNode(0, dead.life + 1));
        dead.offers.values().forEach(offer -> rules.callerGone(offer.key()));
        for (RingInFlight flight : List.copyOf(flights)) {
            if (flight.offer.at == dead && flights.remove(flight)) {
                free.merge(flight.group, 1, Integer::sum);
                if (flight.beyond != null) {
                    leaves(flight.beyond);
                }
            }
        }
        controls.get(0).begin(ListKind.CACHED);
    }

    /** Each end of a group is told of it. */
    private void told() {
        for (ControllerNode control : controls.values()) {
            for (int far = 0; far < 3; far++) {
                Integer spare = far == control.number ? null : free.get(group(control.number, far));
                if (spare != null) {
                    control.module.switchReported(now, lines.get(far).id(), true, Span.ZERO, new float[] {
                        Math.max(0, spare), size.get(group(control.number, far)), -1, -1
                    });
                }
            }
        }
    }

    @Override
    public RuleChecker rules() {
        return rules;
    }

    @Override
    public void checkQuiescent() {
        for (ControllerNode control : controls.values()) {
            if (!control.logic.contactManager.openContacts.isEmpty()) {
                rules.addViolation("quiet", "open at " + control.number + " " + control.logic.contactManager.openContacts.keySet());
            }
            for (long id : new long[] {100, 101, 102, 201}) {
                RoutingPolicy.Switch one = control.logic.switchById(id);
                int held = java.util.Arrays.stream(one.heldBySkill).sum();
                if (held != 0 || !one.inFlight.isEmpty() || !one.established.isEmpty() || !one.waitingRequests.isEmpty()) {
                    rules.addViolation(
                            "quiet",
                            control.number + " holds " + held + " circuits toward " + id
                                    + ", rings " + one.inFlight.keySet() + ", standing " + one.established.keySet()
                                    + ", waiting "
                                    + one.waitingRequests.size());
                }
            }
        }
    }

    final class ControllerNode implements Orders {
        final int number;
        final int life;
        final RoutingPolicy logic;
        final Controller module;
        final Map<Long, Offer> offers = new LinkedHashMap<>();
        private final Map<Long, Integer> rings = new HashMap<>();

        ControllerNode(int number, int life) {
            this.number = number;
            this.life = life;
            Map<String, String> settings = new HashMap<>(new martenslip.ExchangeFixture().settings);
            settings.putAll(Map.of(
                    "classes.0.aim-ns",
                    "100000000",
                    "classes.1.aim-ns",
                    "100000000",
                    "family-info.mean-hold-ns",
                    "1000000000,500000000",
                    "family-info.home-no",
                    "" + number,
                    "family-info.release-ns",
                    "" + RELEASE.ns(),
                    "round-ns",
                    "" + ROUND.ns(),
                    "guarantees.warm-within-ns",
                    "" + WARM.ns(),
                    "guarantees.fall-multiple",
                    "3",
                    "report.fields",
                    "spare,total,allowed,depth",
                    "policy-limits.send-cap",
                    "3"));
            settings.put("classes.0.hard-limit-ns", "600000000");
            settings.put("classes.1.hard-limit-ns", "400000000");
            logic = new RoutingPolicy(settings, 7, now, spoilsOrders.apply(this));
            module = spoils.apply(logic);
        }

        void begin(ListKind kind) {
            module.switchListReceived(now, kind, List.copyOf(lines.values()));
            lines.values().forEach(line -> rules.setDraining(now, "" + number, line.id(), line.state() != State.READY));
            told();
        }

        void take(Offer offer) {
            offers.put(offer.contact.id(), offer);
            rules.contactTaken(offer.key(), now.plus(offer.contact.patience()));
            after(offer.contact.patience().plus(new Span(1)), () -> {
                if (!offer.answered && life == controls.get(number).life) {
                    leaves(offer);
                }
            });
            module.contactOffered(now, offer.contact);
            told();
        }

        @Override
        public void ring(long contact, long target, Span limit) {
            Offer offer = offers.get(contact);
            int ring = rings.merge(contact, 1, Integer::sum) - 1;
            RingInFlight flight = new RingInFlight(offer, ring, target);
            rules.ringSent(now, "" + number, offer.key(), target);
            flights.add(flight);
            if (free.getOrDefault(flight.group, 0) < 1) {
                flight.back = RingEndCause.NOT_SENT;
                return;
            }
            free.merge(flight.group, -1, Integer::sum);
            after(limit, () -> {
                if (!flight.stood) {
                    end(flight, RingEndCause.TIMED_OUT, RejectionReason.NONE);
                }
            });
        }

        @Override
        public void cancel(long contact, int ring) {
            flights.stream()
                    .filter(one -> one.offer.contact.id() == contact && one.ring == ring)
                    .forEach(one -> one.calledOff = true);
        }

        private void answered(long contact) {
            Offer offer = offers.get(contact);
            rules.contactAnswered(now, offer.key());
            offer.answered = true;
            if (offer.from != null) {
                offer.from.back = RingEndCause.TURNED_BACK;
            }
        }

        @Override
        public void defer(long contact, Span comeBack) {
            answered(contact);
        }

        @Override
        public void abandon(long contact) {
            answered(contact);
        }

        @Override
        public void startTimer(Span delay, long token) {
            after(plan.late ? delay.plus(ROUND) : delay, () -> {
                if (controls.get(number) == this) {
                    module.timerExpired(now, token);
                    told();
                }
            });
        }

        @Override
        public void probe(long target) {
            // Not allowed here.
        }

        @Override
        public void sendNote(int peer, byte[] note) {
            // Not allowed here.
        }

        @Override
        public void watchSwitchList(boolean on) {
            // The list is told unasked.
        }

        @Override
        public void log(String line) {
            // Nobody reads it.
        }
    }
}
