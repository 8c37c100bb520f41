package martenslip.exchange;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import martenslip.InterleavingExplorer;
import martenslip.InterleavingExplorer.Event;
import martenslip.RoutingPolicy;
import martenslip.RuleChecker;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.configuration.ExchangeFile;
import martenslip.configuration.InvalidFileException;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.eventloop.TimerWheel;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;
import martenslip.signaling.ReleaseCause;
import martenslip.sip.dialog.CallEndReason;
import martenslip.sip.dialog.DialogLayer;
import martenslip.sip.dialog.UacCall;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.dialog.UserAgentCore;
import martenslip.sip.message.Headers;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Message;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.ParseResult;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.transaction.IdGenerator;
import martenslip.sip.transaction.MessageSender;
import martenslip.sip.transaction.RequestFailure;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.TransportEvent;

/**
 * The real SIP layers, contacts, decider and routing policy of one exchange on simulated time, between a caller and two
 * switches that use the real SIP layers too. It lists the events that may come next, and checks the rules on the
 * messages that the exchange sends and receives.
 */
final class SimulatedExchange implements InterleavingExplorer.Simulation {
    private static final int CALLER_PORT = 1000;
    private static final int EXCHANGE_PORT = 2000;
    /** The switch of exchange n listens on this port plus n. */
    private static final int SWITCH_PORT_BASE = 3000;

    private static final ExchangeConfiguration CONFIGURATION = configuration(300);
    private static final Span ANSWER_TOLERANCE = Span.ofMillis(20);
    private static final Span SILENCE_TIMEOUT = Span.ofMillis(300);
    /** The longest time that a message may be in flight. */
    private static final Span MAX_MESSAGE_TRANSIT_TIME = Span.ofMillis(4000);

    private static final int MAX_TIME_STEPS = 80_000;

    /**
     * What may happen: TCP or UDP, the free circuits of the direct group, at most how many losses and refusals, whether
     * the caller may leave before an answer, a switch may hang up, and the connections to the switches may break.
     */
    record Scenario(
            boolean tcp,
            int freeCircuits,
            int maxLosses,
            int maxRefusals,
            boolean callerLeaves,
            boolean hangUps,
            boolean connectionBreaks) {}

    private record InFlightMessage(int senderPort, int receiverPort, Message message, byte[] bytes, Moment sentAt) {}

    private final class SimulatedEndpoint implements UserAgentCore {
        final int port;
        final DialogLayer dialogLayer;
        final List<UasCall> ringing = new ArrayList<>();
        final List<UasCall> established = new ArrayList<>();

        SimulatedEndpoint(int port) {
            this.port = port;
            dialogLayer = new DialogLayer(
                    timerWheel,
                    TransactionTimers.DELAYED_TRYING,
                    messageSender(port),
                    new IdGenerator(port),
                    this,
                    new DropCounter(),
                    1000);
        }

        @Override
        public void inviteReceived(UasCall call) {
            if (port == EXCHANGE_PORT) {
                contacts.inviteReceived(call);
                return;
            }
            ringing.add(call);
            call.progress(call.response(180, "Ringing"));
            call.setListener(new UasCall.Listener() {
                @Override
                public void cancelled() {
                    ringing.remove(call);
                }

                @Override
                public void ended(CallEndReason endReason, Request bye) {
                    established.remove(call);
                }
            });
        }

        @Override
        public void requestReceived(ServerTransaction transaction) {
            transaction.respond(transaction.request().createResponse(200, "OK", "t"));
        }

        @Override
        public void connectionLost(Hop hop, boolean everUp) {
            // The calls are notified by the dialog layer.
        }

        @Override
        public Set<String> additionalMethods() {
            return Set.of("OPTIONS");
        }
    }

    /** A ring as seen in the messages. */
    private static final class ObservedRing {
        final String contact;
        final Moment firstSentAt;
        boolean responseReceived;
        boolean ended;
        Moment lastSentAt;

        ObservedRing(String contact, Moment sentAt) {
            this.contact = contact;
            firstSentAt = sentAt;
            lastSentAt = sentAt;
        }
    }

    private final RuleChecker rules;
    private final Scenario scenario;
    private final BiPredicate<Message, Integer> duplicated;
    private final TimerWheel timerWheel = new TimerWheel(new Moment(0));
    private final Map<Integer, SimulatedEndpoint> endpoints = new LinkedHashMap<>();
    private final List<InFlightMessage> inFlightMessages = new ArrayList<>();
    private final Map<String, ObservedRing> ringsByCallId = new LinkedHashMap<>();
    private final Map<String, String> contactsBySessionId = new HashMap<>();
    private final Map<String, String> answersByContact = new HashMap<>();
    private final Set<String> offeredCallIds = new HashSet<>();
    private final Contacts contacts;
    private final Decider decider;
    private final HandoverStore handoverStore = new HandoverStore(0, 1);
    private UacCall callerCall;
    private boolean callEstablished;
    private boolean callEnded;
    private int lossCount;
    private int refusalCount;
    private boolean callerLeft;
    private boolean hungUp;
    private boolean connectionBroken;
    private long nowMs;

    SimulatedExchange(Scenario scenario, Span releaseTime, BiPredicate<Message, Integer> duplicated) {
        this(CONFIGURATION, scenario, releaseTime, duplicated);
    }

    SimulatedExchange(
            ExchangeConfiguration configuration,
            Scenario scenario,
            Span releaseTime,
            BiPredicate<Message, Integer> duplicated) {
        this.scenario = scenario;
        this.duplicated = duplicated;
        rules = new RuleChecker(Span.ofMillis(500), releaseTime, Span.ofMillis(1000));
        EventLog log = new EventLog(0);
        LaneCommandDispatcher laneCommands = new LaneCommandDispatcher(1, new LaneCommandDispatcher.Channel() {
            @Override
            public void toContacts(int laneNumber, Consumer<Contacts> command) {
                command.accept(contacts);
            }

            @Override
            public void toNetworkMonitor(Consumer<NetworkMonitor> command) {
                // The simulation has no switch list service and no peers.
            }
        });
        decider = new Decider(configuration, RoutingPolicy::new, 1, timerWheel, laneCommands, log);
        LaneReportDispatcher reports = new LaneReportDispatcher((report, mayBeRefused) -> {
            report.accept(decider);
            return true;
        });
        for (int port : new int[] {CALLER_PORT, EXCHANGE_PORT, 3001, 3002}) {
            endpoints.put(port, new SimulatedEndpoint(port));
        }
        contacts = new Contacts(
                configuration,
                endpoints.get(EXCHANGE_PORT).dialogLayer,
                0,
                handoverStore,
                reports,
                () -> false,
                log,
                new ExchangeStatistics());
        loadSwitchesAndCircuits();
    }

    private void loadSwitchesAndCircuits() {
        List<ListedSwitch> listedSwitches = new ArrayList<>();
        for (int exchangeNumber = 0; exchangeNumber < 3; exchangeNumber++) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", SWITCH_PORT_BASE + exchangeNumber);
            try {
                listedSwitches.add(new ListedSwitch(
                        new SwitchEntry(
                                EventPackageCodec.switchId(address), exchangeNumber, SwitchEntry.State.READY, null, 0),
                        SipUri.of(null, "127.0.0.1", SWITCH_PORT_BASE + exchangeNumber),
                        hop(SWITCH_PORT_BASE + exchangeNumber)));
            } catch (InvalidValueException e) {
                throw new IllegalStateException(e);
            }
        }
        decider.switchListReceived(ListKind.FULL, listedSwitches);
        decider.groupStatesReceived(List.of(
                new EventPackageCodec.GroupState("g1", 4, scenario.freeCircuits),
                new EventPackageCodec.GroupState("g2", 4, 4)));
        decider.start();
        decider.deliverPendingEvents();
    }

    /** A configuration that gives up a ring without a response after this time. */
    static ExchangeConfiguration configuration(int silenceMs) {
        String xml = """
                <exchange xmlns="urn:martenslip:exchange:1" number="0" region="r" seed="1">
                <listen host="127.0.0.1" udp="2000" tcp="2000"/><circuits uri="sip:c@127.0.0.1:9"/>
                <switch-list uri="sip:l@127.0.0.1:9" kept="k.xml"/><regions><region name="r"/></regions>
                <skills usual="s"><skill name="s" value="1" width="1" answer-target-ms="400" patience-ms="1500"
                mean-hold-ms="1000"/></skills><numbering><prefix digits="+1" exchange="1"/>
                <prefix digits="+2" exchange="2"/><prefix digits="+9" exchange="0"/></numbering>
                <groups trunk-context="t.example"><group name="g1" far="1" circuits="4"/>
                <group name="g2" far="2" circuits="4"/></groups>
                <limits most-rings="3" most-open="20" come-back-ms="2000" silence-ms="%d"/>
                <rules release-ms="100" cold-share="0.3" warm-within-ms="1000" fall-multiple="3"/>
                <reports fields="allowed depth"/><peers/></exchange>
                """.formatted(silenceMs);
        try {
            return ExchangeFile.read("test", xml.getBytes(StandardCharsets.UTF_8), Path.of("."));
        } catch (InvalidFileException e) {
            throw new IllegalStateException(e);
        }
    }

    private Hop hop(int port) {
        return new Hop(scenario.tcp ? Hop.Protocol.TCP : Hop.Protocol.UDP, new InetSocketAddress("127.0.0.1", port), 0);
    }

    private Moment now() {
        return timerWheel.now();
    }

    private MessageSender messageSender(int port) {
        return new MessageSender() {
            @Override
            public boolean send(byte[] bytes, Hop hop) {
                Message message = MessageParser.parse(bytes, bytes.length).message();
                int times = port == EXCHANGE_PORT
                                && duplicated.test(message, hop.address().getPort())
                        ? 2
                        : 1;
                for (int i = 0; i < times; i++) {
                    Message copy = i == 0 ? message : alteredCopy(message);
                    if (port == EXCHANGE_PORT) {
                        messageSent(copy, hop.address().getPort());
                    }
                    inFlightMessages.add(new InFlightMessage(port, hop.address().getPort(), copy, copy.bytes(), now()));
                }
                return true;
            }

            @Override
            public String sentBy(Hop.Protocol protocol) {
                return "127.0.0.1:" + port;
            }
        };
    }

    /** The injected fault: the same request in another transaction, or a second final answer. */
    private static Message alteredCopy(Message message) {
        byte[] bytes = message.bytes();
        Message copy = MessageParser.parse(bytes, bytes.length).message();
        if (copy instanceof Request) {
            copy.headers().set("Call-ID", copy.callId() + "x");
            return copy;
        }
        return new Response(599, "Injected", copy.headers());
    }

    // Checks on the messages that the exchange sends and receives.

    private void messageSent(Message message, int receiverPort) {
        try {
            if (message instanceof Response response
                    && receiverPort == CALLER_PORT
                    && response.status() >= 200
                    && response.cseq().method().equals("INVITE")) {
                String answer = response.status() + " " + response.to().tag();
                String earlierAnswer = answersByContact.putIfAbsent(response.callId(), answer);
                if (earlierAnswer == null || !earlierAnswer.equals(answer)) {
                    rules.contactAnswered(now(), response.callId());
                }
            } else if (message instanceof Request request
                    && request.hasMethod("INVITE")
                    && receiverPort >= SWITCH_PORT_BASE) {
                inviteSent(request, receiverPort);
            } else if (message instanceof Request request && request.hasMethod("CANCEL")) {
                ringEnded(request.callId(), true);
            }
        } catch (InvalidValueException e) {
            // A 400 may repeat the invalid value; it answers no contact.
            return;
        }
    }

    private void inviteSent(Request invite, int receiverPort) {
        String contact = contactsBySessionId.get(invite.headers().first("Session-ID"));
        ObservedRing earlierRing = ringsByCallId.get(invite.callId());
        if (earlierRing != null) {
            earlierRing.lastSentAt = now();
            boolean otherInFlight =
                    ringsByCallId.values().stream().anyMatch(ring -> ring != earlierRing && !ring.ended);
            if (earlierRing.ended || answersByContact.containsKey(contact) || otherInFlight) {
                rules.ringSent(now(), "0", contact, receiverPort);
            }
            return;
        }
        for (ObservedRing ring : ringsByCallId.values()) {
            if (!ring.ended && !ring.responseReceived && !now().before(ring.firstSentAt.plus(SILENCE_TIMEOUT))) {
                // Given up without a response: nothing of this ring may be sent any more.
                ring.ended = true;
                rules.ringEnded(ring.lastSentAt, contact, true);
            }
        }
        ringsByCallId.put(invite.callId(), new ObservedRing(contact, now()));
        rules.ringSent(now(), "0", contact, receiverPort);
    }

    private void ringEnded(String callId, boolean mayHoldCircuits) {
        ObservedRing ring = ringsByCallId.get(callId);
        if (ring != null && !ring.ended) {
            ring.ended = true;
            rules.ringEnded(now(), ring.contact, mayHoldCircuits);
        }
    }

    private void messageReceived(Message message) {
        try {
            if (message instanceof Request request
                    && request.hasMethod("INVITE")
                    && request.to().tag().isEmpty()
                    && offeredCallIds.add(request.callId())) {
                contactsBySessionId.put(request.headers().first("Session-ID"), request.callId());
                rules.contactTaken(
                        request.callId(), now().plus(Span.ofMillis(1000)).plus(ANSWER_TOLERANCE));
            } else if (message instanceof Response response
                    && ringsByCallId.containsKey(response.callId())
                    && response.cseq().method().equals("INVITE")) {
                ringsByCallId.get(response.callId()).responseReceived = true;
                ReleaseCause releaseCause = ReleaseCause.of(response);
                boolean fromTransit = releaseCause != null && releaseCause.hasLocation(ReleaseCause.TRANSIT_NETWORK);
                if (response.status() >= 300) {
                    ringEnded(
                            response.callId(),
                            response.status() == 408
                                    || response.status() == 487
                                    || response.status() == 504 && !fromTransit);
                }
            }
        } catch (InvalidValueException e) {
            throw new IllegalStateException(e);
        }
    }

    // Events that may come next.

    @Override
    public List<Event> enabledEvents() {
        List<Event> events = new ArrayList<>();
        if (callerCall == null) {
            events.add(new Event("call", this::startCall));
            return events;
        }
        Set<String> usedPaths = new HashSet<>();
        for (InFlightMessage message : List.copyOf(inFlightMessages)) {
            String eventName = message.senderPort + ">" + message.receiverPort + " " + label(message.message);
            boolean deliverable = scenario.tcp
                    ? usedPaths.add(message.senderPort + ">" + message.receiverPort)
                    : usedPaths.add(eventName);
            if (deliverable) {
                events.add(new Event(eventName, () -> deliver(message)));
                if (!scenario.tcp && lossCount < scenario.maxLosses) {
                    events.add(new Event(eventName + " lost", () -> {
                        lossCount++;
                        inFlightMessages.remove(message);
                    }));
                }
            }
        }
        addSwitchEvents(events);
        if (scenario.callerLeaves && !callerLeft && !callEstablished && !callEnded) {
            events.add(new Event("caller leaves", () -> {
                callerLeft = true;
                callerCall.cancel(null);
            }));
        }
        if (callEstablished && !callEnded) {
            events.add(new Event("caller hangs up", () -> {
                callEnded = true;
                callerCall.bye(null);
            }));
        }
        if (scenario.connectionBreaks && !connectionBroken && !ringsByCallId.isEmpty()) {
            events.add(new Event("connection breaks", this::breakConnection));
        }
        if (hasOpenWork() && !hasOverdueMessage()) {
            events.add(new Event("time", this::advanceToNextChange));
        }
        return events;
    }

    private void addSwitchEvents(List<Event> events) {
        for (int port : new int[] {3001, 3002}) {
            SimulatedEndpoint endpoint = endpoints.get(port);
            for (UasCall switchCall : List.copyOf(endpoint.ringing)) {
                events.add(new Event(port + " answers", () -> {
                    endpoint.ringing.remove(switchCall);
                    endpoint.established.add(switchCall);
                    switchCall.accept(switchCall.response(200, "OK"));
                }));
                for (int status : refusalCount < scenario.maxRefusals ? new int[] {503, 408} : new int[] {}) {
                    events.add(new Event(port + " " + status, () -> {
                        refusalCount++;
                        endpoint.ringing.remove(switchCall);
                        switchCall.refuse(switchCall.response(status, "No"));
                    }));
                }
            }
            for (UasCall switchCall :
                    scenario.hangUps && !hungUp ? List.copyOf(endpoint.established) : List.<UasCall>of()) {
                events.add(new Event(port + " hangs up", () -> {
                    hungUp = true;
                    endpoint.established.remove(switchCall);
                    switchCall.bye(null);
                }));
            }
        }
    }

    static String label(Message message) {
        return message instanceof Request request ? request.method() : "" + ((Response) message).status();
    }

    private void startCall() {
        Headers headers = new Headers();
        headers.add("Max-Forwards", "70").add("From", "<sip:a@127.0.0.1>;tag=f").add("To", "<sip:+1555@127.0.0.1>");
        headers.add("Call-ID", "contact")
                .add("CSeq", "1 INVITE")
                .add("Session-ID", "session")
                .add("Expires", "1");
        Request invite =
                new Request("INVITE", "sip:+1555@127.0.0.1:2000" + (scenario.tcp ? ";transport=tcp" : ""), headers);
        callerCall = endpoints
                .get(CALLER_PORT)
                .dialogLayer
                .startCall(invite, hop(EXCHANGE_PORT), new UacCall.Listener() {
                    @Override
                    public void progress(Response response) {
                        // Provisional responses are not checked.
                    }

                    @Override
                    public void established(Response response) {
                        callEstablished = true;
                    }

                    @Override
                    public void refused(Response response) {
                        callEnded = true;
                    }

                    @Override
                    public void failed(RequestFailure failure) {
                        callEnded = true;
                    }

                    @Override
                    public void ended(CallEndReason endReason, Request bye) {
                        callEnded = true;
                    }
                });
    }

    private void deliver(InFlightMessage inFlight) {
        inFlightMessages.remove(inFlight);
        if (inFlight.receiverPort == EXCHANGE_PORT) {
            messageReceived(inFlight.message);
        }
        Message message =
                MessageParser.parse(inFlight.bytes, inFlight.bytes.length).message();
        endpoints
                .get(inFlight.receiverPort)
                .dialogLayer
                .transactionLayer()
                .handleEvent(new TransportEvent.MessageReceived(message, hop(inFlight.senderPort), timerWheel.now()));
        decider.deliverPendingEvents();
    }

    /**
     * Breaks the connections between the exchange and its switches: messages in flight are lost, and both ends are
     * notified.
     */
    private void breakConnection() {
        connectionBroken = true;
        inFlightMessages.removeIf(
                message -> message.senderPort >= SWITCH_PORT_BASE || message.receiverPort >= SWITCH_PORT_BASE);
        ringsByCallId.keySet().forEach(callId -> ringEnded(callId, true));
        for (int port : new int[] {3001, 3002}) {
            endpoints
                    .get(EXCHANGE_PORT)
                    .dialogLayer
                    .transactionLayer()
                    .handleEvent(new TransportEvent.ConnectionLost(hop(port), true, "injected"));
            endpoints
                    .get(port)
                    .dialogLayer
                    .transactionLayer()
                    .handleEvent(new TransportEvent.ConnectionLost(hop(EXCHANGE_PORT), true, "injected"));
        }
        decider.deliverPendingEvents();
    }

    /** Passes bytes from an endpoint to the exchange as the socket reader does. Returns true if they are a request. */
    boolean receive(byte[] bytes, int senderPort) {
        return receive(bytes, senderPort, timerWheel.now());
    }

    /** As {@link #receive(byte[], int)}, for bytes that were read earlier and have waited for their thread. */
    boolean receive(byte[] bytes, int senderPort, Moment receivedAt) {
        ParseResult result = MessageParser.parse(bytes, bytes.length);
        if (result.message() == null || result.status() != 0 && !(result.message() instanceof Request)) {
            return false;
        }
        if (result.status() == 0) {
            messageReceived(result.message());
        }
        endpoints
                .get(EXCHANGE_PORT)
                .dialogLayer
                .transactionLayer()
                .handleEvent(
                        result.status() == 0
                                ? new TransportEvent.MessageReceived(result.message(), hop(senderPort), receivedAt)
                                : new TransportEvent.InvalidRequest(
                                        (Request) result.message(), result.status(), result.fault(), hop(senderPort)));
        decider.deliverPendingEvents();
        return result.message() instanceof Request;
    }

    Moment nowMinusMillis(int durationMs) {
        return timerWheel.now().plus(Span.ofMillis(-durationMs));
    }

    void advanceMillis(int durationMs) {
        for (int i = 0; i < durationMs; i += 5) {
            nowMs += 5;
            timerWheel.advanceTo(new Moment(Span.ofMillis(nowMs).ns()));
            decider.deliverPendingEvents();
        }
    }

    /** Messages in flight from the exchange to this port, or to any port with -1. */
    List<Message> sentTo(int port) {
        return inFlightMessages.stream()
                .filter(message -> message.senderPort == EXCHANGE_PORT && (port < 0 || message.receiverPort == port))
                .map(InFlightMessage::message)
                .toList();
    }

    private boolean hasOpenWork() {
        return endpoints.values().stream()
                        .anyMatch(endpoint -> endpoint.dialogLayer.openDialogCount()
                                        + endpoint.dialogLayer
                                                .transactionLayer()
                                                .openCount()
                                > 0)
                || decider.trackedContactCount() > 0
                || contacts.openCount() > 0;
    }

    /** True if a message is in flight for longer than allowed: it must be delivered or lost before time goes on. */
    private boolean hasOverdueMessage() {
        return inFlightMessages.stream()
                .anyMatch(message -> now().since(message.sentAt).longerThan(MAX_MESSAGE_TRANSIT_TIME));
    }

    /** A number that changes with the counts of open work. */
    private int stateDigest() {
        int digest = inFlightMessages.size() * 31 + decider.trackedContactCount() * 7 + contacts.openCount();
        for (SimulatedEndpoint endpoint : endpoints.values()) {
            digest = digest * 13
                    + endpoint.dialogLayer.openDialogCount() * 3
                    + endpoint.dialogLayer.transactionLayer().openCount();
        }
        return digest;
    }

    /** Advances the time until the state changes. */
    private void advanceToNextChange() {
        int digestBefore = stateDigest();
        for (int i = 0;
                i < MAX_TIME_STEPS && stateDigest() == digestBefore && hasOpenWork() && !hasOverdueMessage();
                i++) {
            nowMs += Math.max(1, timerWheel.timeUntilNextTimer().ns() / 1_000_000);
            timerWheel.advanceTo(new Moment(Span.ofMillis(nowMs).ns()));
            decider.deliverPendingEvents();
            rules.checkDeadlines(now());
        }
    }

    @Override
    public RuleChecker rules() {
        return rules;
    }

    @Override
    public void checkQuiescent() {
        if (hasOpenWork() || !handoverStore.records().isEmpty()) {
            StringBuilder leftover = new StringBuilder("at the end: tracked contacts " + decider.trackedContactCount()
                    + ", open contacts " + contacts.openCount() + ", handover records "
                    + handoverStore.records().size());
            endpoints.forEach((port, endpoint) -> leftover.append(", ")
                    .append(port)
                    .append(" dialogs ")
                    .append(endpoint.dialogLayer.openDialogCount())
                    .append(" transactions ")
                    .append(endpoint.dialogLayer.transactionLayer().openCount()));
            rules.addViolation("quiescence", leftover.toString());
        }
        if (decider.switchRegistry().groupToward(1).free != scenario.freeCircuits
                || decider.switchRegistry().groupToward(2).free != 4) {
            rules.addViolation("quiescence", "circuits are still held");
        }
    }
}
