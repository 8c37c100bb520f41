package martenslip.exchange;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import martenslip.control.Controller.ListKind;
import martenslip.control.Maker;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchLine;
import martenslip.provision.Site;
import martenslip.signal.Neighbour;
import martenslip.signal.SwitchText;
import martenslip.sip.dialog.CallIn;
import martenslip.sip.dialog.CallUser;
import martenslip.sip.dialog.Calls;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Message;
import martenslip.sip.message.Parser;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.transaction.Branches;
import martenslip.sip.transaction.Outlet;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.Timers;
import martenslip.sip.transport.Arrival;
import martenslip.sip.transport.Drops;
import martenslip.sip.transport.Hop;
import martenslip.wheel.Wheel;

/**
 * Runs the code of a contact on driven time, without sockets, before the first caller comes. A process that has just
 * started would else need hundreds of milliseconds for its first contacts, which after a crash are many at once and
 * may have little patience left. All it builds is thrown away.
 */
final class Warming {
    private static final int CONTACTS = 400;
    private static final Span STEP = Span.ofMillis(5);

    private final Site site;
    private final Maker maker;
    private final Wheel wheel = new Wheel(new Moment(0));
    private final Deque<byte[]> sent = new ArrayDeque<>();
    private final Hop far = Hop.udp(new InetSocketAddress("127.0.0.1", 9));
    private Calls calls;
    private Contacts contacts;
    private Decider decider;
    private Moment now = new Moment(0);

    Warming(Site site, Maker maker) {
        this.site = site;
        this.maker = maker;
    }

    void run() {
        List<Integer> reached = site.groups().keySet().stream()
                .filter(one -> site.numbering().leadingTo(one) != null)
                .toList();
        if (reached.isEmpty()) {
            return;
        }
        build();
        for (int i = 0; i < CONTACTS; i++) {
            contact(i, site.numbering().leadingTo(reached.get(i % reached.size())));
        }
    }

    private void build() {
        Outlet outlet = new Outlet() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                sent.add(bytes);
                return true;
            }

            @Override
            public String sentBy(Hop.Kind kind) {
                return "127.0.0.1:8";
            }
        };
        calls = new Calls(wheel, Timers.RFC, outlet, new Branches(1), user(), new Drops(), 1 << 16);
        EventLog log = new EventLog(site.number());
        ToLanes hands = new ToLanes(1, new ToLanes.Way() {
            @Override
            public void toContacts(int lane, Consumer<Contacts> order) {
                order.accept(contacts);
            }

            @Override
            public void toSurroundings(Consumer<Surroundings> order) {
                // The world around is not there.
            }
        });
        decider = new Decider(site, maker, 1, wheel, hands, log);
        ToDecider reports = new ToDecider((report, refusable) -> {
            report.accept(decider);
            return true;
        });
        contacts = new Contacts(site, calls, 0, new Estate(0, 1), reports, () -> false, log, new Figures());
        List<Neighbour> lines = new ArrayList<>();
        for (Site.Group group : site.groups().values()) {
            SwitchLine line = new SwitchLine(group.far() + 1, group.far(), SwitchLine.State.READY, null, 0);
            lines.add(new Neighbour(line, SipUri.of(null, "127.0.0.1", 9), far));
        }
        decider.listed(ListKind.WHOLE, lines);
        decider.circuits(site.groups().values().stream()
                .map(group -> new SwitchText.GroupState(group.name(), group.circuits(), group.circuits()))
                .toList());
        decider.begin();
        decider.tellAll();
    }

    private void contact(int number, String prefix) {
        Headers headers = new Headers();
        headers.add("Via", "SIP/2.0/UDP 127.0.0.1:9;branch=z9hG4bKw" + number).add("Max-Forwards", "70");
        headers.add("From", "<sip:w@127.0.0.1>;tag=w" + number).add("To", "<sip:" + prefix + "0@127.0.0.1>");
        headers.add("Call-ID", "warm-" + number).add("CSeq", "1 INVITE").add("Contact", "<sip:w@127.0.0.1:9>");
        headers.add("Expires", "5");
        arrive(new Request("INVITE", "sip:" + prefix + "0@127.0.0.1", headers));
        for (int turns = 0; turns < 8; turns++) {
            answerAll();
        }
    }

    private void arrive(Message message) {
        byte[] bytes = message.bytes();
        Message read = Parser.datagram(bytes, bytes.length).message();
        now = now.plus(STEP);
        wheel.turn(now);
        calls.transactions().arrived(new Arrival.Received(read, far));
        decider.tellAll();
    }

    /** Plays switch and caller: 200 to each request, ACK and then BYE to each 200 of an INVITE. */
    private void answerAll() {
        for (int left = sent.size(); left > 0; left--) {
            byte[] bytes = sent.poll();
            Message message = Parser.datagram(bytes, bytes.length).message();
            try {
                if (message instanceof Request request && !request.is("ACK")) {
                    Response ok = request.answer(200, "OK", "far");
                    ok.headers().add("Contact", "<sip:far@127.0.0.1:9>");
                    arrive(ok);
                } else if (message instanceof Response response
                        && response.success()
                        && response.cseq().method().equals("INVITE")) {
                    arrive(within(response, "ACK", 1));
                    arrive(within(response, "BYE", 2));
                }
            } catch (BadValue e) {
                throw new IllegalStateException("own message", e);
            }
        }
    }

    private static Request within(Response response, String method, int number) {
        Headers headers = new Headers();
        headers.add("Via", "SIP/2.0/UDP 127.0.0.1:9;branch=z9hG4bK" + method + response.callId());
        headers.add("Max-Forwards", "70").add("From", response.headers().first("From"));
        headers.add("To", response.headers().first("To")).add("Call-ID", response.callId());
        headers.add("CSeq", number + " " + method);
        return new Request(method, "sip:x@127.0.0.1:8", headers);
    }

    private CallUser user() {
        return new CallUser() {
            @Override
            public void incoming(CallIn call) {
                contacts.incoming(call);
            }

            @Override
            public void requested(ServerTransaction transaction) {
                transaction.respond(transaction.request().answer(200, "OK", "w"));
            }

            @Override
            public void broken(Hop hop, boolean everUp) {
                // There are no connections here.
            }

            @Override
            public Set<String> methods() {
                return Set.of();
            }
        };
    }
}
