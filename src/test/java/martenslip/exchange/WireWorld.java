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
import martenslip.EveryOrder;
import martenslip.EveryOrder.Event;
import martenslip.FiveRules;
import martenslip.Logic;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchLine;
import martenslip.provision.Rejected;
import martenslip.provision.Site;
import martenslip.provision.SiteFile;
import martenslip.signal.Neighbour;
import martenslip.signal.Release;
import martenslip.signal.SwitchText;
import martenslip.sip.dialog.CallIn;
import martenslip.sip.dialog.CallOut;
import martenslip.sip.dialog.CallUser;
import martenslip.sip.dialog.Calls;
import martenslip.sip.dialog.Ending;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Message;
import martenslip.sip.message.Parsed;
import martenslip.sip.message.Parser;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.transaction.Branches;
import martenslip.sip.transaction.Failure;
import martenslip.sip.transaction.Outlet;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.Timers;
import martenslip.sip.transport.Arrival;
import martenslip.sip.transport.Drops;
import martenslip.sip.transport.Hop;
import martenslip.wheel.Wheel;

/**
 * One exchange's real SIP, contacts, decider and module on driven time, between a caller and two switches that are
 * real ends too. It says which events may come next; the rules are judged by what leaves and reaches the exchange.
 */
final class WireWorld implements EveryOrder.World {
    private static final int CALLER = 1000;
    private static final int EXCHANGE = 2000;
    private static final Site SITE = site(300);
    private static final Span SLACK = Span.ofMillis(20);
    private static final Span SILENCE = Span.ofMillis(300);
    /** No message is longer under way. */
    private static final Span LIFE = Span.ofMillis(4000);

    private static final int LONGEST = 80_000;

    record Plan(
            boolean tcp, int circuits, int losses, int refusals, boolean callerLeaves, boolean byes, boolean breaks) {}

    private record Flying(int from, int to, Message message, byte[] bytes, Moment since) {}

    private final class End implements CallUser {
        final int port;
        final Calls calls;
        final List<CallIn> ringing = new ArrayList<>();
        final List<CallIn> standing = new ArrayList<>();

        End(int port) {
            this.port = port;
            calls = new Calls(wheel, Timers.QUICK, outlet(port), new Branches(port), this, new Drops(), 1000);
        }

        @Override
        public void incoming(CallIn call) {
            if (port == EXCHANGE) {
                contacts.incoming(call);
                return;
            }
            ringing.add(call);
            call.progress(call.response(180, "Ringing"));
            call.listen(new CallIn.Listener() {
                @Override
                public void cancelled() {
                    ringing.remove(call);
                }

                @Override
                public void ended(Ending why, Request bye) {
                    standing.remove(call);
                }
            });
        }

        @Override
        public void requested(ServerTransaction transaction) {
            transaction.respond(transaction.request().answer(200, "OK", "t"));
        }

        @Override
        public void broken(Hop hop, boolean everUp) {
            // The calls are told by themselves.
        }

        @Override
        public Set<String> methods() {
            return Set.of("OPTIONS");
        }
    }

    /** A ring as the wire shows it. */
    private static final class Ring {
        final String contact;
        final Moment first;
        boolean heard;
        boolean over;
        Moment last;

        Ring(String contact, Moment at) {
            this.contact = contact;
            first = at;
            last = at;
        }
    }

    private final FiveRules rules;
    private final Plan plan;
    private final BiPredicate<Message, Integer> doubles;
    private final Wheel wheel = new Wheel(new Moment(0));
    private final Map<Integer, End> ends = new LinkedHashMap<>();
    private final List<Flying> flying = new ArrayList<>();
    private final Map<String, Ring> rings = new LinkedHashMap<>();
    private final Map<String, String> contactOf = new HashMap<>();
    private final Map<String, String> answers = new HashMap<>();
    private final Set<String> offered = new HashSet<>();
    private final Contacts contacts;
    private final Decider decider;
    private final Estate estate = new Estate(0, 1);
    private CallOut call;
    private boolean callStands;
    private boolean callOver;
    private int losses;
    private int refusals;
    private boolean left;
    private boolean hungUp;
    private boolean broke;
    private long now;

    WireWorld(Plan plan, Span release, BiPredicate<Message, Integer> doubles) {
        this(SITE, plan, release, doubles);
    }

    WireWorld(Site site, Plan plan, Span release, BiPredicate<Message, Integer> doubles) {
        this.plan = plan;
        this.doubles = doubles;
        rules = new FiveRules(Span.ofMillis(500), release, Span.ofMillis(1000));
        EventLog log = new EventLog(0);
        ToLanes hands = new ToLanes(1, new ToLanes.Way() {
            @Override
            public void toContacts(int lane, Consumer<Contacts> order) {
                order.accept(contacts);
            }

            @Override
            public void toSurroundings(Consumer<Surroundings> order) {
                // Nothing is asked of the list's service here.
            }
        });
        decider = new Decider(site, Logic::new, 1, wheel, hands, log);
        ToDecider reports = new ToDecider((report, refusable) -> {
            report.accept(decider);
            return true;
        });
        for (int port : new int[] {CALLER, EXCHANGE, 3001, 3002}) {
            ends.put(port, new End(port));
        }
        contacts = new Contacts(site, ends.get(EXCHANGE).calls, 0, estate, reports, () -> false, log, new Figures());
        world();
    }

    private void world() {
        List<Neighbour> lines = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            InetSocketAddress at = new InetSocketAddress("127.0.0.1", 3000 + number);
            try {
                lines.add(new Neighbour(
                        new SwitchLine(SwitchText.id(at), number, SwitchLine.State.READY, null, 0),
                        SipUri.of(null, "127.0.0.1", 3000 + number),
                        hop(3000 + number)));
            } catch (BadValue e) {
                throw new IllegalStateException(e);
            }
        }
        decider.listed(ListKind.WHOLE, lines);
        decider.circuits(
                List.of(new SwitchText.GroupState("g1", 4, plan.circuits), new SwitchText.GroupState("g2", 4, 4)));
        decider.begin();
        decider.tellAll();
    }

    /** {@code silence} is after how many milliseconds a ring without a word is given up. */
    static Site site(int silence) {
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
            return SiteFile.read("test", text.getBytes(StandardCharsets.UTF_8), Path.of("."));
        } catch (Rejected e) {
            throw new IllegalStateException(e);
        }
    }

    private Hop hop(int port) {
        return new Hop(plan.tcp ? Hop.Kind.TCP : Hop.Kind.UDP, new InetSocketAddress("127.0.0.1", port), 0);
    }

    private Moment at() {
        return wheel.now();
    }

    private Outlet outlet(int port) {
        return new Outlet() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                Message message = Parser.datagram(bytes, bytes.length).message();
                int times =
                        port == EXCHANGE && doubles.test(message, to.address().getPort()) ? 2 : 1;
                for (int i = 0; i < times; i++) {
                    Message one = i == 0 ? message : other(message);
                    if (port == EXCHANGE) {
                        leaves(one, to.address().getPort());
                    }
                    flying.add(new Flying(port, to.address().getPort(), one, one.bytes(), at()));
                }
                return true;
            }

            @Override
            public String sentBy(Hop.Kind kind) {
                return "127.0.0.1:" + port;
            }
        };
    }

    /** The planted fault: the same in another transaction, or another final answer. */
    private static Message other(Message message) {
        byte[] bytes = message.bytes();
        Message copy = Parser.datagram(bytes, bytes.length).message();
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
                    rules.answered(at(), response.callId());
                }
            } else if (message instanceof Request request && request.is("INVITE") && to >= 3000) {
                ring(request, to);
            } else if (message instanceof Request request && request.is("CANCEL")) {
                over(request.callId(), true);
            }
        } catch (BadValue e) {
            // A 400 bears what was wrong; it is an answer to no contact.
            return;
        }
    }

    private void ring(Request request, int to) {
        String contact = contactOf.get(request.headers().first("Session-ID"));
        Ring known = rings.get(request.callId());
        if (known != null) {
            known.last = at();
            boolean beside = rings.values().stream().anyMatch(one -> one != known && !one.over);
            if (known.over || answers.containsKey(contact) || beside) {
                rules.ring(at(), "0", contact, to);
            }
            return;
        }
        for (Ring one : rings.values()) {
            if (!one.over && !one.heard && !at().before(one.first.plus(SILENCE))) {
                // Given up without a word: nothing of it may go out after this.
                one.over = true;
                rules.ended(one.last, contact, true);
            }
        }
        rings.put(request.callId(), new Ring(contact, at()));
        rules.ring(at(), "0", contact, to);
    }

    private void over(String callId, boolean held) {
        Ring ring = rings.get(callId);
        if (ring != null && !ring.over) {
            ring.over = true;
            rules.ended(at(), ring.contact, held);
        }
    }

    private void reaches(Message message) {
        try {
            if (message instanceof Request request
                    && request.is("INVITE")
                    && request.to().tag().isEmpty()
                    && offered.add(request.callId())) {
                contactOf.put(request.headers().first("Session-ID"), request.callId());
                rules.taken(request.callId(), at().plus(Span.ofMillis(1000)).plus(SLACK));
            } else if (message instanceof Response response
                    && rings.containsKey(response.callId())
                    && response.cseq().method().equals("INVITE")) {
                rings.get(response.callId()).heard = true;
                Release release = Release.of(response);
                boolean beyond = release != null && release.from(Release.TRANSIT);
                if (response.status() >= 300) {
                    over(
                            response.callId(),
                            response.status() == 408
                                    || response.status() == 487
                                    || response.status() == 504 && !beyond);
                }
            }
        } catch (BadValue e) {
            throw new IllegalStateException(e);
        }
    }

    // What may come next.

    @Override
    public List<Event> enabled() {
        List<Event> all = new ArrayList<>();
        if (call == null) {
            all.add(new Event("call", this::call));
            return all;
        }
        Set<String> pairs = new HashSet<>();
        for (Flying one : List.copyOf(flying)) {
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
            End end = ends.get(port);
            for (CallIn one : List.copyOf(end.ringing)) {
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
            for (CallIn one : plan.byes && !hungUp ? List.copyOf(end.standing) : List.<CallIn>of()) {
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
        call = ends.get(CALLER).calls.call(invite, hop(EXCHANGE), new CallOut.Listener() {
            @Override
            public void progress(Response response) {
                // Not judged.
            }

            @Override
            public void stood(Response response) {
                callStands = true;
            }

            @Override
            public void refused(Response response) {
                callOver = true;
            }

            @Override
            public void failed(Failure why) {
                callOver = true;
            }

            @Override
            public void ended(Ending why, Request bye) {
                callOver = true;
            }
        });
    }

    private void deliver(Flying one) {
        flying.remove(one);
        if (one.to == EXCHANGE) {
            reaches(one.message);
        }
        Message read = Parser.datagram(one.bytes, one.bytes.length).message();
        ends.get(one.to).calls.transactions().arrived(new Arrival.Received(read, hop(one.from)));
        decider.tellAll();
    }

    /** Between the exchange and its switches; what was under way is lost, and both ends are told. */
    private void breaks() {
        broke = true;
        flying.removeIf(one -> one.from >= 3000 || one.to >= 3000);
        rings.keySet().forEach(callId -> over(callId, true));
        for (int port : new int[] {3001, 3002}) {
            ends.get(EXCHANGE).calls.transactions().arrived(new Arrival.Broken(hop(port), true, "planted"));
            ends.get(port).calls.transactions().arrived(new Arrival.Broken(hop(EXCHANGE), true, "planted"));
        }
        decider.tellAll();
    }

    /** Bytes that come from one of the ends, as the socket's reader hands them up. True where they are a request. */
    boolean arrive(byte[] bytes, int from) {
        Parsed read = Parser.datagram(bytes, bytes.length);
        if (read.message() == null || read.status() != 0 && !(read.message() instanceof Request)) {
            return false;
        }
        if (read.status() == 0) {
            reaches(read.message());
        }
        ends.get(EXCHANGE)
                .calls
                .transactions()
                .arrived(
                        read.status() == 0
                                ? new Arrival.Received(read.message(), hop(from))
                                : new Arrival.Wrong((Request) read.message(), read.status(), read.fault(), hop(from)));
        decider.tellAll();
        return read.message() instanceof Request;
    }

    void passes(int ms) {
        for (int i = 0; i < ms; i += 5) {
            now += 5;
            wheel.turn(new Moment(Span.ofMillis(now).ns()));
            decider.tellAll();
        }
    }

    /** What the exchange has sent to an end, or with -1 anywhere, and nobody has taken yet. */
    List<Message> sentTo(int port) {
        return flying.stream()
                .filter(one -> one.from == EXCHANGE && (port < 0 || one.to == port))
                .map(Flying::message)
                .toList();
    }

    private boolean busy() {
        return ends.values().stream()
                        .anyMatch(end ->
                                end.calls.open() + end.calls.transactions().open() > 0)
                || decider.size() > 0
                || contacts.open() > 0;
    }

    private boolean old() {
        return flying.stream().anyMatch(one -> at().since(one.since).longerThan(LIFE));
    }

    private int digest() {
        int sum = flying.size() * 31 + decider.size() * 7 + contacts.open();
        for (End end : ends.values()) {
            sum = sum * 13 + end.calls.open() * 3 + end.calls.transactions().open();
        }
        return sum;
    }

    /** Until anything has come of it. */
    private void time() {
        int before = digest();
        for (int i = 0; i < LONGEST && digest() == before && busy() && !old(); i++) {
            now += Math.max(1, wheel.quiet().ns() / 1_000_000);
            wheel.turn(new Moment(Span.ofMillis(now).ns()));
            decider.tellAll();
            rules.at(at());
        }
    }

    @Override
    public FiveRules rules() {
        return rules;
    }

    @Override
    public void quiet() {
        if (busy() || !estate.wills().isEmpty()) {
            StringBuilder left = new StringBuilder("at the end: roll " + decider.size() + ", contacts "
                    + contacts.open() + ", wills " + estate.wills().size());
            ends.forEach((port, end) -> left.append(", ")
                    .append(port)
                    .append(" dialogs ")
                    .append(end.calls.open())
                    .append(" transactions ")
                    .append(end.calls.transactions().open()));
            rules.wrong("quiet", left.toString());
        }
        if (decider.switchboard().toward(1).free != plan.circuits
                || decider.switchboard().toward(2).free != 4) {
            rules.wrong("quiet", "circuits are still held");
        }
    }
}
