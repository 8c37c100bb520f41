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
    public record RouteTaken(List<Integer> tries, List<String> became, FinalState end) {}

    private static final Span SET_UP = Span.ofMillis(5);
    private static final Moment START = new Moment(Span.ofMillis(1_000_000).ns());
    /** Past each rule's span, so a state is settled when the contact comes. */
    private static final String LAST_DIGITS = "00000";

    private static final Span SETTLED = Span.ofMillis(60_000);

    private record Event(Moment at, long order, Runnable what) {}

    private final Map<Integer, ExchangeConfiguration> sites;
    private final Map<Integer, String> regions;
    private final ExchangeConfiguration origin;
    private final ControllerFactory maker;
    private final long seed;
    private final Map<Integer, Condition.State> desks = new HashMap<>();
    private final Map<String, Integer> groups = new HashMap<>();
    private final Map<Integer, SimulatedController> nodes = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::order));
    private final List<Integer> tries = new ArrayList<>();
    private final List<String> became = new ArrayList<>();
    private String cut;
    private long orders;
    private Moment now = START;
    private FinalState end;

    /** {@code sites} holds the files of this and, as far as known, other exchanges. */
    public ContactTrial(
            Map<Integer, ExchangeConfiguration> sites,
            int origin,
            Map<Integer, String> regions,
            ControllerFactory maker,
            List<Condition> conditions,
            long seed) {
        this.sites = sites;
        this.origin = sites.get(origin);
        this.regions = regions;
        this.maker = maker;
        this.seed = seed;
        for (Condition one : conditions) {
            if (one instanceof Condition.Desk desk) {
                desks.put(desk.exchange(), desk.state());
            } else if (one instanceof Condition.Group group) {
                groups.put(group.name(), group.free());
            } else if (one instanceof Condition.Cut region) {
                cut = region.region();
            }
        }
    }

    /** Offers a contact of the skill for the exchange, and gives its way; each event is taken at its time. */
    public RouteTaken offer(int skill, int destination) {
        SimulatedController first = node(origin.number());
        Skill is = origin.skills().get(skill);
        Moment until = now.plus(SETTLED).plus(is.patience().times(2)).plus(Span.ofMillis(1000));
        if (desks.containsValue(Condition.State.SILENT)) {
            hush(first, until);
        }
        first.take(destination, skill, -1, is.patience(), null);
        run(until);
        return new RouteTaken(List.copyOf(tries), List.copyOf(became), end == null ? FinalState.ABANDONED : end);
    }

    /** A switch is known as silent by a ring that it swallowed: contacts for it come first, and are let hang. */
    private void hush(SimulatedController first, Moment until) {
        desks.forEach((exchange, state) -> {
            if (state == Condition.State.SILENT && exchange != origin.number()) {
                first.take(
                        exchange,
                        origin.defaultSkill(),
                        -1,
                        origin.skills().get(origin.defaultSkill()).patience(),
                        null);
            }
        });
        run(until);
        end = null;
        tries.clear();
        became.clear();
    }

    /** Takes events at their times until the contact has its end. */
    private void run(Moment until) {
        while (end == null && !events.isEmpty() && events.peek().at().before(until)) {
            Event next = events.poll();
            now = next.at();
            next.what().run();
        }
    }

    private void later(Span span, Runnable what) {
        events.add(new Event(now.plus(span), orders++, what));
    }

    private SimulatedController node(int number) {
        return nodes.computeIfAbsent(number, any -> new SimulatedController(sites.get(number)));
    }

    private boolean away(int exchange) {
        return desks.get(exchange) == Condition.State.GONE
                || desks.get(exchange) == Condition.State.SILENT
                || severed(origin.number(), exchange);
    }

    private boolean severed(int a, int b) {
        return cut != null && cut.equals(regions.get(a)) != cut.equals(regions.get(b));
    }

    private interface RingResultHandler {
        void stood();

        void turned(RingEndCause cause, RejectionReason blame);
    }

    /** One exchange with its module. */
    private final class SimulatedController implements Orders {
        private final ExchangeConfiguration site;
        private final Controller module;
        private final Map<Long, RingResultHandler> callers = new HashMap<>();
        private final Map<Long, Contact> contacts = new HashMap<>();
        private final Map<Long, Integer> rings = new HashMap<>();
        private long ids;

        SimulatedController(ExchangeConfiguration site) {
            this.site = site;
            module = maker.create(site.settings(Span.ofMillis(25)), seed * 1009 + site.number(), now, this);
            List<SwitchEntry> lines = new ArrayList<>();
            for (int far : site.numbering().exchanges()) {
                Condition.State state = desks.get(far);
                if (state != Condition.State.GONE) {
                    boolean cold = state == Condition.State.COLD;
                    lines.add(new SwitchEntry(
                            far + 1,
                            far,
                            state == Condition.State.DRAINING ? SwitchEntry.State.DRAINING : SwitchEntry.State.READY,
                            cold ? now : null,
                            site.regions().indexOf(regions.getOrDefault(far, ""))));
                }
            }
            module.switchListReceived(now, Controller.ListKind.FULL, lines);
            for (ExchangeConfiguration.Group group : site.groups().values()) {
                if (desks.get(group.farExchange()) != Condition.State.GONE) {
                    int free = free(group);
                    report(group.farExchange(), Math.max(0, free), free < 0 ? 0 : group.circuits());
                }
            }
        }

        private int free(ExchangeConfiguration.Group group) {
            return groups.getOrDefault(group.name(), group.circuits());
        }

        /** A pressed processor says so in each field that the exchange asks for; an easy one says so too. */
        private void report(int far, int free, int total) {
            boolean pressed = desks.get(far) == Condition.State.PRESSED;
            float[] report = new float[2 + site.configuredReportFields().size()];
            report[0] = free;
            report[1] = total;
            for (int i = 0; i < site.configuredReportFields().size(); i++) {
                report[2 + i] = switch (site.configuredReportFields().get(i)) {
                    case "allowed" -> 100;
                    case "cut_by", "depth", "mean_ms" -> 0;
                    default -> -1;
                };
            }
            // What a processor allows is judged against its usual, so that comes first.
            module.switchReported(now, far + 1, true, Span.ZERO, report.clone());
            for (int i = 0; pressed && i < site.configuredReportFields().size(); i++) {
                report[2 + i] = switch (site.configuredReportFields().get(i)) {
                    case "allowed" -> 1;
                    case "cut_by" -> 0.99f;
                    case "depth" -> 200;
                    case "mean_ms" -> 1500;
                    default -> -1;
                };
            }
            if (pressed) {
                module.switchReported(now, far + 1, true, Span.ZERO, report);
            }
        }

        void take(int destination, int skill, int from, Span patience, RingResultHandler back) {
            long id = ++ids;
            Skill is = site.skills().get(skill);
            // A number of the desk, led as a caller's is: a longer prefix may lead it elsewhere.
            String number = site.numbering().firstPrefixOf(destination) + LAST_DIGITS;
            Contact contact = new Contact(
                    id,
                    skill,
                    Long.parseLong(number.replace("+", "")),
                    site.numbering().exchangeForNumber(number),
                    from,
                    is.width(),
                    patience,
                    false,
                    from >= 0,
                    false);
            contacts.put(id, contact);
            callers.put(id, back);
            // A drain is demanded of once its grace is over.
            Span wait = desks.containsValue(Condition.State.DRAINING) && from < 0 ? SETTLED : Span.ZERO;
            later(wait, () -> module.contactOffered(now, contact));
        }

        @Override
        public void ring(long id, long target, Span limit) {
            Contact contact = contacts.get(id);
            int number = rings.merge(id, 1, Integer::sum) - 1;
            int far = (int) target - 1;
            boolean mine = site == origin;
            if (mine) {
                tries.add(far);
            }
            RingResultHandler back = new RingResultHandler() {
                @Override
                public void stood() {
                    told("stood");
                    module.established(now, id, number, target, SET_UP);
                    finish(id, FinalState.STOOD);
                }

                @Override
                public void turned(RingEndCause cause, RejectionReason blame) {
                    told(cause + (blame == RejectionReason.NONE ? "" : " " + blame));
                    module.ringEnded(now, new RingEnd(id, number, target, cause, blame, SET_UP, false, new float[0]));
                }

                private void told(String what) {
                    if (mine) {
                        became.add(what.toLowerCase(java.util.Locale.ROOT));
                    }
                }
            };
            later(SET_UP, () -> sent(contact, far, limit, back));
        }

        private void sent(Contact contact, int far, Span limit, RingResultHandler back) {
            ExchangeConfiguration.Group group = site.groups().get(far);
            if (away(far) || severed(site.number(), far)) {
                later(
                        limit.atMost(Span.ofMillis(900)),
                        () -> back.turned(RingEndCause.TIMED_OUT, RejectionReason.NONE));
            } else if (desks.get(far) == Condition.State.PRESSED) {
                back.turned(RingEndCause.TURNED_BACK, RejectionReason.PROCESSOR);
            } else if (group != null && free(group) < contact.width()) {
                back.turned(RingEndCause.TURNED_BACK, RejectionReason.NO_CIRCUIT);
            } else if (far == contact.destination() || sites.size() == 1) {
                back.stood();
            } else if (!sites.containsKey(far)) {
                back.turned(RingEndCause.TURNED_BACK, RejectionReason.TANDEM);
            } else {
                node(far).take(contact.destination(), contact.skill(), site.number(), limit, back);
            }
        }

        private void finish(long id, FinalState how) {
            RingResultHandler back = callers.remove(id);
            if (site == origin) {
                end = end == null ? how : end;
            } else if (back != null) {
                if (how == FinalState.STOOD) {
                    back.stood();
                } else {
                    back.turned(RingEndCause.TURNED_BACK, RejectionReason.TANDEM);
                }
            }
        }

        @Override
        public void cancel(long contact, int ring) {
            // Nothing is left to hear of it.
        }

        @Override
        public void defer(long contact, Span comeBack) {
            finish(contact, FinalState.DEFERRED);
        }

        @Override
        public void abandon(long contact) {
            finish(contact, FinalState.ABANDONED);
        }

        @Override
        public void startTimer(Span delay, long token) {
            later(delay, () -> module.timerExpired(now, token));
        }

        @Override
        public void probe(long target) {
            boolean reached = !away((int) target - 1);
            later(SET_UP, () -> module.switchReported(now, target, reached, SET_UP, new float[0]));
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
