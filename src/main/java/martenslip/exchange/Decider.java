package martenslip.exchange;

import java.util.List;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Controller.ListKind;
import martenslip.control.ControllerFactory;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.eventloop.TimerWheel;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;
import martenslip.signaling.SipLoadReport;
import martenslip.tracking.ContactRegistry;
import martenslip.tracking.InFlightCircuits;

/**
 * The module with what it needs to know and to be told: the switches and groups that stand, and the roll of contacts.
 * One thread owns it, the only one that uses circuits up: so two lanes can't be given the same one.
 */
final class Decider implements LaneReports {
    private final ExchangeConfiguration site;
    private final TimerWheel wheel;
    private final LaneCommands hands;
    private final EventLog log;
    private final SwitchRegistry switchboard;
    private final PendingEvents happenings = new PendingEvents();
    private final ContactRegistry roll;
    private final Controller module;
    private final InFlightCircuits afloat = new InFlightCircuits();
    private boolean begun;
    private boolean listWanted;
    private TimerWheel.Timer later;

    Decider(
            ExchangeConfiguration site,
            ControllerFactory maker,
            long seed,
            TimerWheel wheel,
            LaneCommands hands,
            EventLog log) {
        this.site = site;
        this.wheel = wheel;
        this.hands = hands;
        this.log = log;
        switchboard = new SwitchRegistry(site);
        module = maker.create(site.settings(Exchange.MAX_TIMER_LATENESS), seed, wheel.now(), new OrderExecutor());
        roll = new ContactRegistry(module, site.rules().releaseTime(), hands::callOff);
    }

    /** Once all that it orders from stands. */
    void begin() {
        begun = true;
        if (listWanted) {
            hands.watchList(true);
        }
    }

    /** At the end of each turn of its thread. */
    void tellAll() {
        happenings.tellAll(wheel.now());
        Moment due = roll.nextOfferAt();
        if (due != null && (later == null || !later.isScheduled())) {
            later = wheel.scheduleAt(due, () -> happenings.add(roll::offerDue));
        }
    }

    void stop() {
        happenings.add(module::stopped);
    }

    SwitchRegistry switchboard() {
        return switchboard;
    }

    /** Contacts that the module may still speak of. */
    int size() {
        return roll.size();
    }

    @Override
    public boolean offered(Contact contact, int lane) {
        happenings.add(now -> roll.contactOffered(now, contact, lane));
        return true;
    }

    @Override
    public void heard(long contact, int ring, int far) {
        afloat.responseReceived(wheel.now(), far, contact, ring);
    }

    private float[] report(SipLoadReport load, SwitchRegistry.GroupCircuits group) {
        return load.toReportValues(
                group == null ? 0 : group.spare(), group == null ? 0 : group.total, site.configuredReportFields());
    }

    private SipLoadReport lessAfloat(SipLoadReport load, int far) {
        return load.totalCircuits() < 0 ? load : load.withFewerFreeCircuits(afloat.inFlightCount(wheel.now(), far));
    }

    @Override
    public void stood(long contact, int ring, long target, Span took, SipLoadReport said) {
        happenings.add(now -> roll.established(now, contact, ring, target, took));
        ListedSwitch from = switchboard.neighbour(target);
        int far = from == null ? -1 : from.entry().number();
        heard(contact, ring, far);
        SipLoadReport load = lessAfloat(said, far);
        if (load != SipLoadReport.NONE && load.totalCircuits() >= 0) {
            float[] report =
                    load.toReportValues(load.freeCircuits(), load.totalCircuits(), site.configuredReportFields());
            happenings.add(now -> module.switchReported(now, target, true, Span.ZERO, report));
        }
    }

    @Override
    public void ringOver(RingResult over) {
        SwitchRegistry.GroupCircuits group = switchboard.toward(over.far());
        afloat.ringEnded(over.far(), over.contact(), over.ring());
        switchboard.freed(over.far(), over.width());
        float[] report = report(lessAfloat(over.load(), over.far()), group);
        RingOutcome outcome = over.outcome();
        RingEnd end = new RingEnd(
                over.contact(),
                over.ring(),
                over.target(),
                outcome.cause(),
                outcome.blame(),
                over.took(),
                over.answered(),
                report);
        happenings.add(now -> roll.ringEnded(now, end));
    }

    @Override
    public void gone(long contact) {
        happenings.add(now -> roll.callerGone(now, contact));
    }

    @Override
    public void inherited(int lane, List<ContactRegistry.LaneContact> held) {
        log.warn(wheel.now(), "inherited", "lane", lane, "contacts", held.size());
        happenings.add(now -> roll.reconcileLane(now, lane, held));
    }

    @Override
    public void listed(ListKind kind, List<ListedSwitch> lines) {
        if (kind != ListKind.FAILED) {
            switchboard.listed(lines, kind != ListKind.CHANGES);
        }
        List<SwitchEntry> told = lines.stream().map(ListedSwitch::entry).toList();
        happenings.add(now -> module.switchListReceived(now, kind, told));
        if (kind == ListKind.FAILED || kind == ListKind.CACHED) {
            return;
        }
        // A machine that takes over a number begins without the state of its group.
        for (ExchangeConfiguration.Group group : site.groups().values()) {
            SwitchRegistry.GroupCircuits state = switchboard.toward(group.farExchange());
            if (state.known) {
                tellCircuits(state);
            }
        }
    }

    @Override
    public void circuits(List<EventPackageCodec.GroupState> groups) {
        afloat.retainContacts(roll::contains);
        for (EventPackageCodec.GroupState state : groups) {
            SwitchRegistry.GroupCircuits told = switchboard.told(state);
            if (told != null) {
                told.free -= afloat.inFlightCount(wheel.now(), told.group.farExchange());
                tellCircuits(told);
            }
        }
    }

    private void tellCircuits(SwitchRegistry.GroupCircuits state) {
        float[] report = report(SipLoadReport.NONE, state);
        for (ListedSwitch one : switchboard.bearing(state.group.farExchange())) {
            happenings.add(now -> module.switchReported(now, one.entry().id(), true, Span.ZERO, report));
        }
    }

    @Override
    public void probed(long target, boolean reached, Span took, SipLoadReport load) {
        ListedSwitch neighbour = switchboard.neighbour(target);
        SwitchRegistry.GroupCircuits group =
                neighbour == null ? null : switchboard.toward(neighbour.entry().number());
        float[] report = load == null ? new float[0] : report(load, group);
        happenings.add(now -> module.switchReported(now, target, reached, took, report));
    }

    @Override
    public void noted(int peer, byte[] note) {
        happenings.add(now -> module.peerNoteReceived(now, peer, note));
    }

    /** The module's orders, passed on at once; what it wants while it is made waits until all parts stand. */
    private final class OrderExecutor implements Orders {
        @Override
        public void ring(long contact, long target, Span limit) {
            int number = roll.ringOrdered(contact, target);
            if (number < 0) {
                log.warn(wheel.now(), "ring-for-unknown", "contact", contact);
                return;
            }
            ListedSwitch to = switchboard.neighbour(target);
            if (to == null) {
                RingEnd end = new RingEnd(
                        contact,
                        number,
                        target,
                        RingEndCause.NOT_SENT,
                        RejectionReason.NONE,
                        Span.ZERO,
                        false,
                        new float[0]);
                happenings.add(now -> roll.ringEnded(now, end));
                return;
            }
            int far = to.entry().number();
            switchboard.seized(far, roll.width(contact));
            afloat.ringSent(far, contact, number, roll.width(contact));
            SwitchRegistry.GroupCircuits group = switchboard.toward(far);
            hands.ring(
                    contact,
                    new LaneCommands.RingCommand(number, target, to, group == null ? null : group.group, limit));
        }

        @Override
        public void cancel(long contact, int ring) {
            hands.callOff(contact, roll.laneRingNumber(contact, ring));
        }

        @Override
        public void defer(long contact, Span comeBack) {
            hands.defer(contact, comeBack);
            roll.contactAnswered(contact);
        }

        @Override
        public void abandon(long contact) {
            hands.abandon(contact);
            roll.contactAnswered(contact);
        }

        @Override
        public void startTimer(Span delay, long token) {
            wheel.scheduleAfter(delay, () -> happenings.add(now -> module.timerExpired(now, token)));
        }

        @Override
        public void probe(long target) {
            ListedSwitch to = switchboard.neighbour(target);
            if (to == null) {
                probed(target, false, Span.ZERO, null);
            } else {
                hands.probe(to);
            }
        }

        @Override
        public void sendNote(int peer, byte[] note) {
            hands.note(peer, note);
        }

        @Override
        public void watchSwitchList(boolean on) {
            if (begun) {
                hands.watchList(on);
            } else {
                listWanted = on;
            }
        }

        @Override
        public void log(String line) {
            log.info(wheel.now(), "module", "line", line);
        }
    }
}
