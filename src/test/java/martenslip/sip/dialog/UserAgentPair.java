package martenslip.sip.dialog;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Message;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.IdGenerator;
import martenslip.sip.transaction.MessageSender;
import martenslip.sip.transaction.RequestFailure;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.TransportEvent;

/**
 * A UAC and a UAS of real transaction and dialog code on simulated time. The network between them loses the messages
 * that a test selects and may duplicate all others.
 */
final class UserAgentPair {
    final TimerWheel timerWheel = new TimerWheel(new Moment(0));
    /** Messages in the order sent: "> " from the UAC or "< " from the UAS, method or status, and " lost" if lost. */
    final List<String> sentMessages = new ArrayList<>();
    /** Callbacks of both sides in their order. */
    final List<String> events = new ArrayList<>();

    final DialogLayer uacLayer;
    final DialogLayer uasLayer;
    final DropCounter drops = new DropCounter();
    final boolean reliable;
    /** Decides whether a message is lost; the second argument is true on the way to the UAS. */
    BiPredicate<Message, Boolean> isLost = (message, toUas) -> false;

    boolean duplicateMessages;
    /** The user agent core throws on each new INVITE. */
    boolean coreThrows;

    UasCall uasCall;
    UacCall uacCall;
    private double nowMs;

    UserAgentPair(boolean reliable) {
        this.reliable = reliable;
        uacLayer = createLayer(false);
        uasLayer = createLayer(true);
    }

    private static InetSocketAddress address(boolean isUas) {
        return new InetSocketAddress("127.0.0.1", isUas ? 2000 : 1000);
    }

    private Hop hop(boolean isUas) {
        return new Hop(reliable ? Hop.Protocol.TCP : Hop.Protocol.UDP, address(isUas), 0);
    }

    private DialogLayer createLayer(boolean isUas) {
        MessageSender sender = new MessageSender() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                Message message = MessageParser.parse(bytes, bytes.length).message();
                boolean lost = isLost.test(message, !isUas);
                sentMessages.add((isUas ? "< " : "> ") + label(message) + (lost ? " lost" : ""));
                for (int i = 0; !lost && i < (duplicateMessages ? 2 : 1); i++) {
                    timerWheel.scheduleAfter(
                            Span.ofMillis(10),
                            () -> (isUas ? uacLayer : uasLayer)
                                    .transactionLayer()
                                    .handleEvent(new TransportEvent.MessageReceived(
                                            MessageParser.parse(bytes, bytes.length)
                                                    .message(),
                                            hop(isUas),
                                            timerWheel.now())));
                }
                return true;
            }

            @Override
            public String sentBy(Hop.Protocol protocol) {
                return "127.0.0.1:" + address(isUas).getPort();
            }
        };
        return new DialogLayer(
                timerWheel,
                TransactionTimers.RFC_3261,
                sender,
                new IdGenerator(isUas ? 2 : 1),
                createUserAgentCore(),
                drops,
                1000);
    }

    /** Method of a request or status of a response. */
    static String label(Message message) {
        return message instanceof Request request ? request.method() : "" + ((Response) message).status();
    }

    private UserAgentCore createUserAgentCore() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {
                if (coreThrows) {
                    throw new IllegalStateException("injected failure");
                }
                uasCall = call;
                events.add("incoming");
                call.setListener(new UasCall.Listener() {
                    @Override
                    public void cancelled() {
                        events.add("uas cancelled");
                    }

                    @Override
                    public void ended(CallEndReason reason, Request bye) {
                        events.add("uas ended " + reason);
                    }
                });
            }

            @Override
            public void requestReceived(ServerTransaction transaction) {
                transaction.respond(transaction.request().createResponse(200, "OK", "x"));
            }

            @Override
            public void connectionLost(Hop hop, boolean wasEstablished) {
                events.add("connection lost");
            }

            @Override
            public Set<String> additionalMethods() {
                return Set.of("OPTIONS");
            }
        };
    }

    Request invite() {
        Headers headers = new Headers();
        headers.add("Max-Forwards", "70").add("From", "<sip:a@127.0.0.1>;tag=f").add("To", "<sip:b@127.0.0.1>");
        headers.add("Call-ID", "call").add("CSeq", "1 INVITE");
        return new Request("INVITE", "sip:b@127.0.0.1:2000" + (reliable ? ";transport=tcp" : ""), headers);
    }

    UserAgentPair startCall() {
        uacCall = uacLayer.startCall(invite(), hop(true), new UacCall.Listener() {
            @Override
            public void progress(Response response) {
                events.add("progress " + response.status());
            }

            @Override
            public void established(Response response) {
                events.add("established");
            }

            @Override
            public void refused(Response response) {
                events.add("refused " + response.status());
            }

            @Override
            public void failed(RequestFailure reason) {
                events.add("failed " + reason);
            }

            @Override
            public void ended(CallEndReason reason, Request bye) {
                events.add("uac ended " + reason);
            }
        });
        return this;
    }

    /** Advances time in steps of a millisecond. */
    UserAgentPair advance(double ms) {
        for (double endMs = nowMs + ms; nowMs < endMs; ) {
            nowMs++;
            timerWheel.advanceTo(new Moment(Span.ofMillis(nowMs).ns()));
        }
        return this;
    }

    void accept() {
        uasCall.accept(uasCall.response(200, "OK"));
    }

    long sentCount(String label) {
        return sentMessages.stream()
                .filter(line -> line.replace(" lost", "").endsWith(" " + label))
                .count();
    }

    /** True if no transaction and no dialog is left on either side. */
    boolean isEmpty() {
        return uacLayer.transactionLayer().openCount()
                        + uasLayer.transactionLayer().openCount()
                        + uacLayer.openDialogCount()
                        + uasLayer.openDialogCount()
                == 0;
    }
}
