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
 * One contact through the very module, in a world that is told by hand: lists, groups and reports as the conditions
 * say, time driven. Tandems whose files are known decide with a module of their own; others turn back, or all lead on where no file but
 * the first is known. Deterministic by
 * its seed; without I/O.
 */
public final class ContactTrial {
    public enum FinalState {
        STOOD,
        DEFERRED,
        ABANDONED
    }

    /** The exchanges that the first exchange's rings went to, in turn, with what became of each, and the end. */
    public record RouteTaken(List<Integer> triedExchanges, List<String> ringResults, FinalState finalState) {}

    private static final Span NETWORK_DELAY = Span.ofMillis(5);
    private static final Moment START_TIME = new Moment(Span.ofMillis(1_000_000).ns());
    /** Past each rule's span, so a state is settled when the contact comes. */
    private static final String LAST_DIGITS = "00000";

    private static final Span SETTLING_TIME = Span.ofMillis(60_000);

    private record Event(Moment at, long sequence, Runnable action) {}

    private final Map<Integer, ExchangeConfiguration> configurations;
    private final Map<Integer, String> regionsByExchange;
    private final ExchangeConfiguration origin;
    private final ControllerFactory controllerFactory;
    private final long seed;
    private final Map<Integer, Condition.State> switchStates = new HashMap<>();
    private final Map<String, Integer> freeCircuitsByGroup = new HashMap<>();
    private final Map<Integer, SimulatedController> controllers = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::sequence));
    private final List<Integer> triedExchanges = new ArrayList<>();
    private final List<String> ringResults = new ArrayList<>();
    private String cutRegion;
    private long nextSequence;
    private Moment now = START_TIME;
    private FinalState finalState;

    /** {@code sites} holds the files of this and, as far as known, other exchanges. */
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

    /** Offers a contact of the skill for the exchange, and gives its way; each event is taken at its time. */
    public RouteTaken offer(int skill, int destination) {
        SimulatedController originController = controllerOf(origin.number());
        Skill skillConfiguration = origin.skills().get(skill);
        Moment deadline = now.plus(SETTLING_TIME).plus(skillConfiguration.patience().times(2)).plus(Span.ofMillis(1000));
        if (switchStates.containsValue(Condition.State.SILENT)) {
            detectSilentSwitches(originController, deadline);
        }
        originController.offerContact(destination, skill, -1, skillConfiguration.patience(), null);
        runUntil(deadline);
        return new RouteTaken(List.copyOf(triedExchanges), List.copyOf(ringResults), finalState == null ? FinalState.ABANDONED : finalState);
    }

    /** A switch is known as silent by a ring that it swallowed: contacts for it come first, and are let hang. */
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

    /** Takes events at their times until the contact has its end. */
    private void runUntil(Moment deadline) {
        while (finalState == null && !events.isEmpty() && events.peek().at().before(deadline)) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
    }

    private void schedule(Span delay, Runnable action) {
        events.add(new Event(now.plus(delay), nextSequence++, action));
    }

    private SimulatedController controllerOf(int exchange) {
        return controllers.computeIfAbsent(exchange, ignored -> new SimulatedController(configurations.get(exchange)));
    }

    private boolean unreachable(int exchange) {
        return switchStates.get(exchange) == Condition.State.GONE
                || switchStates.get(exchange) == Condition.State.SILENT
                || severed(origin.number(), exchange);
    }

    private boolean severed(int firstExchange, int secondExchange) {
        return cutRegion != null && cutRegion.equals(regionsByExchange.get(firstExchange)) != cutRegion.equals(regionsByExchange.get(secondExchange));
    }

    private interface RingResultHandler {
        void established();

        void rejected(RingEndCause cause, RejectionReason reason);
    }

    /** One exchange with its module. */
    private final class SimulatedController implements Orders {
        private final ExchangeConfiguration configuration;
        private final Controller controller;
        private final Map<Long, RingResultHandler> resultHandlers = new HashMap<>();
        private final Map<Long, Contact> contacts = new HashMap<>();
        private final Map<Long, Integer> ringCounts = new HashMap<>();
        private long lastContactId;

        SimulatedController(ExchangeConfiguration configuration) {
            this.configuration = configuration;
            controller = controllerFactory.create(configuration.settings(Span.ofMillis(25)), seed * 1009 + configuration.number(), now, this);
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
                    reportSwitch(group.farExchange(), Math.max(0, freeCircuits), freeCircuits < 0 ? 0 : group.circuits());
                }
            }
        }

        private int freeCircuits(ExchangeConfiguration.Group group) {
            return freeCircuitsByGroup.getOrDefault(group.name(), group.circuits());
        }

        /** A pressed processor says so in each field that the exchange asks for; an easy one says so too. */
        private void reportSwitch(int exchange, int freeCircuits, int totalCircuits) {
            boolean pressed = switchStates.get(exchange) == Condition.State.PRESSED;
            float[] report = new float[2 + configuration.configuredReportFields().size()];
            report[0] = freeCircuits;
            report[1] = totalCircuits;
            for (int i = 0; i < configuration.configuredReportFields().size(); i++) {
                report[2 + i] = switch (configuration.configuredReportFields().get(i)) {
                    case "allowed" -> 100;
                    case "cut_by", "depth", "mean_ms" -> 0;
                    default -> -1;
                };
            }
            // What a processor allows is judged against its usual, so that comes first.
            controller.switchReported(now, exchange + 1, true, Span.ZERO, report.clone());
            for (int i = 0; pressed && i < configuration.configuredReportFields().size(); i++) {
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

        void offerContact(int destination, int skill, int previousExchange, Span patience, RingResultHandler resultHandler) {
            long contactId = ++lastContactId;
            Skill skillConfiguration = configuration.skills().get(skill);
            // A number of the desk, led as a caller's is: a longer prefix may lead it elsewhere.
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
            // A drain is demanded of once its grace is over.
            Span delay = switchStates.containsValue(Condition.State.DRAINING) && previousExchange < 0 ? SETTLING_TIME : Span.ZERO;
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
                    told("stood");
                    controller.established(now, contactId, ringNumber, target, NETWORK_DELAY);
                    finishContact(contactId, FinalState.STOOD);
                }

                @Override
                public void rejected(RingEndCause cause, RejectionReason blame) {
                    told(cause + (blame == RejectionReason.NONE ? "" : " " + blame));
                    controller.ringEnded(now, new RingEnd(contactId, ringNumber, target, cause, blame, NETWORK_DELAY, false, new float[0]));
                }

                private void told(String what) {
                    if (fromOrigin) {
                        ringResults.add(what.toLowerCase(java.util.Locale.ROOT));
                    }
                }
            };
            schedule(NETWORK_DELAY, () -> deliverRing(contact, exchange, limit, resultHandler));
        }

        private void deliverRing(Contact contact, int exchange, Span limit, RingResultHandler resultHandler) {
            ExchangeConfiguration.Group group = configuration.groups().get(exchange);
            if (unreachable(exchange) || severed(configuration.number(), exchange)) {
                schedule(
                        limit.atMost(Span.ofMillis(900)),
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
                controllerOf(exchange).offerContact(contact.destination(), contact.skill(), configuration.number(), limit, resultHandler);
            }
        }

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
        public void cancel(long contact, int ring) {
            // Nothing is left to hear of it.
        }

        @Override
        public void defer(long contact, Span comeBack) {
            finishContact(contact, FinalState.DEFERRED);
        }

        @Override
        public void abandon(long contact) {
            finishContact(contact, FinalState.ABANDONED);
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
            // Peers have nothing to add to a world of one contact.
        }

        @Override
        public void watchSwitchList(boolean on) {
            // It was told whole, and stays so.
        }

        @Override
        public void log(String line) {
            // The way itself is what is asked for.
        }
    }
}
