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

/** Two ends of real transaction and dialog code on driven time, with a network that loses what a test says. */
final class UserAgentPair {
    final TimerWheel wheel = new TimerWheel(new Moment(0));
    final List<String> wire = new ArrayList<>();
    final List<String> heard = new ArrayList<>();
    final DialogLayer caller;
    final DialogLayer called;
    final DropCounter drops = new DropCounter();
    final boolean reliable;
    /** Says of a message, and whether it goes to the called end, that it is lost. */
    BiPredicate<Message, Boolean> loses = (message, toCalled) -> false;

    boolean copies;
    /** The called end's user has a fault. */
    boolean faulty;

    UasCall in;
    UacCall out;
    private double now;

    UserAgentPair(boolean reliable) {
        this.reliable = reliable;
        caller = end(false);
        called = end(true);
    }

    private static InetSocketAddress at(boolean isCalled) {
        return new InetSocketAddress("127.0.0.1", isCalled ? 2000 : 1000);
    }

    private Hop hop(boolean isCalled) {
        return new Hop(reliable ? Hop.Protocol.TCP : Hop.Protocol.UDP, at(isCalled), 0);
    }

    private DialogLayer end(boolean isCalled) {
        MessageSender outlet = new MessageSender() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                Message message = MessageParser.parse(bytes, bytes.length).message();
                boolean lost = loses.test(message, !isCalled);
                wire.add((isCalled ? "< " : "> ") + word(message) + (lost ? " lost" : ""));
                for (int i = 0; !lost && i < (copies ? 2 : 1); i++) {
                    wheel.scheduleAfter(
                            Span.ofMillis(10),
                            () -> (isCalled ? caller : called)
                                    .transactionLayer()
                                    .handleEvent(new TransportEvent.MessageReceived(
                                            MessageParser.parse(bytes, bytes.length)
                                                    .message(),
                                            hop(isCalled))));
                }
                return true;
            }

            @Override
            public String sentBy(Hop.Protocol kind) {
                return "127.0.0.1:" + at(isCalled).getPort();
            }
        };
        return new DialogLayer(
                wheel, TransactionTimers.RFC_3261, outlet, new IdGenerator(isCalled ? 2 : 1), user(), drops, 1000);
    }

    static String word(Message message) {
        return message instanceof Request request ? request.method() : "" + ((Response) message).status();
    }

    private UserAgentCore user() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {
                if (faulty) {
                    throw new IllegalStateException("planted");
                }
                in = call;
                heard.add("incoming");
                call.setListener(new UasCall.Listener() {
                    @Override
                    public void cancelled() {
                        heard.add("in cancelled");
                    }

                    @Override
                    public void ended(CallEndReason why, Request bye) {
                        heard.add("in ended " + why);
                    }
                });
            }

            @Override
            public void requestReceived(ServerTransaction transaction) {
                transaction.respond(transaction.request().createResponse(200, "OK", "x"));
            }

            @Override
            public void connectionLost(Hop hop, boolean everUp) {
                heard.add("broken");
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

    UserAgentPair call() {
        out = caller.startCall(invite(), hop(true), new UacCall.Listener() {
            @Override
            public void progress(Response response) {
                heard.add("progress " + response.status());
            }

            @Override
            public void established(Response response) {
                heard.add("stood");
            }

            @Override
            public void refused(Response response) {
                heard.add("refused " + response.status());
            }

            @Override
            public void failed(RequestFailure why) {
                heard.add("failed " + why);
            }

            @Override
            public void ended(CallEndReason why, Request bye) {
                heard.add("out ended " + why);
            }
        });
        return this;
    }

    /** Lets time pass, millisecond by millisecond. */
    UserAgentPair pass(double ms) {
        for (double end = now + ms; now < end; ) {
            now++;
            wheel.advanceTo(new Moment(Span.ofMillis(now).ns()));
        }
        return this;
    }

    void accept() {
        in.accept(in.response(200, "OK"));
    }

    long sent(String word) {
        return wire.stream()
                .filter(line -> line.replace(" lost", "").endsWith(" " + word))
                .count();
    }

    /** Nothing is left of any call: no transaction, no dialog. */
    boolean empty() {
        return caller.transactionLayer().openCount()
                        + called.transactionLayer().openCount()
                        + caller.openDialogCount()
                        + called.openDialogCount()
                == 0;
    }
}
