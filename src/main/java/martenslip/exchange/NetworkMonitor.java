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
 * Obtains the information that the exchange needs apart from contacts: the switch list, the circuits of its groups,
 * answers to probes and notes of peers. It sends the requests that the decider orders and reports the answers.
 */
final class NetworkMonitor {
    /**
     * Time between two attempts to subscribe: a service that refuses at once would otherwise be asked without pause.
     */
    private static final Span RETRY_INTERVAL = Span.ofMillis(1000);

    private static final int MAX_NOTE_BYTES = 256;

    private final ExchangeConfiguration configuration;
    private final DialogLayer dialogLayer;
    private final LaneReports reports;
    private final SwitchStateCache switchStateCache;
    private final EventPackageCodec eventPackageCodec;
    private final SwitchListStore switchListStore;
    private final EventLog log;
    private final EventSubscriber switchListSubscriber;
    private final EventSubscriber circuitsSubscriber;
    private long switchListVersion;
    private long circuitsVersion;
    private TimerWheel.Timer switchListTimer;
    private TimerWheel.Timer circuitsRetryTimer;
    private Moment switchListSubscribedAt;

    NetworkMonitor(
            ExchangeConfiguration configuration,
            DialogLayer dialogLayer,
            LaneReports reports,
            EventPackageCodec eventPackageCodec,
            SwitchStateCache switchStateCache,
            SwitchListStore switchListStore,
            EventLog log) {
        this.configuration = configuration;
        this.dialogLayer = dialogLayer;
        this.reports = reports;
        this.eventPackageCodec = eventPackageCodec;
        this.switchStateCache = switchStateCache;
        this.switchListStore = switchListStore;
        this.log = log;
        switchListSubscriber = new EventSubscriber(
                dialogLayer,
                configuration.switchListUri(),
                configuration.switchListHop(),
                EventPackageCodec.SWITCHES_EVENT_PACKAGE,
                EventPackageCodec.CONTENT_TYPE,
                subscriptionListener(this::switchListReceived, this::switchListFailed));
        circuitsSubscriber = new EventSubscriber(
                dialogLayer,
                configuration.circuitsUri(),
                configuration.circuitsHop(),
                EventPackageCodec.CIRCUITS_EVENT_PACKAGE,
                EventPackageCodec.CONTENT_TYPE,
                subscriptionListener(this::circuitsReceived, this::circuitsFailed));
    }

    /** Parses and handles the body of a notification. */
    private interface BodyHandler {
        void handle(byte[] body) throws InvalidFileException, InvalidValueException;
    }

    private EventSubscriber.Listener subscriptionListener(
            BodyHandler bodyHandler, java.util.function.Consumer<String> failureHandler) {
        return new EventSubscriber.Listener() {
            @Override
            public void notified(byte[] body) {
                try {
                    bodyHandler.handle(body);
                } catch (InvalidFileException | InvalidValueException e) {
                    log.warn(dialogLayer.timerWheel().now(), "notice-refused", "why", e.getMessage());
                }
            }

            @Override
            public void failed(String reason) {
                failureHandler.accept(reason);
            }
        };
    }

    /**
     * Subscribes to the circuits of the own groups. At the start of the process the stored switch list of the last run,
     * which may be stale, is reported first; a thread that takes over starts with the cached state.
     */
    void start(boolean atProcessStart) {
        if (atProcessStart) {
            loadStoredSwitchList();
        } else {
            reports.switchListReceived(ListKind.FULL, switchStateCache.switches());
            reports.groupStatesReceived(switchStateCache.groups());
        }
        circuitsSubscriber.start();
    }

    private void loadStoredSwitchList() {
        try {
            byte[] storedBody = switchListStore.read();
            if (storedBody != null) {
                EventPackageCodec.SwitchList switchList = eventPackageCodec.parseSwitchList(storedBody);
                switchStateCache.updateSwitches(switchList.entries(), true);
                reports.switchListReceived(ListKind.CACHED, switchList.entries());
            }
        } catch (IOException | InvalidFileException | InvalidValueException e) {
            log.warn(dialogLayer.timerWheel().now(), "kept-list-refused", "why", e.getMessage());
        }
    }

    /** Renews the subscription to circuits, so that a new decider gets the full state. */
    void resubscribeCircuits() {
        circuitsSubscriber.start();
    }

    /** Ends both subscriptions. */
    void stop() {
        switchListSubscriber.stop();
        circuitsSubscriber.stop();
    }

    /**
     * Starts or stops the subscription to the switch list; repeated starts are at least {@link #RETRY_INTERVAL} apart.
     */
    void watchSwitchList(boolean enabled) {
        if (!enabled) {
            switchListSubscriber.stop();
        } else if (switchListTimer == null || !switchListTimer.isScheduled()) {
            Moment now = dialogLayer.timerWheel().now();
            Moment dueAt = switchListSubscribedAt == null ? now : switchListSubscribedAt.plus(RETRY_INTERVAL);
            switchListTimer =
                    dialogLayer.timerWheel().scheduleAt(dueAt.before(now) ? now : dueAt, this::subscribeSwitchList);
        }
    }

    /** Subscribes anew and records the time. */
    private void subscribeSwitchList() {
        switchListSubscribedAt = dialogLayer.timerWheel().now();
        switchListSubscriber.start();
    }

    private void switchListReceived(byte[] body) throws InvalidFileException, InvalidValueException {
        EventPackageCodec.SwitchList switchList = eventPackageCodec.parseSwitchList(body);
        if (!switchList.full() && switchList.version() <= switchListVersion) {
            log.info(
                    dialogLayer.timerWheel().now(),
                    "list-older",
                    "had",
                    switchListVersion,
                    "got",
                    switchList.version());
            return;
        }
        if (!switchList.full() && switchList.version() != switchListVersion + 1) {
            // A notification was lost. This one is still the newest and may announce a drain, so it is reported at
            // once.
            log.info(dialogLayer.timerWheel().now(), "list-gap", "had", switchListVersion, "got", switchList.version());
            switchListSubscriber.refresh();
        }
        switchListVersion = switchList.version();
        switchStateCache.updateSwitches(switchList.entries(), switchList.full());
        reports.switchListReceived(switchList.full() ? ListKind.FULL : ListKind.CHANGES, switchList.entries());
        switchListStore.save(eventPackageCodec.write(
                new EventPackageCodec.SwitchList(switchListVersion, true, switchStateCache.switches())));
    }

    private void switchListFailed(String reason) {
        log.warn(dialogLayer.timerWheel().now(), "list-failed", "why", reason);
        reports.switchListReceived(ListKind.FAILED, List.of());
    }

    private void circuitsReceived(byte[] body) throws InvalidFileException, InvalidValueException {
        EventPackageCodec.CircuitList circuitList = eventPackageCodec.parseCircuitList(body);
        if (!circuitList.full() && circuitList.version() <= circuitsVersion) {
            return;
        }
        if (!circuitList.full() && circuitList.version() != circuitsVersion + 1) {
            circuitsSubscriber.refresh();
        }
        circuitsVersion = circuitList.version();
        switchStateCache.updateGroups(circuitList.groups());
        reports.groupStatesReceived(circuitList.groups());
    }

    private void circuitsFailed(String reason) {
        log.warn(dialogLayer.timerWheel().now(), "circuits-failed", "why", reason);
        if (circuitsRetryTimer == null || !circuitsRetryTimer.isScheduled()) {
            circuitsRetryTimer = dialogLayer.timerWheel().scheduleAfter(RETRY_INTERVAL, circuitsSubscriber::start);
        }
    }

    /** Sends OPTIONS to a switch and reports the result with the load in the response. */
    void probe(ListedSwitch listedSwitch) {
        Request options = outOfDialogRequest("OPTIONS", listedSwitch.uri().toString());
        long target = listedSwitch.entry().id();
        Moment sentAt = dialogLayer.timerWheel().now();
        dialogLayer.transactionLayer().send(options, listedSwitch.hop(), new ClientTransactionUser() {
            @Override
            public void responseReceived(ClientTransaction transaction, Response response) {
                if (!response.isProvisional()) {
                    Span elapsed = dialogLayer.timerWheel().now().since(sentAt);
                    reports.probeCompleted(target, response.isSuccess(), elapsed, SipLoadReport.of(response));
                }
            }

            @Override
            public void failed(ClientTransaction transaction, RequestFailure failure) {
                reports.probeCompleted(
                        target, false, dialogLayer.timerWheel().now().since(sentAt), null);
            }
        });
    }

    /** Sends a note to one peer, or to all with {@link Orders#ALL_PEERS}. */
    void sendNote(int peerNumber, byte[] note) {
        List<ExchangeConfiguration.Peer> receivers = new ArrayList<>();
        configuration.peers().forEach((number, receiver) -> {
            if (peerNumber == Orders.ALL_PEERS || peerNumber == number) {
                receivers.add(receiver);
            }
        });
        for (ExchangeConfiguration.Peer receiver : receivers) {
            Request message = outOfDialogRequest("MESSAGE", receiver.uri());
            message.body("application/octet-stream", note);
            dialogLayer.transactionLayer().send(message, receiver.hop(), IGNORE_OUTCOME);
        }
    }

    /** Notes may be lost: the controller relies on none. */
    private static final ClientTransactionUser IGNORE_OUTCOME = new ClientTransactionUser() {
        @Override
        public void responseReceived(ClientTransaction transaction, Response response) {
            // Nothing depends on the response.
        }

        @Override
        public void failed(ClientTransaction transaction, RequestFailure failure) {
            // Nothing depends on the delivery.
        }
    };

    private Request outOfDialogRequest(String method, String uri) {
        Headers headers = new Headers();
        headers.add("Max-Forwards", "70");
        headers.add(
                "From",
                "<sip:exchange-" + configuration.number() + "@" + "martenslip.invalid>;tag="
                        + dialogLayer.idGenerator().nextTag());
        headers.add("To", "<" + uri + ">")
                .add("Call-ID", dialogLayer.idGenerator().nextCallId("x" + configuration.number()));
        headers.add("CSeq", "1 " + method);
        return new Request(method, uri, headers);
    }

    /** Handles requests outside of dialogs: notifications, notes of peers and probes of this exchange. */
    void requestReceived(ServerTransaction transaction) throws InvalidValueException {
        Request request = transaction.request();
        if (request.hasMethod("NOTIFY")) {
            if (!switchListSubscriber.handleNotify(transaction) && !circuitsSubscriber.handleNotify(transaction)) {
                transaction.respond(request.createResponse(
                        481, "No such subscription", dialogLayer.idGenerator().nextTag()));
            }
        } else if (request.hasMethod("MESSAGE")) {
            peerNoteReceived(transaction, request);
        } else {
            transaction.respond(
                    request.createResponse(200, "OK", dialogLayer.idGenerator().nextTag()));
        }
    }

    private void peerNoteReceived(ServerTransaction transaction, Request request) throws InvalidValueException {
        String user = martenslip.sip.message.SipUri.parse(request.from().uri()).unescapedUser();
        int peerNumber = user != null && user.startsWith("exchange-") && Digits.isDigits(user.substring(9), 5)
                ? Integer.parseInt(user.substring(9))
                : -1;
        if (!configuration.peers().containsKey(peerNumber)) {
            transaction.respond(request.createResponse(
                    403, "Not a peer", dialogLayer.idGenerator().nextTag()));
        } else if (request.body().length > MAX_NOTE_BYTES) {
            transaction.respond(request.createResponse(
                    413,
                    "Note over " + MAX_NOTE_BYTES + " bytes",
                    dialogLayer.idGenerator().nextTag()));
        } else {
            byte[] note = request.body();
            transaction.respond(
                    request.createResponse(200, "OK", dialogLayer.idGenerator().nextTag()));
            reports.peerNoteReceived(peerNumber, note);
        }
    }
}
