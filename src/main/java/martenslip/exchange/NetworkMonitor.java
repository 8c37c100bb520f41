package martenslip.exchange;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.configuration.InvalidFileException;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;
import martenslip.signaling.SipLoadReport;
import martenslip.sip.dialog.DialogLayer;
import martenslip.sip.dialog.EventSubscriber;
import martenslip.sip.message.Digits;
import martenslip.sip.message.Headers;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.ClientTransaction;
import martenslip.sip.transaction.ClientTransactionUser;
import martenslip.sip.transaction.RequestFailure;
import martenslip.sip.transaction.ServerTransaction;

/**
 * All that the exchange learns apart from contacts: the switch list, its groups' circuits, answers to probes and
 * notes of peers. It asks what the module orders and tells the module what comes.
 */
final class NetworkMonitor {
    /** Between two tries to subscribe: a service that refuses at once would else be asked without end. */
    private static final Span AGAIN = Span.ofMillis(1000);

    private static final int MOST_NOTE = 256;

    private final ExchangeConfiguration site;
    private final DialogLayer calls;
    private final LaneReports reports;
    private final SwitchStateCache known;
    private final EventPackageCodec text;
    private final SwitchListStore kept;
    private final EventLog log;
    private final EventSubscriber list;
    private final EventSubscriber circuits;
    private long listVersion;
    private long circuitsVersion;
    private TimerWheel.Timer listAgain;
    private TimerWheel.Timer circuitsAgain;
    private Moment listAsked;

    NetworkMonitor(
            ExchangeConfiguration site,
            DialogLayer calls,
            LaneReports reports,
            EventPackageCodec text,
            SwitchStateCache known,
            SwitchListStore kept,
            EventLog log) {
        this.site = site;
        this.calls = calls;
        this.reports = reports;
        this.text = text;
        this.known = known;
        this.kept = kept;
        this.log = log;
        list = new EventSubscriber(
                calls,
                site.switchListUri(),
                site.switchListHop(),
                EventPackageCodec.SWITCHES_EVENT_PACKAGE,
                EventPackageCodec.CONTENT_TYPE,
                listener(this::listed, this::listFailed));
        circuits = new EventSubscriber(
                calls,
                site.circuitsUri(),
                site.circuitsHop(),
                EventPackageCodec.CIRCUITS_EVENT_PACKAGE,
                EventPackageCodec.CONTENT_TYPE,
                listener(this::circuitsTold, this::circuitsFailed));
    }

    private interface BodyHandler {
        void take(byte[] body) throws InvalidFileException, InvalidValueException;
    }

    private EventSubscriber.Listener listener(BodyHandler told, java.util.function.Consumer<String> failed) {
        return new EventSubscriber.Listener() {
            @Override
            public void notified(byte[] body) {
                try {
                    told.take(body);
                } catch (InvalidFileException | InvalidValueException e) {
                    log.warn(calls.timerWheel().now(), "notice-refused", "why", e.getMessage());
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
            reports.listed(ListKind.FULL, known.lines());
            reports.circuits(known.groups());
        }
        circuits.start();
    }

    private void remembered() {
        try {
            byte[] last = kept.read();
            if (last != null) {
                EventPackageCodec.SwitchList read = text.parseSwitchList(last);
                known.lines(read.entries(), true);
                reports.listed(ListKind.CACHED, read.entries());
            }
        } catch (IOException | InvalidFileException | InvalidValueException e) {
            log.warn(calls.timerWheel().now(), "kept-list-refused", "why", e.getMessage());
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
        } else if (listAgain == null || !listAgain.isScheduled()) {
            Moment now = calls.timerWheel().now();
            Moment due = listAsked == null ? now : listAsked.plus(AGAIN);
            listAgain = calls.timerWheel().scheduleAt(due.before(now) ? now : due, this::askList);
        }
    }

    private void askList() {
        listAsked = calls.timerWheel().now();
        list.start();
    }

    private void listed(byte[] body) throws InvalidFileException, InvalidValueException {
        EventPackageCodec.SwitchList read = text.parseSwitchList(body);
        if (!read.full() && read.version() <= listVersion) {
            log.info(calls.timerWheel().now(), "list-older", "had", listVersion, "got", read.version());
            return;
        }
        if (!read.full() && read.version() != listVersion + 1) {
            // A notice was lost. What this one says is the newest all the same, and a drain may not wait.
            log.info(calls.timerWheel().now(), "list-gap", "had", listVersion, "got", read.version());
            list.refresh();
        }
        listVersion = read.version();
        known.lines(read.entries(), read.full());
        reports.listed(read.full() ? ListKind.FULL : ListKind.CHANGES, read.entries());
        kept.keep(text.write(new EventPackageCodec.SwitchList(listVersion, true, known.lines())));
    }

    private void listFailed(String why) {
        log.warn(calls.timerWheel().now(), "list-failed", "why", why);
        reports.listed(ListKind.FAILED, List.of());
    }

    private void circuitsTold(byte[] body) throws InvalidFileException, InvalidValueException {
        EventPackageCodec.CircuitList groups = text.parseCircuitList(body);
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
        log.warn(calls.timerWheel().now(), "circuits-failed", "why", why);
        if (circuitsAgain == null || !circuitsAgain.isScheduled()) {
            circuitsAgain = calls.timerWheel().scheduleAfter(AGAIN, circuits::start);
        }
    }

    void probe(ListedSwitch neighbour) {
        Request options = outside("OPTIONS", neighbour.uri().toString());
        long target = neighbour.entry().id();
        Moment began = calls.timerWheel().now();
        calls.transactionLayer().send(options, neighbour.hop(), new ClientTransactionUser() {
            @Override
            public void responseReceived(ClientTransaction transaction, Response response) {
                if (!response.isProvisional()) {
                    Span took = calls.timerWheel().now().since(began);
                    reports.probed(target, response.isSuccess(), took, SipLoadReport.of(response));
                }
            }

            @Override
            public void failed(ClientTransaction transaction, RequestFailure why) {
                reports.probed(target, false, calls.timerWheel().now().since(began), null);
            }
        });
    }

    void note(int peer, byte[] note) {
        List<ExchangeConfiguration.Peer> to = new ArrayList<>();
        site.peers().forEach((number, one) -> {
            if (peer == Orders.ALL_PEERS || peer == number) {
                to.add(one);
            }
        });
        for (ExchangeConfiguration.Peer one : to) {
            Request message = outside("MESSAGE", one.uri());
            message.body("application/octet-stream", note);
            calls.transactionLayer().send(message, one.hop(), LOSSY);
        }
    }

    /** A note may be lost; the module counts on none. */
    private static final ClientTransactionUser LOSSY = new ClientTransactionUser() {
        @Override
        public void responseReceived(ClientTransaction transaction, Response response) {
            // Nothing hangs on it.
        }

        @Override
        public void failed(ClientTransaction transaction, RequestFailure why) {
            // As above.
        }
    };

    private Request outside(String method, String uri) {
        Headers headers = new Headers();
        headers.add("Max-Forwards", "70");
        headers.add(
                "From",
                "<sip:exchange-" + site.number() + "@" + "martenslip.invalid>;tag="
                        + calls.idGenerator().nextTag());
        headers.add("To", "<" + uri + ">").add("Call-ID", calls.idGenerator().nextCallId("x" + site.number()));
        headers.add("CSeq", "1 " + method);
        return new Request(method, uri, headers);
    }

    /** Requests outside of calls: notices, notes of peers, probes of this exchange. */
    void requested(ServerTransaction transaction) throws InvalidValueException {
        Request request = transaction.request();
        if (request.hasMethod("NOTIFY")) {
            if (!list.handleNotify(transaction) && !circuits.handleNotify(transaction)) {
                transaction.respond(request.createResponse(
                        481, "No such subscription", calls.idGenerator().nextTag()));
            }
        } else if (request.hasMethod("MESSAGE")) {
            noteFrom(transaction, request);
        } else {
            transaction.respond(
                    request.createResponse(200, "OK", calls.idGenerator().nextTag()));
        }
    }

    private void noteFrom(ServerTransaction transaction, Request request) throws InvalidValueException {
        String user = martenslip.sip.message.SipUri.parse(request.from().uri()).unescapedUser();
        int peer = user != null && user.startsWith("exchange-") && Digits.isDigits(user.substring(9), 5)
                ? Integer.parseInt(user.substring(9))
                : -1;
        if (!site.peers().containsKey(peer)) {
            transaction.respond(request.createResponse(
                    403, "Not a peer", calls.idGenerator().nextTag()));
        } else if (request.body().length > MOST_NOTE) {
            transaction.respond(request.createResponse(
                    413,
                    "Note over " + MOST_NOTE + " bytes",
                    calls.idGenerator().nextTag()));
        } else {
            byte[] note = request.body();
            transaction.respond(
                    request.createResponse(200, "OK", calls.idGenerator().nextTag()));
            reports.noted(peer, note);
        }
    }
}
