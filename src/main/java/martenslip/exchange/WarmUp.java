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
 * Runs the code of a contact on driven time, without sockets, before the first caller comes. A process that has just
 * started would else need hundreds of milliseconds for its first contacts, which after a crash are many at once and
 * may have little patience left. All it builds is thrown away.
 */
final class WarmUp {
    private static final int CONTACTS = 400;
    private static final Span STEP = Span.ofMillis(5);

    private final ExchangeConfiguration site;
    private final ControllerFactory maker;
    private final TimerWheel wheel = new TimerWheel(new Moment(0));
    private final Deque<byte[]> sent = new ArrayDeque<>();
    private final Hop far = Hop.udp(new InetSocketAddress("127.0.0.1", 9));
    private DialogLayer calls;
    private Contacts contacts;
    private Decider decider;
    private Moment now = new Moment(0);

    WarmUp(ExchangeConfiguration site, ControllerFactory maker) {
        this.site = site;
        this.maker = maker;
    }

    void run() {
        List<Integer> reached = site.groups().keySet().stream()
                .filter(one -> site.numbering().firstPrefixOf(one) != null)
                .toList();
        if (reached.isEmpty()) {
            return;
        }
        build();
        for (int i = 0; i < CONTACTS; i++) {
            contact(i, site.numbering().firstPrefixOf(reached.get(i % reached.size())));
        }
    }

    private void build() {
        MessageSender outlet = new MessageSender() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                sent.add(bytes);
                return true;
            }

            @Override
            public String sentBy(Hop.Protocol kind) {
                return "127.0.0.1:8";
            }
        };
        calls = new DialogLayer(
                wheel, TransactionTimers.RFC_3261, outlet, new IdGenerator(1), user(), new DropCounter(), 1 << 16);
        EventLog log = new EventLog(site.number());
        LaneCommandDispatcher hands = new LaneCommandDispatcher(1, new LaneCommandDispatcher.Channel() {
            @Override
            public void toContacts(int lane, Consumer<Contacts> order) {
                order.accept(contacts);
            }

            @Override
            public void toSurroundings(Consumer<NetworkMonitor> order) {
                // The world around is not there.
            }
        });
        decider = new Decider(site, maker, 1, wheel, hands, log);
        LaneReportDispatcher reports = new LaneReportDispatcher((report, refusable) -> {
            report.accept(decider);
            return true;
        });
        contacts = new Contacts(
                site, calls, 0, new HandoverStore(0, 1), reports, () -> false, log, new ExchangeStatistics());
        List<ListedSwitch> lines = new ArrayList<>();
        for (ExchangeConfiguration.Group group : site.groups().values()) {
            SwitchEntry line =
                    new SwitchEntry(group.farExchange() + 1, group.farExchange(), SwitchEntry.State.READY, null, 0);
            lines.add(new ListedSwitch(line, SipUri.of(null, "127.0.0.1", 9), far));
        }
        decider.listed(ListKind.FULL, lines);
        decider.circuits(site.groups().values().stream()
                .map(group -> new EventPackageCodec.GroupState(group.name(), group.circuits(), group.circuits()))
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
        Message read = MessageParser.parse(bytes, bytes.length).message();
        now = now.plus(STEP);
        wheel.advanceTo(now);
        calls.transactionLayer().handleEvent(new TransportEvent.MessageReceived(read, far));
        decider.tellAll();
    }

    /** Plays switch and caller: 200 to each request, ACK and then BYE to each 200 of an INVITE. */
    private void answerAll() {
        for (int left = sent.size(); left > 0; left--) {
            byte[] bytes = sent.poll();
            Message message = MessageParser.parse(bytes, bytes.length).message();
            try {
                if (message instanceof Request request && !request.hasMethod("ACK")) {
                    Response ok = request.createResponse(200, "OK", "far");
                    ok.headers().add("Contact", "<sip:far@127.0.0.1:9>");
                    arrive(ok);
                } else if (message instanceof Response response
                        && response.isSuccess()
                        && response.cseq().method().equals("INVITE")) {
                    arrive(within(response, "ACK", 1));
                    arrive(within(response, "BYE", 2));
                }
            } catch (InvalidValueException e) {
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

    private UserAgentCore user() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {
                contacts.incoming(call);
            }

            @Override
            public void requestReceived(ServerTransaction transaction) {
                transaction.respond(transaction.request().createResponse(200, "OK", "w"));
            }

            @Override
            public void connectionLost(Hop hop, boolean everUp) {
                // There are no connections here.
            }

            @Override
            public Set<String> additionalMethods() {
                return Set.of();
            }
        };
    }
}
