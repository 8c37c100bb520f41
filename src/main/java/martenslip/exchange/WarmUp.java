package martenslip.exchange;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.Controller.ListKind;
import martenslip.control.ControllerFactory;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.eventloop.TimerWheel;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;
import martenslip.sip.dialog.DialogLayer;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.dialog.UserAgentCore;
import martenslip.sip.message.Headers;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Message;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.transaction.IdGenerator;
import martenslip.sip.transaction.MessageSender;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.TransportEvent;

/**
 * Runs the code of contacts on simulated time, without sockets, before the first caller arrives. A process that has
 * just started would otherwise need hundreds of milliseconds for its first contacts, which after a crash are many at
 * once and may have little patience left. Everything it builds is discarded.
 */
final class WarmUp {
    private static final int CONTACT_COUNT = 400;
    private static final Span TIME_STEP = Span.ofMillis(5);

    private final ExchangeConfiguration configuration;
    private final ControllerFactory controllerFactory;
    private final TimerWheel timerWheel = new TimerWheel(new Moment(0));
    private final Deque<byte[]> sentMessages = new ArrayDeque<>();
    private final Hop farHop = Hop.udp(new InetSocketAddress("127.0.0.1", 9));
    private DialogLayer dialogLayer;
    private Contacts contacts;
    private Decider decider;
    private Moment now = new Moment(0);

    WarmUp(ExchangeConfiguration configuration, ControllerFactory controllerFactory) {
        this.configuration = configuration;
        this.controllerFactory = controllerFactory;
    }

    /** Runs all contacts; does nothing if no neighbouring exchange has a prefix. */
    void run() {
        List<Integer> reachableExchanges = configuration.groups().keySet().stream()
                .filter(exchangeNumber -> configuration.numbering().firstPrefixOf(exchangeNumber) != null)
                .toList();
        if (reachableExchanges.isEmpty()) {
            return;
        }
        createExchangeParts();
        for (int i = 0; i < CONTACT_COUNT; i++) {
            runContact(
                    i, configuration.numbering().firstPrefixOf(reachableExchanges.get(i % reachableExchanges.size())));
        }
    }

    private void createExchangeParts() {
        MessageSender messageSender = new MessageSender() {
            @Override
            public boolean send(byte[] bytes, Hop hop) {
                sentMessages.add(bytes);
                return true;
            }

            @Override
            public String sentBy(Hop.Protocol protocol) {
                return "127.0.0.1:8";
            }
        };
        dialogLayer = new DialogLayer(
                timerWheel,
                TransactionTimers.RFC_3261,
                messageSender,
                new IdGenerator(1),
                userAgentCore(),
                new DropCounter(),
                1 << 16);
        EventLog log = new EventLog(configuration.number());
        LaneCommandDispatcher laneCommands = new LaneCommandDispatcher(1, new LaneCommandDispatcher.Channel() {
            @Override
            public void toContacts(int laneNumber, Consumer<Contacts> command) {
                command.accept(contacts);
            }

            @Override
            public void toNetworkMonitor(Consumer<NetworkMonitor> command) {
                // There is no network in the warm-up.
            }
        });
        decider = new Decider(configuration, controllerFactory, 1, timerWheel, laneCommands, log);
        LaneReportDispatcher reports = new LaneReportDispatcher((report, mayBeRefused) -> {
            report.accept(decider);
            return true;
        });
        contacts = new Contacts(
                configuration,
                dialogLayer,
                0,
                new HandoverStore(0, 1),
                reports,
                () -> false,
                log,
                new ExchangeStatistics());
        List<ListedSwitch> listedSwitches = new ArrayList<>();
        for (ExchangeConfiguration.Group group : configuration.groups().values()) {
            SwitchEntry entry =
                    new SwitchEntry(group.farExchange() + 1, group.farExchange(), SwitchEntry.State.READY, null, 0);
            listedSwitches.add(new ListedSwitch(entry, SipUri.of(null, "127.0.0.1", 9), farHop));
        }
        decider.switchListReceived(ListKind.FULL, listedSwitches);
        decider.groupStatesReceived(configuration.groups().values().stream()
                .map(group -> new EventPackageCodec.GroupState(group.name(), group.circuits(), group.circuits()))
                .toList());
        decider.start();
        decider.deliverPendingEvents();
    }

    private void runContact(int contactNumber, String prefix) {
        Headers headers = new Headers();
        headers.add("Via", "SIP/2.0/UDP 127.0.0.1:9;branch=z9hG4bKw" + contactNumber)
                .add("Max-Forwards", "70");
        headers.add("From", "<sip:w@127.0.0.1>;tag=w" + contactNumber).add("To", "<sip:" + prefix + "0@127.0.0.1>");
        headers.add("Call-ID", "warm-" + contactNumber).add("CSeq", "1 INVITE").add("Contact", "<sip:w@127.0.0.1:9>");
        headers.add("Expires", "5");
        receive(new Request("INVITE", "sip:" + prefix + "0@127.0.0.1", headers));
        for (int round = 0; round < 8; round++) {
            answerSentMessages();
        }
    }

    private void receive(Message message) {
        byte[] bytes = message.bytes();
        Message parsed = MessageParser.parse(bytes, bytes.length).message();
        now = now.plus(TIME_STEP);
        timerWheel.advanceTo(now);
        dialogLayer.transactionLayer().handleEvent(new TransportEvent.MessageReceived(parsed, farHop, now));
        decider.deliverPendingEvents();
    }

    /** Acts as the switch and the caller: sends 200 to each request, and ACK and then BYE for each 200 to an INVITE. */
    private void answerSentMessages() {
        for (int remaining = sentMessages.size(); remaining > 0; remaining--) {
            byte[] bytes = sentMessages.poll();
            Message message = MessageParser.parse(bytes, bytes.length).message();
            try {
                if (message instanceof Request request && !request.hasMethod("ACK")) {
                    Response ok = request.createResponse(200, "OK", "far");
                    ok.headers().add("Contact", "<sip:far@127.0.0.1:9>");
                    receive(ok);
                } else if (message instanceof Response response
                        && response.isSuccess()
                        && response.cseq().method().equals("INVITE")) {
                    receive(inDialogRequest(response, "ACK", 1));
                    receive(inDialogRequest(response, "BYE", 2));
                }
            } catch (InvalidValueException e) {
                throw new IllegalStateException("message built by the warm-up cannot be parsed", e);
            }
        }
    }

    private static Request inDialogRequest(Response response, String method, int sequenceNumber) {
        Headers headers = new Headers();
        headers.add("Via", "SIP/2.0/UDP 127.0.0.1:9;branch=z9hG4bK" + method + response.callId());
        headers.add("Max-Forwards", "70").add("From", response.headers().first("From"));
        headers.add("To", response.headers().first("To")).add("Call-ID", response.callId());
        headers.add("CSeq", sequenceNumber + " " + method);
        return new Request(method, "sip:x@127.0.0.1:8", headers);
    }

    private UserAgentCore userAgentCore() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {
                contacts.inviteReceived(call);
            }

            @Override
            public void requestReceived(ServerTransaction transaction) {
                transaction.respond(transaction.request().createResponse(200, "OK", "w"));
            }

            @Override
            public void connectionLost(Hop hop, boolean everUp) {
                // There are no connections in the warm-up.
            }

            @Override
            public Set<String> additionalMethods() {
                return Set.of();
            }
        };
    }
}
