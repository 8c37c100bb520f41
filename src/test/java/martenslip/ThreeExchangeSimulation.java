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
 * Simulates exchanges 0, 1 and 2 with a group between each pair. The real module controls 0 and 2; 2 is the tandem from
 * 0 to 1. The simulation lists the events that may happen next, the explorer picks one, and {@link RuleChecker} checks
 * the rules.
 */
final class ThreeExchangeSimulation implements InterleavingExplorer.Simulation {
    static final Span RELEASE_TIME = Span.ofMillis(100);
    static final Span TIMER_ROUND = Span.ofMillis(25);
    static final Span DRAIN_GRACE = Span.ofMillis(50);
    static final Span WARM_UP_TIME = Span.ofMillis(4000);
    private static final RejectionReason[] TURN_BACK_REASONS = {RejectionReason.NO_CIRCUIT, RejectionReason.PROCESSOR};

    /** Circuits of the groups, events and faults; with {@code lateTimers} every timer expires a round late. */
    record Parameters(
            int directCircuits,
            int tandemCircuits,
            int offers,
            int failures,
            boolean lateTimers,
            int patience,
            List<String> faults) {}

    private record ScheduledEvent(Moment at, long order, Runnable action) {}

    /** A contact at a controller; {@code incomingRing} is the ring of the exchange before it, or null. */
    private final class Offer {
        final ControllerNode node;
        final Contact contact;
        final RingInFlight incomingRing;
        boolean answered;

        Offer(ControllerNode node, Contact contact, RingInFlight incomingRing) {
            this.node = node;
            this.contact = contact;
            this.incomingRing = incomingRing;
        }

        String key() {
            return node.number + "." + node.generation + "/" + contact.id();
        }
    }

    private final class RingInFlight {
        final Offer offer;
        final int ring;
        final int targetNumber;
        final long target;
        final String group;
        Offer transitOffer;
        boolean established;
        boolean answeredBeyond;
        boolean cancelled;
        RingEndCause refusal;

        RingInFlight(Offer offer, int ring, long target) {
            this.offer = offer;
            this.ring = ring;
            this.target = target;
            targetNumber = number(target);
            group = group(offer.node.number, targetNumber);
        }

        boolean reachesDestination() {
            return targetNumber == offer.contact.destination();
        }
    }

    private final RuleChecker rules = new RuleChecker(DRAIN_GRACE, RELEASE_TIME, WARM_UP_TIME);
    private final Parameters parameters;
    private final UnaryOperator<Orders> ordersInterceptor;
    private final java.util.function.Function<Controller, Controller> controllerInterceptor;
    private final Map<String, Integer> freeCircuits = new LinkedHashMap<>();
    private final Map<String, Integer> groupSizes = new HashMap<>();
    private final Map<Integer, SwitchEntry> entries = new LinkedHashMap<>();
    private final Map<Integer, ControllerNode> nodes = new LinkedHashMap<>();
    private final List<RingInFlight> inFlight = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> scheduledEvents =
            new PriorityQueue<>(Comparator.comparing(ScheduledEvent::at).thenComparing(ScheduledEvent::order));
    private final List<String> pendingFaults;
    private Moment now = new Moment(1_000_000_000_000L);
    private long nextSequence;
    private long lastContactId;
    private int offered;
    private int failures;
    private boolean callerLeft;

    ThreeExchangeSimulation(
            Parameters parameters,
            UnaryOperator<Orders> ordersInterceptor,
            java.util.function.Function<Controller, Controller> controllerInterceptor) {
        this.parameters = parameters;
        this.ordersInterceptor = ordersInterceptor;
        this.controllerInterceptor = controllerInterceptor;
        pendingFaults = new ArrayList<>(parameters.faults);
        group("0-1", parameters.directCircuits);
        group("0-2", parameters.tandemCircuits);
        group("1-2", parameters.tandemCircuits);
        for (int number = 0; number < 3; number++) {
            entries.put(number, new SwitchEntry(100 + number, number, State.READY, null, 0));
        }
        for (int number : new int[] {0, 2}) {
            nodes.put(number, new ControllerNode(number, 0));
            nodes.get(number).begin(ListKind.FULL);
        }
        if (pendingFaults.contains("cold")) {
            playOrdinaryTraffic();
        }
    }

    private void group(String name, int circuits) {
        freeCircuits.put(name, circuits);
        groupSizes.put(name, circuits);
    }

    private static String group(int firstNumber, int secondNumber) {
        return Math.min(firstNumber, secondNumber) + "-" + Math.max(firstNumber, secondNumber);
    }

    private int number(long id) {
        return (int) (id % 100);
    }

    /** Two contacts a second, from which the module learns the usual rate that limits a cold switch. */
    private void playOrdinaryTraffic() {
        for (int i = 0; i < 8; i++) {
            now = now.plus(Span.ofMillis(500));
            offer(0);
            List<RingInFlight> started = List.copyOf(inFlight);
            started.forEach(this::establish);
            started.forEach(ring -> endRing(ring, RingEndCause.CONCLUDED, RejectionReason.NONE));
        }
        scheduledEvents.clear();
    }

    private void schedule(Span delay, Runnable action) {
        scheduledEvents.add(new ScheduledEvent(now.plus(delay), nextSequence++, action));
    }

    @Override
    public List<Event> enabledEvents() {
        List<Event> all = new ArrayList<>();
        if (offered < parameters.offers) {
            all.add(new Event("offer", () -> offer(offered++ % 2)));
        }
        for (RingInFlight ring : inFlight) {
            addRingEvents(ring, all);
        }
        for (ControllerNode node : nodes.values()) {
            for (Offer offer : node.offers.values()) {
                if (!callerLeft && !offer.answered && offer.incomingRing == null) {
                    all.add(new Event("leaves " + offer.key(), () -> {
                        callerLeft = true;
                        callerLeaves(offer);
                    }));
                }
            }
        }
        for (String fault : pendingFaults) {
            all.add(new Event(fault, () -> {
                pendingFaults.remove(fault);
                applyFault(fault);
            }));
        }
        if (!scheduledEvents.isEmpty()) {
            all.add(new Event("time", () -> {
                ScheduledEvent event = scheduledEvents.poll();
                now = now.before(event.at) ? event.at : now;
                rules.checkDeadlines(now);
                event.action.run();
            }));
        }
        return all;
    }

    private void addRingEvents(RingInFlight ring, List<Event> events) {
        String name = ring.offer.key() + "#" + ring.ring;
        if (ring.refusal != null) {
            events.add(new Event(
                    name + " " + ring.refusal,
                    () -> endRing(
                            ring,
                            ring.refusal,
                            ring.refusal == RingEndCause.TURNED_BACK
                                    ? RejectionReason.TANDEM
                                    : RejectionReason.NO_CIRCUIT)));
            return;
        }
        if (!ring.established && (ring.reachesDestination() || ring.answeredBeyond)) {
            events.add(new Event(name + " established", () -> establish(ring)));
        }
        if (!ring.reachesDestination() && ring.transitOffer == null && !ring.cancelled) {
            events.add(new Event(name + " arrives", () -> arriveAtTandem(ring)));
        }
        if (ring.established) {
            events.add(
                    new Event(name + " concludes", () -> endRing(ring, RingEndCause.CONCLUDED, RejectionReason.NONE)));
        }
        if (ring.cancelled) {
            events.add(
                    new Event(name + " cancelled", () -> endRing(ring, RingEndCause.CALLED_OFF, RejectionReason.NONE)));
        } else if (failures < parameters.failures) {
            addFailureEvent(ring, name, RingEndCause.CUT, RejectionReason.NONE, events);
            if (!ring.established) {
                addFailureEvent(ring, name, RingEndCause.TIMED_OUT, RejectionReason.NONE, events);
                addFailureEvent(ring, name, RingEndCause.UNREACHABLE, RejectionReason.NONE, events);
                addFailureEvent(ring, name, RingEndCause.BUSY, RejectionReason.LINES_BUSY, events);
                for (RejectionReason reason : TURN_BACK_REASONS) {
                    addFailureEvent(ring, name, RingEndCause.TURNED_BACK, reason, events);
                }
            }
        }
    }

    private void addFailureEvent(
            RingInFlight ring, String name, RingEndCause cause, RejectionReason reason, List<Event> events) {
        events.add(new Event(name + " " + cause + " " + reason, () -> {
            failures++;
            endRing(ring, cause, reason);
        }));
    }

    private void offer(int skill) {
        ControllerNode node = nodes.get(0);
        Contact contact = new Contact(
                ++lastContactId,
                skill,
                70 + skill,
                1,
                -1,
                1,
                Span.ofMillis(skill == 0 ? parameters.patience : parameters.patience / 1.5),
                false,
                false,
                false);
        node.take(new Offer(node, contact, null));
    }

    private void arriveAtTandem(RingInFlight ring) {
        ControllerNode node = nodes.get(ring.targetNumber);
        Contact offered = ring.offer.contact;
        Contact contact = new Contact(
                ++lastContactId,
                offered.skill(),
                offered.dialledNumber(),
                offered.destination(),
                ring.offer.node.number,
                1,
                Span.ofMillis(parameters.patience / 2.0),
                false,
                true,
                false);
        ring.transitOffer = new Offer(node, contact, ring);
        node.take(ring.transitOffer);
    }

    private void establish(RingInFlight ring) {
        ring.established = true;
        Offer offer = ring.offer;
        if (!offer.answered) {
            offer.answered = true;
            rules.contactAnswered(now, offer.key());
            if (offer.incomingRing != null) {
                offer.incomingRing.answeredBeyond = true;
            }
        }
        offer.node.module.established(now, offer.contact.id(), ring.ring, ring.target, Span.ofMillis(10));
        reportGroups();
    }

    private void endRing(RingInFlight ring, RingEndCause cause, RejectionReason reason) {
        if (!inFlight.remove(ring)) {
            return;
        }
        Offer offer = ring.offer;
        if (cause != RingEndCause.NOT_SENT) {
            freeCircuits.merge(ring.group, 1, Integer::sum);
        }
        rules.ringEnded(
                now,
                offer.key(),
                cause == RingEndCause.TIMED_OUT || cause == RingEndCause.CUT || cause == RingEndCause.CALLED_OFF);
        boolean established = ring.established;
        offer.node.module.ringEnded(
                now,
                new RingEnd(
                        offer.contact.id(),
                        ring.ring,
                        ring.target,
                        cause,
                        reason,
                        Span.ofMillis(10),
                        offer.answered,
                        new float[0]));
        if (ring.transitOffer != null) {
            callerLeaves(ring.transitOffer);
        }
        if (established && offer.incomingRing != null) {
            endRing(offer.incomingRing, cause, reason);
        }
        reportGroups();
    }

    /** The caller, or the exchange that this contact came from, gives it up. */
    private void callerLeaves(Offer offer) {
        if (!offer.answered) {
            offer.answered = true;
            rules.callerGone(offer.key());
            offer.node.module.callerGone(now, offer.contact.id());
        }
        List.copyOf(inFlight).stream()
                .filter(ring -> ring.offer == offer && ring.established)
                .forEach(ring -> endRing(ring, RingEndCause.CALLED_OFF, RejectionReason.NONE));
        reportGroups();
    }

    private void applyFault(String fault) {
        switch (fault) {
            case "drains" -> changeEntry(1, State.DRAINING, null);
            case "gone" -> changeEntry(1, State.GONE, null);
            case "tandem drains" -> changeEntry(2, State.DRAINING, null);
            case "ready" -> changeEntry(1, State.READY, null);
            case "replaced" -> {
                changeEntry(1, State.GONE, null);
                entries.put(1, new SwitchEntry(201, 1, State.READY, now, 0));
                nodes.values()
                        .forEach(
                                node -> node.module.switchListReceived(now, ListKind.CHANGES, List.of(entries.get(1))));
                reportGroups();
            }
            case "cold" -> {
                rules.switchStarted(now, 101, 2.5);
                changeEntry(1, State.READY, now);
            }
            case "restart" -> restart();
            case "jammed" -> reportProcessor(new float[] {-1, -1, 0, 40});
            case "unknown" -> reportProcessor(new float[] {-1, -1, Float.NaN, Float.POSITIVE_INFINITY});
            case "circuits lost" -> {
                groupSizes.put("0-1", 0);
                freeCircuits.put("0-1", 0);
                reportGroups();
            }
            default -> throw new IllegalArgumentException(fault);
        }
    }

    private void reportProcessor(float[] report) {
        nodes.values()
                .forEach(node -> node.module.switchReported(now, 101, true, Span.ZERO, new float[] {
                    freeCircuits.get(group(node.number, 1)), groupSizes.get(group(node.number, 1)), report[2], report[3]
                }));
    }

    private void changeEntry(int number, State state, Moment startedAt) {
        SwitchEntry previous = entries.get(number);
        entries.put(number, new SwitchEntry(previous.id(), number, state, startedAt, 0));
        nodes.values().forEach(node -> {
            rules.setDraining(now, "" + node.number, previous.id(), state != State.READY);
            node.module.switchListReceived(now, ListKind.CHANGES, List.of(entries.get(number)));
        });
    }

    /** The controller of exchange 0 stops and loses its state; its successor has only the cached switch list. */
    private void restart() {
        ControllerNode stopped = nodes.get(0);
        nodes.put(0, new ControllerNode(0, stopped.generation + 1));
        stopped.offers.values().forEach(offer -> rules.callerGone(offer.key()));
        for (RingInFlight ring : List.copyOf(inFlight)) {
            if (ring.offer.node == stopped && inFlight.remove(ring)) {
                freeCircuits.merge(ring.group, 1, Integer::sum);
                if (ring.transitOffer != null) {
                    callerLeaves(ring.transitOffer);
                }
            }
        }
        nodes.get(0).begin(ListKind.CACHED);
    }

    /** Reports the free circuits of each group to both ends. */
    private void reportGroups() {
        for (ControllerNode node : nodes.values()) {
            for (int farNumber = 0; farNumber < 3; farNumber++) {
                Integer free = farNumber == node.number ? null : freeCircuits.get(group(node.number, farNumber));
                if (free != null) {
                    node.module.switchReported(now, entries.get(farNumber).id(), true, Span.ZERO, new float[] {
                        Math.max(0, free), groupSizes.get(group(node.number, farNumber)), -1, -1
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
        for (ControllerNode node : nodes.values()) {
            if (!node.policy.contactManager.openContacts.isEmpty()) {
                rules.addViolation(
                        "quiet", "open at " + node.number + " " + node.policy.contactManager.openContacts.keySet());
            }
            for (long id : new long[] {100, 101, 102, 201}) {
                RoutingPolicy.Switch trunkSwitch = node.policy.switchById(id);
                int held = java.util.Arrays.stream(trunkSwitch.heldBySkill).sum();
                if (held != 0
                        || !trunkSwitch.inFlight.isEmpty()
                        || !trunkSwitch.established.isEmpty()
                        || !trunkSwitch.waitingRequests.isEmpty()) {
                    rules.addViolation(
                            "quiet",
                            node.number + " holds " + held + " circuits toward " + id
                                    + ", rings " + trunkSwitch.inFlight.keySet() + ", established "
                                    + trunkSwitch.established.keySet()
                                    + ", waiting "
                                    + trunkSwitch.waitingRequests.size());
                }
            }
        }
    }

    final class ControllerNode implements Orders {
        final int number;
        final int generation;
        final RoutingPolicy policy;
        final Controller module;
        final Map<Long, Offer> offers = new LinkedHashMap<>();
        private final Map<Long, Integer> ringCounts = new HashMap<>();

        ControllerNode(int number, int generation) {
            this.number = number;
            this.generation = generation;
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
                    "" + RELEASE_TIME.ns(),
                    "round-ns",
                    "" + TIMER_ROUND.ns(),
                    "guarantees.warm-within-ns",
                    "" + WARM_UP_TIME.ns(),
                    "guarantees.fall-multiple",
                    "3",
                    "report.fields",
                    "spare,total,allowed,depth",
                    "policy-limits.send-cap",
                    "3"));
            settings.put("classes.0.hard-limit-ns", "600000000");
            settings.put("classes.1.hard-limit-ns", "400000000");
            policy = new RoutingPolicy(settings, 7, now, ordersInterceptor.apply(this));
            module = controllerInterceptor.apply(policy);
        }

        void begin(ListKind kind) {
            module.switchListReceived(now, kind, List.copyOf(entries.values()));
            entries.values()
                    .forEach(entry -> rules.setDraining(now, "" + number, entry.id(), entry.state() != State.READY));
            reportGroups();
        }

        void take(Offer offer) {
            offers.put(offer.contact.id(), offer);
            rules.contactTaken(offer.key(), now.plus(offer.contact.patience()));
            schedule(offer.contact.patience().plus(new Span(1)), () -> {
                if (!offer.answered && generation == nodes.get(number).generation) {
                    callerLeaves(offer);
                }
            });
            module.contactOffered(now, offer.contact);
            reportGroups();
        }

        @Override
        public void ring(long contact, long target, Span limit) {
            Offer offer = offers.get(contact);
            int ring = ringCounts.merge(contact, 1, Integer::sum) - 1;
            RingInFlight inFlightRing = new RingInFlight(offer, ring, target);
            rules.ringSent(now, "" + number, offer.key(), target);
            inFlight.add(inFlightRing);
            if (freeCircuits.getOrDefault(inFlightRing.group, 0) < 1) {
                inFlightRing.refusal = RingEndCause.NOT_SENT;
                return;
            }
            freeCircuits.merge(inFlightRing.group, -1, Integer::sum);
            schedule(limit, () -> {
                if (!inFlightRing.established) {
                    endRing(inFlightRing, RingEndCause.TIMED_OUT, RejectionReason.NONE);
                }
            });
        }

        @Override
        public void cancel(long contact, int ring) {
            inFlight.stream()
                    .filter(inFlightRing -> inFlightRing.offer.contact.id() == contact && inFlightRing.ring == ring)
                    .forEach(inFlightRing -> inFlightRing.cancelled = true);
        }

        private void answered(long contact) {
            Offer offer = offers.get(contact);
            rules.contactAnswered(now, offer.key());
            offer.answered = true;
            if (offer.incomingRing != null) {
                offer.incomingRing.refusal = RingEndCause.TURNED_BACK;
            }
        }

        @Override
        public void defer(long contact, Span retryAfter) {
            answered(contact);
        }

        @Override
        public void abandon(long contact) {
            answered(contact);
        }

        @Override
        public void startTimer(Span delay, long token) {
            schedule(parameters.lateTimers ? delay.plus(TIMER_ROUND) : delay, () -> {
                if (nodes.get(number) == this) {
                    module.timerExpired(now, token);
                    reportGroups();
                }
            });
        }

        @Override
        public void probe(long target) {
            // The settings do not allow this order.
        }

        @Override
        public void sendNote(int peer, byte[] note) {
            // The settings do not allow this order.
        }

        @Override
        public void watchSwitchList(boolean enabled) {
            // The simulation sends the list without a subscription.
        }

        @Override
        public void log(String line) {
            // The log is not checked.
        }
    }
}
