package martenslip.exchange;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.Span;
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
    private final Reports reports;
    private final Known known;
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

    Surroundings(Site site, Calls calls, Reports reports, SwitchText text, Known known, KeptList kept, EventLog log) {
        this.site = site;
        this.calls = calls;
        this.reports = reports;
        this.text = text;
        this.known = known;
        this.kept = kept;
        this.log = log;
        list = new Watch(
                calls,
                site.listUri(),
                site.list(),
                SwitchText.SWITCHES,
                SwitchText.TYPE,
                listener(this::listed, this::listFailed));
        circuits = new Watch(
                calls,
                site.circuitsUri(),
                site.circuits(),
                SwitchText.CIRCUITS,
                SwitchText.TYPE,
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

    /**
     * Asks for the circuits of the own groups. At the process's start it begins with the list of the last run, which
     * may be stale; a thread that takes over begins with what is known.
     */
    void start(boolean afresh) {
        if (afresh) {
            remembered();
        } else {
            reports.listed(ListKind.WHOLE, known.lines());
            reports.circuits(known.groups());
        }
        circuits.start();
    }

    private void remembered() {
        try {
            byte[] last = kept.read();
            if (last != null) {
                SwitchText.Lines read = text.lines(last);
                known.lines(read.lines(), true);
                reports.listed(ListKind.REMEMBERED, read.lines());
            }
        } catch (IOException | Rejected | BadValue e) {
            log.warn(calls.wheel().now(), "kept-list-refused", "why", e.getMessage());
        }
    }

    /** Another decider wants to be told all. */
    void anew() {
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

    private void askList() {
        listAsked = calls.wheel().now();
        list.start();
    }

    private void listed(byte[] body) throws Rejected, BadValue {
        SwitchText.Lines read = text.lines(body);
        if (!read.full() && read.version() <= listVersion) {
            log.info(calls.wheel().now(), "list-older", "had", listVersion, "got", read.version());
            return;
        }
        if (!read.full() && read.version() != listVersion + 1) {
            // A notice was lost. What this one says is the newest all the same, and a drain may not wait.
            log.info(calls.wheel().now(), "list-gap", "had", listVersion, "got", read.version());
            list.refresh();
        }
        listVersion = read.version();
        known.lines(read.lines(), read.full());
        reports.listed(read.full() ? ListKind.WHOLE : ListKind.CHANGES, read.lines());
        kept.keep(text.write(new SwitchText.Lines(listVersion, true, known.lines())));
    }

    private void listFailed(String why) {
        log.warn(calls.wheel().now(), "list-failed", "why", why);
        reports.listed(ListKind.FAILED, List.of());
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
        known.groups(groups.groups());
        reports.circuits(groups.groups());
    }

    private void circuitsFailed(String why) {
        log.warn(calls.wheel().now(), "circuits-failed", "why", why);
        if (circuitsAgain == null || !circuitsAgain.set()) {
            circuitsAgain = calls.wheel().after(AGAIN, circuits::start);
        }
    }

    void probe(Neighbour neighbour) {
        Request options = outside("OPTIONS", neighbour.uri().toString());
        long target = neighbour.line().id();
        Moment began = calls.wheel().now();
        calls.transactions().send(options, neighbour.hop(), new Asker() {
            @Override
            public void answered(ClientTransaction transaction, Response response) {
                if (!response.provisional()) {
                    Span took = calls.wheel().now().since(began);
                    reports.probed(target, response.success(), took, Load.of(response));
                }
            }

            @Override
            public void failed(ClientTransaction transaction, Failure why) {
                reports.probed(target, false, calls.wheel().now().since(began), null);
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
        headers.add(
                "From",
                "<sip:exchange-" + site.number() + "@" + "martenslip.invalid>;tag="
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
                transaction.respond(request.answer(
                        481, "No such subscription", calls.branches().tag()));
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
                ? Integer.parseInt(user.substring(9))
                : -1;
        if (!site.peers().containsKey(peer)) {
            transaction.respond(
                    request.answer(403, "Not a peer", calls.branches().tag()));
        } else if (request.body().length > MOST_NOTE) {
            transaction.respond(request.answer(
                    413, "Note over " + MOST_NOTE + " bytes", calls.branches().tag()));
        } else {
            byte[] note = request.body();
            transaction.respond(request.answer(200, "OK", calls.branches().tag()));
            reports.noted(peer, note);
        }
    }
}
