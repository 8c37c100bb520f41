package martenslip.exchange;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.Span;
import martenslip.control.SwitchLine;
import martenslip.provision.Rejected;
import martenslip.provision.Site;
import martenslip.signal.Load;
import martenslip.signal.Neighbour;
import martenslip.signal.SwitchText;
import martenslip.sip.dialog.Calls;
import martenslip.sip.dialog.Watch;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.Digits;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.Asker;
import martenslip.sip.transaction.ClientTransaction;
import martenslip.sip.transaction.Failure;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.wheel.Wheel;

/**
 * All that the exchange learns apart from contacts: the switch list, its groups' circuits, answers to probes and
 * notes of peers. It asks what the module orders and tells the module what comes.
 */
final class Surroundings {
    /** Between two tries to subscribe: a service that refuses at once would else be asked without end. */
    private static final Span AGAIN = Span.ofMillis(1000);
    private static final int MOST_NOTE = 256;

    private final Site site;
    private final Calls calls;
    private final Switchboard switchboard;
    private final Happenings happenings;
    private final SwitchText text;
    private final KeptList kept;
    private final EventLog log;
    private final Watch list;
    private final Watch circuits;
    private long listVersion;
    private long circuitsVersion;
    private Wheel.Timer listAgain;
    private Wheel.Timer circuitsAgain;
    private Moment listAsked;

    Surroundings(Site site, Calls calls, Switchboard switchboard, Happenings happenings, SwitchText text,
                 KeptList kept, EventLog log) {
        this.site = site;
        this.calls = calls;
        this.switchboard = switchboard;
        this.happenings = happenings;
        this.text = text;
        this.kept = kept;
        this.log = log;
        list = new Watch(calls, site.listUri(), site.list(), SwitchText.SWITCHES, SwitchText.TYPE,
                listener(this::listed, this::listFailed));
        circuits = new Watch(calls, site.circuitsUri(), site.circuits(), SwitchText.CIRCUITS, SwitchText.TYPE,
                listener(this::circuitsTold, this::circuitsFailed));
    }

    private interface Body {
        void take(byte[] body) throws Rejected, BadValue;
    }

    private Watch.Listener listener(Body told, java.util.function.Consumer<String> failed) {
        return new Watch.Listener() {
            @Override
            public void notified(byte[] body) {
                try {
                    told.take(body);
                } catch (Rejected | BadValue e) {
                    log.warn(calls.wheel().now(), "notice-refused", "why", e.getMessage());
                }
            }

            @Override
            public void failed(String why) {
                failed.accept(why);
            }
        };
    }

    Switchboard switchboard() {
        return switchboard;
    }

    /** Begins with the list of the last run, which may be stale, and asks for the circuits of the own groups. */
    void start() {
        try {
            byte[] last = kept.read();
            if (last != null) {
                SwitchText.Lines lines = text.lines(last);
                switchboard.listed(lines.lines(), true);
                tellList(ListKind.REMEMBERED, lines.lines());
            }
        } catch (IOException | Rejected | BadValue e) {
            log.warn(calls.wheel().now(), "kept-list-refused", "why", e.getMessage());
        }
        circuits.start();
    }

    void stop() {
        list.stop();
        circuits.stop();
    }

    void watchList(boolean on) {
        if (!on) {
            list.stop();
        } else if (listAgain == null || !listAgain.set()) {
            Moment now = calls.wheel().now();
            Moment due = listAsked == null ? now : listAsked.plus(AGAIN);
            listAgain = calls.wheel().at(due.before(now) ? now : due, this::askList);
        }
    }

    void askList() {
        listAsked = calls.wheel().now();
        list.start();
    }

    private void listed(byte[] body) throws Rejected, BadValue {
        SwitchText.Lines lines = text.lines(body);
        if (!lines.full() && lines.version() <= listVersion) {
            log.info(calls.wheel().now(), "list-older", "had", listVersion, "got", lines.version());
            return;
        }
        if (!lines.full() && lines.version() != listVersion + 1) {
            // A notice was lost. What this one says is the newest all the same, and a drain may not wait.
            log.info(calls.wheel().now(), "list-gap", "had", listVersion, "got", lines.version());
            list.refresh();
        }
        listVersion = lines.version();
        switchboard.listed(lines.lines(), lines.full());
        tellList(lines.full() ? ListKind.WHOLE : ListKind.CHANGES, lines.lines());
        kept.keep(text.write(new SwitchText.Lines(listVersion, true, switchboard.all())));
    }

    private void tellList(ListKind kind, List<Neighbour> lines) {
        List<SwitchLine> told = lines.stream().map(Neighbour::line).toList();
        happenings.add((module, at) -> module.listed(at, kind, told));
        // A machine that takes over a number begins without the state of its group.
        for (Site.Group group : site.groups().values()) {
            Switchboard.Circuits state = switchboard.toward(group.far());
            if (state.known) {
                tellCircuits(state);
            }
        }
    }

    private void listFailed(String why) {
        log.warn(calls.wheel().now(), "list-failed", "why", why);
        happenings.add((module, at) -> module.listed(at, ListKind.FAILED, List.of()));
    }

    private void circuitsTold(byte[] body) throws Rejected, BadValue {
        SwitchText.Groups groups = text.groups(body);
        if (!groups.full() && groups.version() <= circuitsVersion) {
            return;
        }
        if (!groups.full() && groups.version() != circuitsVersion + 1) {
            circuits.refresh();
        }
        circuitsVersion = groups.version();
        for (SwitchText.GroupState state : groups.groups()) {
            Switchboard.Circuits told = switchboard.told(state);
            if (told != null) {
                tellCircuits(told);
            }
        }
    }

    private void tellCircuits(Switchboard.Circuits state) {
        float[] report = Load.NONE.report(state.free, state.total, site.reports());
        for (Neighbour one : switchboard.bearing(state.group.far())) {
            happenings.add((module, at) -> module.reported(at, one.line().id(), true, Span.ZERO, report));
        }
    }

    private void circuitsFailed(String why) {
        log.warn(calls.wheel().now(), "circuits-failed", "why", why);
        if (circuitsAgain == null || !circuitsAgain.set()) {
            circuitsAgain = calls.wheel().after(AGAIN, circuits::start);
        }
    }

    void probe(long target) {
        Neighbour neighbour = switchboard.neighbour(target);
        if (neighbour == null) {
            happenings.add((module, at) -> module.reported(at, target, false, Span.ZERO, new float[0]));
            return;
        }
        Request options = outside("OPTIONS", neighbour.uri().toString());
        Moment began = calls.wheel().now();
        calls.transactions().send(options, neighbour.hop(), new Asker() {
            @Override
            public void answered(ClientTransaction transaction, Response response) {
                if (!response.provisional()) {
                    Switchboard.Circuits group = switchboard.toward(neighbour.line().number());
                    float[] report = Load.of(response).report(group == null ? 0 : group.free,
                            group == null ? 0 : group.total, site.reports());
                    Span took = calls.wheel().now().since(began);
                    happenings.add((module, at) ->
                            module.reported(at, target, response.success(), took, report));
                }
            }

            @Override
            public void failed(ClientTransaction transaction, Failure why) {
                Span took = calls.wheel().now().since(began);
                happenings.add((module, at) -> module.reported(at, target, false, took, new float[0]));
            }
        });
    }

    void note(int peer, byte[] note) {
        List<Site.Peer> to = new ArrayList<>();
        site.peers().forEach((number, one) -> {
            if (peer == Orders.ALL_PEERS || peer == number) {
                to.add(one);
            }
        });
        for (Site.Peer one : to) {
            Request message = outside("MESSAGE", one.uri());
            message.body("application/octet-stream", note);
            calls.transactions().send(message, one.hop(), LOSSY);
        }
    }

    /** A note may be lost; the module counts on none. */
    private static final Asker LOSSY = new Asker() {
        @Override
        public void answered(ClientTransaction transaction, Response response) {
            // Nothing hangs on it.
        }

        @Override
        public void failed(ClientTransaction transaction, Failure why) {
            // As above.
        }
    };

    private Request outside(String method, String uri) {
        Headers headers = new Headers();
        headers.add("Max-Forwards", "70");
        headers.add("From", "<sip:exchange-" + site.number() + "@" + "martenslip.invalid>;tag="
                + calls.branches().tag());
        headers.add("To", "<" + uri + ">").add("Call-ID", calls.branches().callId("x" + site.number()));
        headers.add("CSeq", "1 " + method);
        return new Request(method, uri, headers);
    }

    /** Requests outside of calls: notices, notes of peers, probes of this exchange. */
    void requested(ServerTransaction transaction) throws BadValue {
        Request request = transaction.request();
        if (request.is("NOTIFY")) {
            if (!list.takes(transaction) && !circuits.takes(transaction)) {
                transaction.respond(request.answer(481, "No such subscription", calls.branches().tag()));
            }
        } else if (request.is("MESSAGE")) {
            noteFrom(transaction, request);
        } else {
            transaction.respond(request.answer(200, "OK", calls.branches().tag()));
        }
    }

    private void noteFrom(ServerTransaction transaction, Request request) throws BadValue {
        String user = martenslip.sip.message.SipUri.parse(request.from().uri()).plainUser();
        int peer = user != null && user.startsWith("exchange-") && Digits.only(user.substring(9), 5)
                ? Integer.parseInt(user.substring(9)) : -1;
        if (!site.peers().containsKey(peer)) {
            transaction.respond(request.answer(403, "Not a peer", calls.branches().tag()));
        } else if (request.body().length > MOST_NOTE) {
            transaction.respond(request.answer(413, "Note over " + MOST_NOTE + " bytes", calls.branches().tag()));
        } else {
            byte[] note = request.body();
            transaction.respond(request.answer(200, "OK", calls.branches().tag()));
            happenings.add((module, at) -> module.peerNote(at, peer, note));
        }
    }
}
