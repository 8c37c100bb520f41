package martenslip.exchange;

import java.util.List;
import martenslip.control.Blame;
import martenslip.control.Cause;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Controller.ListKind;
import martenslip.control.Maker;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RingEnd;
import martenslip.control.Span;
import martenslip.control.SwitchLine;
import martenslip.provision.Site;
import martenslip.roll.Afloat;
import martenslip.roll.Roll;
import martenslip.signal.Load;
import martenslip.signal.Neighbour;
import martenslip.signal.SwitchText;
import martenslip.wheel.Wheel;

/**
 * The module with what it needs to know and to be told: the switches and groups that stand, and the roll of contacts.
 * One thread owns it, the only one that uses circuits up: so two lanes can't be given the same one.
 */
final class Decider implements Reports {
    private final Site site;
    private final Wheel wheel;
    private final Hands hands;
    private final EventLog log;
    private final Switchboard switchboard;
    private final Happenings happenings = new Happenings();
    private final Roll roll;
    private final Controller module;
    private final Afloat afloat = new Afloat();
    private boolean begun;
    private boolean listWanted;
    private Wheel.Timer later;

    Decider(Site site, Maker maker, long seed, Wheel wheel, Hands hands, EventLog log) {
        this.site = site;
        this.wheel = wheel;
        this.hands = hands;
        this.log = log;
        switchboard = new Switchboard(site);
        module = maker.make(site.settings(Exchange.ROUND), seed, wheel.now(), new Carried());
        roll = new Roll(module, site.rules().release(), hands::callOff);
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
        Moment due = roll.due();
        if (due != null && (later == null || !later.set())) {
            later = wheel.at(due, () -> happenings.add(roll::turn));
        }
    }

    void stop() {
        happenings.add(module::stopped);
    }

    Switchboard switchboard() {
        return switchboard;
    }

    /** Contacts that the module may still speak of. */
    int size() {
        return roll.size();
    }

    @Override
    public boolean offered(Contact contact, int lane) {
        happenings.add(now -> roll.offered(now, contact, lane));
        return true;
    }

    @Override
    public void heard(long contact, int ring, int far) {
        afloat.heard(wheel.now(), far, contact, ring);
    }

    private float[] report(Load load, Switchboard.Circuits group) {
        return load.report(group == null ? 0 : group.spare(), group == null ? 0 : group.total, site.reports());
    }

    private Load lessAfloat(Load load, int far) {
        return load.total() < 0 ? load : load.less(afloat.circuits(wheel.now(), far));
    }

    @Override
    public void stood(long contact, int ring, long target, Span took, Load said) {
        happenings.add(now -> roll.stood(now, contact, ring, target, took));
        Neighbour from = switchboard.neighbour(target);
        int far = from == null ? -1 : from.line().number();
        heard(contact, ring, far);
        Load load = lessAfloat(said, far);
        if (load != Load.NONE && load.total() >= 0) {
            float[] report = load.report(load.spare(), load.total(), site.reports());
            happenings.add(now -> module.reported(now, target, true, Span.ZERO, report));
        }
    }

    @Override
    public void ringOver(RingOver over) {
        Switchboard.Circuits group = switchboard.toward(over.far());
        afloat.over(over.far(), over.contact(), over.ring());
        switchboard.freed(over.far(), over.width());
        float[] report = report(lessAfloat(over.load(), over.far()), group);
        Outcome outcome = over.outcome();
        RingEnd end = new RingEnd(
                over.contact(),
                over.ring(),
                over.target(),
                outcome.cause(),
                outcome.blame(),
                over.took(),
                over.answered(),
                report);
        happenings.add(now -> roll.ended(now, end));
    }

    @Override
    public void gone(long contact) {
        happenings.add(now -> roll.gone(now, contact));
    }

    @Override
    public void inherited(int lane, List<Roll.Held> held) {
        log.warn(wheel.now(), "inherited", "lane", lane, "contacts", held.size());
        happenings.add(now -> roll.inherited(now, lane, held));
    }

    @Override
    public void listed(ListKind kind, List<Neighbour> lines) {
        if (kind != ListKind.FAILED) {
            switchboard.listed(lines, kind != ListKind.CHANGES);
        }
        List<SwitchLine> told = lines.stream().map(Neighbour::line).toList();
        happenings.add(now -> module.listed(now, kind, told));
        if (kind == ListKind.FAILED || kind == ListKind.REMEMBERED) {
            return;
        }
        // A machine that takes over a number begins without the state of its group.
        for (Site.Group group : site.groups().values()) {
            Switchboard.Circuits state = switchboard.toward(group.far());
            if (state.known) {
                tellCircuits(state);
            }
        }
    }

    @Override
    public void circuits(List<SwitchText.GroupState> groups) {
        afloat.keepOnly(roll::has);
        for (SwitchText.GroupState state : groups) {
            Switchboard.Circuits told = switchboard.told(state);
            if (told != null) {
                told.free -= afloat.circuits(wheel.now(), told.group.far());
                tellCircuits(told);
            }
        }
    }

    private void tellCircuits(Switchboard.Circuits state) {
        float[] report = report(Load.NONE, state);
        for (Neighbour one : switchboard.bearing(state.group.far())) {
            happenings.add(now -> module.reported(now, one.line().id(), true, Span.ZERO, report));
        }
    }

    @Override
    public void probed(long target, boolean reached, Span took, Load load) {
        Neighbour neighbour = switchboard.neighbour(target);
        Switchboard.Circuits group =
                neighbour == null ? null : switchboard.toward(neighbour.line().number());
        float[] report = load == null ? new float[0] : report(load, group);
        happenings.add(now -> module.reported(now, target, reached, took, report));
    }

    @Override
    public void noted(int peer, byte[] note) {
        happenings.add(now -> module.peerNote(now, peer, note));
    }

    /** The module's orders, passed on at once; what it wants while it is made waits until all parts stand. */
    private final class Carried implements Orders {
        @Override
        public void ring(long contact, long target, Span limit) {
            int number = roll.ordered(contact, target);
            if (number < 0) {
                log.warn(wheel.now(), "ring-for-unknown", "contact", contact);
                return;
            }
            Neighbour to = switchboard.neighbour(target);
            if (to == null) {
                RingEnd end = new RingEnd(
                        contact, number, target, Cause.NOT_SENT, Blame.NONE, Span.ZERO, false, new float[0]);
                happenings.add(now -> roll.ended(now, end));
                return;
            }
            int far = to.line().number();
            switchboard.seized(far, roll.width(contact));
            afloat.sent(far, contact, number, roll.width(contact));
            Switchboard.Circuits group = switchboard.toward(far);
            hands.ring(contact, new Hands.Send(number, target, to, group == null ? null : group.group, limit));
        }

        @Override
        public void callOff(long contact, int ring) {
            hands.callOff(contact, roll.lanesNumber(contact, ring));
        }

        @Override
        public void defer(long contact, Span comeBack) {
            hands.defer(contact, comeBack);
            roll.answered(contact);
        }

        @Override
        public void abandon(long contact) {
            hands.abandon(contact);
            roll.answered(contact);
        }

        @Override
        public void clock(Span delay, long token) {
            wheel.after(delay, () -> happenings.add(now -> module.clockRung(now, token)));
        }

        @Override
        public void probe(long target) {
            Neighbour to = switchboard.neighbour(target);
            if (to == null) {
                probed(target, false, Span.ZERO, null);
            } else {
                hands.probe(to);
            }
        }

        @Override
        public void note(int peer, byte[] note) {
            hands.note(peer, note);
        }

        @Override
        public void watchList(boolean on) {
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
