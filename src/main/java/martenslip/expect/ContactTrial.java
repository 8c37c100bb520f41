package martenslip.expect;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.configuration.Skill;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.ControllerFactory;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.expect.Expectation.Condition;

/**
 * Simulates how one contact is routed. Switch list, group sizes and switch reports follow from the conditions of an
 * expectation; events run in simulated time. An exchange whose configuration is known decides with a controller of its
 * own. Other tandems reject the contact, or connect it where only the origin's configuration is known. The result
 * depends on the seed and the arguments only; no I/O.
 */
public final class ContactTrial {
    /** How the contact ended: established, or refused by one of the two final refusals. */
    public enum FinalState {
        STOOD,
        DEFERRED,
        ABANDONED
    }

    /** The exchanges that the origin's rings went to, in order, the result of each ring, and the contact's final state. */
    public record RouteTaken(List<Integer> triedExchanges, List<String> ringResults, FinalState finalState) {}

    private static final Span NETWORK_DELAY = Span.ofMillis(5);
    private static final Moment START_TIME = new Moment(Span.ofMillis(1_000_000).ns());
    /** Appended to a prefix to form a dialled number. */
    private static final String LAST_DIGITS = "00000";

    /** Longer than any period of the rules, so that a state is known and in force before the contact is offered. */
    private static final Span SETTLING_TIME = Span.ofMillis(60_000);

    private static final Span DEADLINE_MARGIN = Span.ofMillis(1000);
    private static final Span MAX_TIMER_LATENESS = Span.ofMillis(25);
    /** After this time, or the limit of the ring if that is shorter, a ring without an answer ends. */
    private static final Span NO_ANSWER_TIMEOUT = Span.ofMillis(900);

    private record Event(Moment time, long sequence, Runnable action) {}

    private final Map<Integer, ExchangeConfiguration> configurations;
    private final Map<Integer, String> regionsByExchange;
    private final ExchangeConfiguration origin;
    private final ControllerFactory controllerFactory;
    private final long seed;
    private final Map<Integer, Condition.State> switchStates = new HashMap<>();
    private final Map<String, Integer> freeCircuitsByGroup = new HashMap<>();
    private final Map<Integer, SimulatedController> controllers = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::time).thenComparing(Event::sequence));
    private final List<Integer> triedExchanges = new ArrayList<>();
    private final List<String> ringResults = new ArrayList<>();
    private String cutRegion;
    private long nextSequence;
    private Moment now = START_TIME;
    private FinalState finalState;

    /**
     * Prepares a trial.
     *
     * @param configurations configurations by exchange number: of the origin and, as far as known, of others
     * @param originNumber number of the exchange that the contact is offered to
     * @param conditions state of switches, groups and regions during the trial
     */
    public ContactTrial(
            Map<Integer, ExchangeConfiguration> configurations,
            int originNumber,
            Map<Integer, String> regionsByExchange,
            ControllerFactory controllerFactory,
            List<Condition> conditions,
            long seed) {
        this.configurations = configurations;
        this.origin = configurations.get(originNumber);
        this.regionsByExchange = regionsByExchange;
        this.controllerFactory = controllerFactory;
        this.seed = seed;
        for (Condition condition : conditions) {
            if (condition instanceof Condition.Desk desk) {
                switchStates.put(desk.exchange(), desk.state());
            } else if (condition instanceof Condition.Group group) {
                freeCircuitsByGroup.put(group.name(), group.free());
            } else if (condition instanceof Condition.Cut region) {
                cutRegion = region.region();
            }
        }
    }

    /** Offers a contact of the skill for the destination and returns the route that it took. Call once per trial. */
    public RouteTaken offer(int skill, int destination) {
        SimulatedController originController = controllerOf(origin.number());
        Skill skillConfiguration = origin.skills().get(skill);
        Moment deadline = now.plus(SETTLING_TIME)
                .plus(skillConfiguration.patience().times(2))
                .plus(DEADLINE_MARGIN);
        if (switchStates.containsValue(Condition.State.SILENT)) {
            detectSilentSwitches(originController, deadline);
        }
        originController.offerContact(destination, skill, -1, skillConfiguration.patience(), null);
        runUntil(deadline);
        // A contact without a final answer by the deadline counts as abandoned.
        return new RouteTaken(
                List.copyOf(triedExchanges),
                List.copyOf(ringResults),
                finalState == null ? FinalState.ABANDONED : finalState);
    }

    /** A controller knows a switch as silent once a ring got no answer, so a contact for each silent switch comes first. */
    private void detectSilentSwitches(SimulatedController originController, Moment deadline) {
        switchStates.forEach((exchange, state) -> {
            if (state == Condition.State.SILENT && exchange != origin.number()) {
                originController.offerContact(
                        exchange,
                        origin.defaultSkill(),
                        -1,
                        origin.skills().get(origin.defaultSkill()).patience(),
                        null);
            }
        });
        runUntil(deadline);
        finalState = null;
        triedExchanges.clear();
        ringResults.clear();
    }

    /** Runs events in the order of their times until a contact of the origin ends or the deadline is reached. */
    private void runUntil(Moment deadline) {
        while (finalState == null && !events.isEmpty() && events.peek().time().before(deadline)) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
    }

    private void schedule(Span delay, Runnable action) {
        events.add(new Event(now.plus(delay), nextSequence++, action));
    }

    /** Returns the controller of an exchange; creates it at its first use. */
    private SimulatedController controllerOf(int exchange) {
        return controllers.computeIfAbsent(exchange, ignored -> new SimulatedController(configurations.get(exchange)));
    }

    private boolean unreachable(int exchange) {
        return switchStates.get(exchange) == Condition.State.GONE
                || switchStates.get(exchange) == Condition.State.SILENT
                || severed(origin.number(), exchange);
    }

    /** Returns whether the two exchanges are on different sides of a region that is cut off. */
    private boolean severed(int firstExchange, int secondExchange) {
        return cutRegion != null
                && cutRegion.equals(regionsByExchange.get(firstExchange))
                        != cutRegion.equals(regionsByExchange.get(secondExchange));
    }

    /** Receives the result of a ring at the exchange that ordered it. */
    private interface RingResultHandler {
        void established();

        void rejected(RingEndCause cause, RejectionReason reason);
    }

    /** One exchange with its controller. The identifier of a switch is its exchange number + 1. */
    private final class SimulatedController implements Orders {
        private final ExchangeConfiguration configuration;
        private final Controller controller;
        private final Map<Long, RingResultHandler> resultHandlers = new HashMap<>();
        private final Map<Long, Contact> contacts = new HashMap<>();
        private final Map<Long, Integer> ringCounts = new HashMap<>();
        private long lastContactId;

        SimulatedController(ExchangeConfiguration configuration) {
            this.configuration = configuration;
            controller = controllerFactory.create(
                    configuration.settings(MAX_TIMER_LATENESS), seed * 1009 + configuration.number(), now, this);
            List<SwitchEntry> entries = new ArrayList<>();
            for (int exchange : configuration.numbering().exchanges()) {
                Condition.State state = switchStates.get(exchange);
                if (state != Condition.State.GONE) {
                    boolean cold = state == Condition.State.COLD;
                    entries.add(new SwitchEntry(
                            exchange + 1,
                            exchange,
                            state == Condition.State.DRAINING ? SwitchEntry.State.DRAINING : SwitchEntry.State.READY,
                            cold ? now : null,
                            configuration.regions().indexOf(regionsByExchange.getOrDefault(exchange, ""))));
                }
            }
            controller.switchListReceived(now, Controller.ListKind.FULL, entries);
            for (ExchangeConfiguration.Group group : configuration.groups().values()) {
                if (switchStates.get(group.farExchange()) != Condition.State.GONE) {
                    int freeCircuits = freeCircuits(group);
                    reportSwitch(
                            group.farExchange(), Math.max(0, freeCircuits), freeCircuits < 0 ? 0 : group.circuits());
                }
            }
        }

        private int freeCircuits(ExchangeConfiguration.Group group) {
            return freeCircuitsByGroup.getOrDefault(group.name(), group.circuits());
        }

        /** Reports the circuits toward a switch and, in each configured field, whether its processor is pressed. */
        private void reportSwitch(int exchange, int freeCircuits, int totalCircuits) {
            boolean pressed = switchStates.get(exchange) == Condition.State.PRESSED;
            float[] report =
                    new float[2 + configuration.configuredReportFields().size()];
            report[0] = freeCircuits;
            report[1] = totalCircuits;
            for (int i = 0; i < configuration.configuredReportFields().size(); i++) {
                report[2 + i] = switch (configuration.configuredReportFields().get(i)) {
                    case "allowed" -> 100;
                    case "cut_by", "depth", "mean_ms" -> 0;
                    default -> -1;
                };
            }
            // A controller compares what a processor allows with its usual value, so a report of normal load comes
            // first.
            controller.switchReported(now, exchange + 1, true, Span.ZERO, report.clone());
            for (int i = 0;
                    pressed && i < configuration.configuredReportFields().size();
                    i++) {
                report[2 + i] = switch (configuration.configuredReportFields().get(i)) {
                    case "allowed" -> 1;
                    case "cut_by" -> 0.99f;
                    case "depth" -> 200;
                    case "mean_ms" -> 1500;
                    default -> -1;
                };
            }
            if (pressed) {
                controller.switchReported(now, exchange + 1, true, Span.ZERO, report);
            }
        }

        /** Offers a contact; {@code previousExchange} is -1 for a caller's contact, which has no handler either. */
        void offerContact(
                int destination, int skill, int previousExchange, Span patience, RingResultHandler resultHandler) {
            long contactId = ++lastContactId;
            Skill skillConfiguration = configuration.skills().get(skill);
            // The number is routed like a caller's: a longer prefix may lead to another exchange.
            String dialledNumber = configuration.numbering().firstPrefixOf(destination) + LAST_DIGITS;
            Contact contact = new Contact(
                    contactId,
                    skill,
                    Long.parseLong(dialledNumber.replace("+", "")),
                    configuration.numbering().exchangeForNumber(dialledNumber),
                    previousExchange,
                    skillConfiguration.width(),
                    patience,
                    false,
                    previousExchange >= 0,
                    false);
            contacts.put(contactId, contact);
            resultHandlers.put(contactId, resultHandler);
            // Expectations about a draining switch hold once its drain grace is over.
            Span delay = switchStates.containsValue(Condition.State.DRAINING) && previousExchange < 0
                    ? SETTLING_TIME
                    : Span.ZERO;
            schedule(delay, () -> controller.contactOffered(now, contact));
        }

        @Override
        public void ring(long contactId, long target, Span limit) {
            Contact contact = contacts.get(contactId);
            int ringNumber = ringCounts.merge(contactId, 1, Integer::sum) - 1;
            int exchange = (int) target - 1;
            boolean fromOrigin = configuration == origin;
            if (fromOrigin) {
                triedExchanges.add(exchange);
            }
            RingResultHandler resultHandler = new RingResultHandler() {
                @Override
                public void established() {
                    recordResult("stood");
                    controller.established(now, contactId, ringNumber, target, NETWORK_DELAY);
                    finishContact(contactId, FinalState.STOOD);
                }

                @Override
                public void rejected(RingEndCause cause, RejectionReason reason) {
                    recordResult(cause + (reason == RejectionReason.NONE ? "" : " " + reason));
                    controller.ringEnded(
                            now,
                            new RingEnd(
                                    contactId, ringNumber, target, cause, reason, NETWORK_DELAY, false, new float[0]));
                }

                private void recordResult(String result) {
                    if (fromOrigin) {
                        ringResults.add(result.toLowerCase(java.util.Locale.ROOT));
                    }
                }
            };
            schedule(NETWORK_DELAY, () -> deliverRing(contact, exchange, limit, resultHandler));
        }

        /** Lets a ring arrive: it times out, is rejected, is established, or goes on through a tandem. */
        private void deliverRing(Contact contact, int exchange, Span limit, RingResultHandler resultHandler) {
            ExchangeConfiguration.Group group = configuration.groups().get(exchange);
            if (unreachable(exchange) || severed(configuration.number(), exchange)) {
                schedule(
                        limit.atMost(NO_ANSWER_TIMEOUT),
                        () -> resultHandler.rejected(RingEndCause.TIMED_OUT, RejectionReason.NONE));
            } else if (switchStates.get(exchange) == Condition.State.PRESSED) {
                resultHandler.rejected(RingEndCause.TURNED_BACK, RejectionReason.PROCESSOR);
            } else if (group != null && freeCircuits(group) < contact.width()) {
                resultHandler.rejected(RingEndCause.TURNED_BACK, RejectionReason.NO_CIRCUIT);
            } else if (exchange == contact.destination() || configurations.size() == 1) {
                resultHandler.established();
            } else if (!configurations.containsKey(exchange)) {
                resultHandler.rejected(RingEndCause.TURNED_BACK, RejectionReason.TANDEM);
            } else {
                controllerOf(exchange)
                        .offerContact(
                                contact.destination(), contact.skill(), configuration.number(), limit, resultHandler);
            }
        }

        /** Ends a contact; the exchange that sent it here as a tandem, if any, receives the result of its ring. */
        private void finishContact(long contactId, FinalState outcome) {
            RingResultHandler resultHandler = resultHandlers.remove(contactId);
            if (configuration == origin) {
                finalState = finalState == null ? outcome : finalState;
            } else if (resultHandler != null) {
                if (outcome == FinalState.STOOD) {
                    resultHandler.established();
                } else {
                    resultHandler.rejected(RingEndCause.TURNED_BACK, RejectionReason.TANDEM);
                }
            }
        }

        @Override
        public void cancel(long contactId, int ringNumber) {
            // A simulated ring ends by its own result only.
        }

        @Override
        public void defer(long contactId, Span retryAfter) {
            finishContact(contactId, FinalState.DEFERRED);
        }

        @Override
        public void abandon(long contactId) {
            finishContact(contactId, FinalState.ABANDONED);
        }

        @Override
        public void startTimer(Span delay, long token) {
            schedule(delay, () -> controller.timerExpired(now, token));
        }

        @Override
        public void probe(long target) {
            boolean reached = !unreachable((int) target - 1);
            schedule(NETWORK_DELAY, () -> controller.switchReported(now, target, reached, NETWORK_DELAY, new float[0]));
        }

        @Override
        public void sendNote(int peer, byte[] note) {
            // With a single contact, peers have nothing to exchange.
        }

        @Override
        public void watchSwitchList(boolean watch) {
            // The full list was delivered at the start and does not change.
        }

        @Override
        public void log(String line) {
            // The trial returns the route, not the log.
        }
    }
}
