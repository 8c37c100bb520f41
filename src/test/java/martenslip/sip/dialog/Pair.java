package martenslip.sip.dialog;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Message;
import martenslip.sip.message.Parser;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.Branches;
import martenslip.sip.transaction.Failure;
import martenslip.sip.transaction.Outlet;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.Timers;
import martenslip.sip.transport.Arrival;
import martenslip.sip.transport.Drops;
import martenslip.sip.transport.Hop;
import martenslip.wheel.Wheel;

/** Two ends of real transaction and dialog code on driven time, with a network that loses what a test says. */
final class Pair {
    final Wheel wheel = new Wheel(new Moment(0));
    final List<String> wire = new ArrayList<>();
    final List<String> heard = new ArrayList<>();
    final Calls caller;
    final Calls called;
    final Drops drops = new Drops();
    final boolean reliable;
    /** Says of a message, and whether it goes to the called end, that it is lost. */
    BiPredicate<Message, Boolean> loses = (message, toCalled) -> false;

    boolean copies;
    /** The called end's user has a fault. */
    boolean faulty;

    CallIn in;
    CallOut out;
    private double now;

    Pair(boolean reliable) {
        this.reliable = reliable;
        caller = end(false);
        called = end(true);
    }

    private static InetSocketAddress at(boolean isCalled) {
        return new InetSocketAddress("127.0.0.1", isCalled ? 2000 : 1000);
    }

    private Hop hop(boolean isCalled) {
        return new Hop(reliable ? Hop.Kind.TCP : Hop.Kind.UDP, at(isCalled), 0);
    }

    private Calls end(boolean isCalled) {
        Outlet outlet = new Outlet() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                Message message = Parser.datagram(bytes, bytes.length).message();
                boolean lost = loses.test(message, !isCalled);
                wire.add((isCalled ? "< " : "> ") + word(message) + (lost ? " lost" : ""));
                for (int i = 0; !lost && i < (copies ? 2 : 1); i++) {
                    wheel.after(
                            Span.ofMillis(10),
                            () -> (isCalled ? caller : called)
                                    .transactions()
                                    .arrived(new Arrival.Received(
                                            Parser.datagram(bytes, bytes.length).message(), hop(isCalled))));
                }
                return true;
            }

            @Override
            public String sentBy(Hop.Kind kind) {
                return "127.0.0.1:" + at(isCalled).getPort();
            }
        };
        return new Calls(wheel, Timers.RFC, outlet, new Branches(isCalled ? 2 : 1), user(), drops, 1000);
    }

    static String word(Message message) {
        return message instanceof Request request ? request.method() : "" + ((Response) message).status();
    }

    private CallUser user() {
        return new CallUser() {
            @Override
            public void incoming(CallIn call) {
                if (faulty) {
                    throw new IllegalStateException("planted");
                }
                in = call;
                heard.add("incoming");
                call.listen(new CallIn.Listener() {
                    @Override
                    public void cancelled() {
                        heard.add("in cancelled");
                    }

                    @Override
                    public void ended(Ending why, Request bye) {
                        heard.add("in ended " + why);
                    }
                });
            }

            @Override
            public void requested(ServerTransaction transaction) {
                transaction.respond(transaction.request().answer(200, "OK", "x"));
            }

            @Override
            public void broken(Hop hop, boolean everUp) {
                heard.add("broken");
            }

            @Override
            public Set<String> methods() {
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

    Pair call() {
        out = caller.call(invite(), hop(true), new CallOut.Listener() {
            @Override
            public void progress(Response response) {
                heard.add("progress " + response.status());
            }

            @Override
            public void stood(Response response) {
                heard.add("stood");
            }

            @Override
            public void refused(Response response) {
                heard.add("refused " + response.status());
            }

            @Override
            public void failed(Failure why) {
                heard.add("failed " + why);
            }

            @Override
            public void ended(Ending why, Request bye) {
                heard.add("out ended " + why);
            }
        });
        return this;
    }

    /** Lets time pass, millisecond by millisecond. */
    Pair pass(double ms) {
        for (double end = now + ms; now < end; ) {
            now++;
            wheel.turn(new Moment(Span.ofMillis(now).ns()));
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
        return caller.transactions().open() + called.transactions().open() + caller.open() + called.open() == 0;
    }
}
