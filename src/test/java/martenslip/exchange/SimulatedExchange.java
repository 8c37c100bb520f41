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
 * One exchange's real SIP, contacts, decider and module on driven time, between a caller and two switches that are
 * real ends too. It says which events may come next; the rules are judged by what leaves and reaches the exchange.
 */
final class SimulatedExchange implements InterleavingExplorer.Simulation {
    private static final int CALLER = 1000;
    private static final int EXCHANGE = 2000;
    private static final ExchangeConfiguration SITE = site(300);
    private static final Span SLACK = Span.ofMillis(20);
    private static final Span SILENCE = Span.ofMillis(300);
    /** No message is longer under way. */
    private static final Span LIFE = Span.ofMillis(4000);

    private static final int LONGEST = 80_000;

    record Scenario(
            boolean tcp, int circuits, int losses, int refusals, boolean callerLeaves, boolean byes, boolean breaks) {}

    private record InFlightMessage(int from, int to, Message message, byte[] bytes, Moment since) {}

    private final class SimulatedEndpoint implements UserAgentCore {
        final int port;
        final DialogLayer calls;
        final List<UasCall> ringing = new ArrayList<>();
        final List<UasCall> standing = new ArrayList<>();

        SimulatedEndpoint(int port) {
            this.port = port;
            calls = new DialogLayer(
                    wheel,
                    TransactionTimers.DELAYED_TRYING,
                    outlet(port),
                    new IdGenerator(port),
                    this,
                    new DropCounter(),
                    1000);
        }

        @Override
        public void inviteReceived(UasCall call) {
            if (port == EXCHANGE) {
                contacts.incoming(call);
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
                public void ended(CallEndReason why, Request bye) {
                    standing.remove(call);
                }
            });
        }

        @Override
        public void requestReceived(ServerTransaction transaction) {
            transaction.respond(transaction.request().createResponse(200, "OK", "t"));
        }

        @Override
        public void connectionLost(Hop hop, boolean everUp) {
            // The calls are told by themselves.
        }

        @Override
        public Set<String> additionalMethods() {
            return Set.of("OPTIONS");
        }
    }

    /** A ring as the wire shows it. */
    private static final class ObservedRing {
        final String contact;
        final Moment first;
        boolean heard;
        boolean over;
        Moment last;

        ObservedRing(String contact, Moment at) {
            this.contact = contact;
            first = at;
            last = at;
        }
    }

    private final RuleChecker rules;
    private final Scenario plan;
    private final BiPredicate<Message, Integer> doubles;
    private final TimerWheel wheel = new TimerWheel(new Moment(0));
    private final Map<Integer, SimulatedEndpoint> ends = new LinkedHashMap<>();
    private final List<InFlightMessage> flying = new ArrayList<>();
    private final Map<String, ObservedRing> rings = new LinkedHashMap<>();
    private final Map<String, String> contactOf = new HashMap<>();
    private final Map<String, String> answers = new HashMap<>();
    private final Set<String> offered = new HashSet<>();
    private final Contacts contacts;
    private final Decider decider;
    private final HandoverStore estate = new HandoverStore(0, 1);
    private UacCall call;
    private boolean callStands;
    private boolean callOver;
    private int losses;
    private int refusals;
    private boolean left;
    private boolean hungUp;
    private boolean broke;
    private long now;

    SimulatedExchange(Scenario plan, Span release, BiPredicate<Message, Integer> doubles) {
        this(SITE, plan, release, doubles);
    }

    SimulatedExchange(ExchangeConfiguration site, Scenario plan, Span release, BiPredicate<Message, Integer> doubles) {
        this.plan = plan;
        this.doubles = doubles;
        rules = new RuleChecker(Span.ofMillis(500), release, Span.ofMillis(1000));
        EventLog log = new EventLog(0);
        LaneCommandDispatcher hands = new LaneCommandDispatcher(1, new LaneCommandDispatcher.Channel() {
            @Override
            public void toContacts(int lane, Consumer<Contacts> order) {
                order.accept(contacts);
            }

            @Override
            public void toSurroundings(Consumer<NetworkMonitor> order) {
                // Nothing is asked of the list's service here.
            }
        });
        decider = new Decider(site, RoutingPolicy::new, 1, wheel, hands, log);
        LaneReportDispatcher reports = new LaneReportDispatcher((report, refusable) -> {
            report.accept(decider);
            return true;
        });
        for (int port : new int[] {CALLER, EXCHANGE, 3001, 3002}) {
            ends.put(port, new SimulatedEndpoint(port));
        }
        contacts = new Contacts(
                site, ends.get(EXCHANGE).calls, 0, estate, reports, () -> false, log, new ExchangeStatistics());
        world();
    }

    private void world() {
        List<ListedSwitch> lines = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            InetSocketAddress at = new InetSocketAddress("127.0.0.1", 3000 + number);
            try {
                lines.add(new ListedSwitch(
                        new SwitchEntry(EventPackageCodec.switchId(at), number, SwitchEntry.State.READY, null, 0),
                        SipUri.of(null, "127.0.0.1", 3000 + number),
                        hop(3000 + number)));
            } catch (InvalidValueException e) {
                throw new IllegalStateException(e);
            }
        }
        decider.listed(ListKind.FULL, lines);
        decider.circuits(List.of(
                new EventPackageCodec.GroupState("g1", 4, plan.circuits),
                new EventPackageCodec.GroupState("g2", 4, 4)));
        decider.begin();
        decider.tellAll();
    }

    /** {@code silence} is after how many milliseconds a ring without a word is given up. */
    static ExchangeConfiguration site(int silence) {
        String text = """
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
                """.formatted(silence);
        try {
            return ExchangeFile.read("test", text.getBytes(StandardCharsets.UTF_8), Path.of("."));
        } catch (InvalidFileException e) {
            throw new IllegalStateException(e);
        }
    }

    private Hop hop(int port) {
        return new Hop(plan.tcp ? Hop.Protocol.TCP : Hop.Protocol.UDP, new InetSocketAddress("127.0.0.1", port), 0);
    }

    private Moment at() {
        return wheel.now();
    }

    private MessageSender outlet(int port) {
        return new MessageSender() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                Message message = MessageParser.parse(bytes, bytes.length).message();
                int times =
                        port == EXCHANGE && doubles.test(message, to.address().getPort()) ? 2 : 1;
                for (int i = 0; i < times; i++) {
                    Message one = i == 0 ? message : other(message);
                    if (port == EXCHANGE) {
                        leaves(one, to.address().getPort());
                    }
                    flying.add(new InFlightMessage(port, to.address().getPort(), one, one.bytes(), at()));
                }
                return true;
            }

            @Override
            public String sentBy(Hop.Protocol kind) {
                return "127.0.0.1:" + port;
            }
        };
    }

    /** The planted fault: the same in another transaction, or another final answer. */
    private static Message other(Message message) {
        byte[] bytes = message.bytes();
        Message copy = MessageParser.parse(bytes, bytes.length).message();
        if (copy instanceof Request) {
            copy.headers().set("Call-ID", copy.callId() + "x");
            return copy;
        }
        return new Response(599, "Planted", copy.headers());
    }

    // What the wire shows.

    private void leaves(Message message, int to) {
        try {
            if (message instanceof Response response
                    && to == CALLER
                    && response.status() >= 200
                    && response.cseq().method().equals("INVITE")) {
                String is = response.status() + " " + response.to().tag();
                String before = answers.putIfAbsent(response.callId(), is);
                if (before == null || !before.equals(is)) {
                    rules.contactAnswered(at(), response.callId());
                }
            } else if (message instanceof Request request && request.hasMethod("INVITE") && to >= 3000) {
                ring(request, to);
            } else if (message instanceof Request request && request.hasMethod("CANCEL")) {
                over(request.callId(), true);
            }
        } catch (InvalidValueException e) {
            // A 400 bears what was wrong; it is an answer to no contact.
            return;
        }
    }

    private void ring(Request request, int to) {
        String contact = contactOf.get(request.headers().first("Session-ID"));
        ObservedRing known = rings.get(request.callId());
        if (known != null) {
            known.last = at();
            boolean beside = rings.values().stream().anyMatch(one -> one != known && !one.over);
            if (known.over || answers.containsKey(contact) || beside) {
                rules.ringSent(at(), "0", contact, to);
            }
            return;
        }
        for (ObservedRing one : rings.values()) {
            if (!one.over && !one.heard && !at().before(one.first.plus(SILENCE))) {
                // Given up without a word: nothing of it may go out after this.
                one.over = true;
                rules.ringEnded(one.last, contact, true);
            }
        }
        rings.put(request.callId(), new ObservedRing(contact, at()));
        rules.ringSent(at(), "0", contact, to);
    }

    private void over(String callId, boolean held) {
        ObservedRing ring = rings.get(callId);
        if (ring != null && !ring.over) {
            ring.over = true;
            rules.ringEnded(at(), ring.contact, held);
        }
    }

    private void reaches(Message message) {
        try {
            if (message instanceof Request request
                    && request.hasMethod("INVITE")
                    && request.to().tag().isEmpty()
                    && offered.add(request.callId())) {
                contactOf.put(request.headers().first("Session-ID"), request.callId());
                rules.contactTaken(
                        request.callId(), at().plus(Span.ofMillis(1000)).plus(SLACK));
            } else if (message instanceof Response response
                    && rings.containsKey(response.callId())
                    && response.cseq().method().equals("INVITE")) {
                rings.get(response.callId()).heard = true;
                ReleaseCause release = ReleaseCause.of(response);
                boolean beyond = release != null && release.hasLocation(ReleaseCause.TRANSIT_NETWORK);
                if (response.status() >= 300) {
                    over(
                            response.callId(),
                            response.status() == 408
                                    || response.status() == 487
                                    || response.status() == 504 && !beyond);
                }
            }
        } catch (InvalidValueException e) {
            throw new IllegalStateException(e);
        }
    }

    // What may come next.

    @Override
    public List<Event> enabledEvents() {
        List<Event> all = new ArrayList<>();
        if (call == null) {
            all.add(new Event("call", this::call));
            return all;
        }
        Set<String> pairs = new HashSet<>();
        for (InFlightMessage one : List.copyOf(flying)) {
            String name = one.from + ">" + one.to + " " + word(one.message);
            boolean next = plan.tcp ? pairs.add(one.from + ">" + one.to) : pairs.add(name);
            if (next) {
                all.add(new Event(name, () -> deliver(one)));
                if (!plan.tcp && losses < plan.losses) {
                    all.add(new Event(name + " lost", () -> {
                        losses++;
                        flying.remove(one);
                    }));
                }
            }
        }
        switches(all);
        if (plan.callerLeaves && !left && !callStands && !callOver) {
            all.add(new Event("caller leaves", () -> {
                left = true;
                call.cancel(null);
            }));
        }
        if (callStands && !callOver) {
            all.add(new Event("caller hangs up", () -> {
                callOver = true;
                call.bye(null);
            }));
        }
        if (plan.breaks && !broke && !rings.isEmpty()) {
            all.add(new Event("connection breaks", this::breaks));
        }
        if (busy() && !old()) {
            all.add(new Event("time", this::time));
        }
        return all;
    }

    private void switches(List<Event> all) {
        for (int port : new int[] {3001, 3002}) {
            SimulatedEndpoint end = ends.get(port);
            for (UasCall one : List.copyOf(end.ringing)) {
                all.add(new Event(port + " answers", () -> {
                    end.ringing.remove(one);
                    end.standing.add(one);
                    one.accept(one.response(200, "OK"));
                }));
                for (int status : refusals < plan.refusals ? new int[] {503, 408} : new int[] {}) {
                    all.add(new Event(port + " " + status, () -> {
                        refusals++;
                        end.ringing.remove(one);
                        one.refuse(one.response(status, "No"));
                    }));
                }
            }
            for (UasCall one : plan.byes && !hungUp ? List.copyOf(end.standing) : List.<UasCall>of()) {
                all.add(new Event(port + " hangs up", () -> {
                    hungUp = true;
                    end.standing.remove(one);
                    one.bye(null);
                }));
            }
        }
    }

    static String word(Message message) {
        return message instanceof Request request ? request.method() : "" + ((Response) message).status();
    }

    private void call() {
        Headers headers = new Headers();
        headers.add("Max-Forwards", "70").add("From", "<sip:a@127.0.0.1>;tag=f").add("To", "<sip:+1555@127.0.0.1>");
        headers.add("Call-ID", "contact")
                .add("CSeq", "1 INVITE")
                .add("Session-ID", "session")
                .add("Expires", "1");
        Request invite =
                new Request("INVITE", "sip:+1555@127.0.0.1:2000" + (plan.tcp ? ";transport=tcp" : ""), headers);
        call = ends.get(CALLER).calls.startCall(invite, hop(EXCHANGE), new UacCall.Listener() {
            @Override
            public void progress(Response response) {
                // Not judged.
            }

            @Override
            public void established(Response response) {
                callStands = true;
            }

            @Override
            public void refused(Response response) {
                callOver = true;
            }

            @Override
            public void failed(RequestFailure why) {
                callOver = true;
            }

            @Override
            public void ended(CallEndReason why, Request bye) {
                callOver = true;
            }
        });
    }

    private void deliver(InFlightMessage one) {
        flying.remove(one);
        if (one.to == EXCHANGE) {
            reaches(one.message);
        }
        Message read = MessageParser.parse(one.bytes, one.bytes.length).message();
        ends.get(one.to).calls.transactionLayer().handleEvent(new TransportEvent.MessageReceived(read, hop(one.from)));
        decider.tellAll();
    }

    /** Between the exchange and its switches; what was under way is lost, and both ends are told. */
    private void breaks() {
        broke = true;
        flying.removeIf(one -> one.from >= 3000 || one.to >= 3000);
        rings.keySet().forEach(callId -> over(callId, true));
        for (int port : new int[] {3001, 3002}) {
            ends.get(EXCHANGE)
                    .calls
                    .transactionLayer()
                    .handleEvent(new TransportEvent.ConnectionLost(hop(port), true, "planted"));
            ends.get(port)
                    .calls
                    .transactionLayer()
                    .handleEvent(new TransportEvent.ConnectionLost(hop(EXCHANGE), true, "planted"));
        }
        decider.tellAll();
    }

    /** Bytes that come from one of the ends, as the socket's reader hands them up. True where they are a request. */
    boolean arrive(byte[] bytes, int from) {
        ParseResult read = MessageParser.parse(bytes, bytes.length);
        if (read.message() == null || read.status() != 0 && !(read.message() instanceof Request)) {
            return false;
        }
        if (read.status() == 0) {
            reaches(read.message());
        }
        ends.get(EXCHANGE)
                .calls
                .transactionLayer()
                .handleEvent(
                        read.status() == 0
                                ? new TransportEvent.MessageReceived(read.message(), hop(from))
                                : new TransportEvent.InvalidRequest(
                                        (Request) read.message(), read.status(), read.fault(), hop(from)));
        decider.tellAll();
        return read.message() instanceof Request;
    }

    void passes(int ms) {
        for (int i = 0; i < ms; i += 5) {
            now += 5;
            wheel.advanceTo(new Moment(Span.ofMillis(now).ns()));
            decider.tellAll();
        }
    }

    /** What the exchange has sent to an end, or with -1 anywhere, and nobody has taken yet. */
    List<Message> sentTo(int port) {
        return flying.stream()
                .filter(one -> one.from == EXCHANGE && (port < 0 || one.to == port))
                .map(InFlightMessage::message)
                .toList();
    }

    private boolean busy() {
        return ends.values().stream()
                        .anyMatch(end -> end.calls.openDialogCount()
                                        + end.calls.transactionLayer().openCount()
                                > 0)
                || decider.size() > 0
                || contacts.open() > 0;
    }

    private boolean old() {
        return flying.stream().anyMatch(one -> at().since(one.since).longerThan(LIFE));
    }

    private int digest() {
        int sum = flying.size() * 31 + decider.size() * 7 + contacts.open();
        for (SimulatedEndpoint end : ends.values()) {
            sum = sum * 13
                    + end.calls.openDialogCount() * 3
                    + end.calls.transactionLayer().openCount();
        }
        return sum;
    }

    /** Until anything has come of it. */
    private void time() {
        int before = digest();
        for (int i = 0; i < LONGEST && digest() == before && busy() && !old(); i++) {
            now += Math.max(1, wheel.timeUntilNextTimer().ns() / 1_000_000);
            wheel.advanceTo(new Moment(Span.ofMillis(now).ns()));
            decider.tellAll();
            rules.checkDeadlines(at());
        }
    }

    @Override
    public RuleChecker rules() {
        return rules;
    }

    @Override
    public void checkQuiescent() {
        if (busy() || !estate.wills().isEmpty()) {
            StringBuilder left = new StringBuilder("at the end: roll " + decider.size() + ", contacts "
                    + contacts.open() + ", wills " + estate.wills().size());
            ends.forEach((port, end) -> left.append(", ")
                    .append(port)
                    .append(" dialogs ")
                    .append(end.calls.openDialogCount())
                    .append(" transactions ")
                    .append(end.calls.transactionLayer().openCount()));
            rules.addViolation("quiet", left.toString());
        }
        if (decider.switchboard().toward(1).free != plan.circuits
                || decider.switchboard().toward(2).free != 4) {
            rules.addViolation("quiet", "circuits are still held");
        }
    }
}
