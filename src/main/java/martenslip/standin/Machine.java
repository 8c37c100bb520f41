package martenslip.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.provision.Prefixes;
import martenslip.signal.Load;
import martenslip.signal.Release;
import martenslip.sip.Endpoint;
import martenslip.sip.dialog.CallIn;
import martenslip.sip.dialog.CallUser;
import martenslip.sip.dialog.Ending;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.Message;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.Timers;
import martenslip.sip.transport.Bounds;
import martenslip.sip.transport.Hop;
import martenslip.standin.Processor.Work;

/**
 * A switch as the project plays it: a processor with one line, circuits of its groups, contacts that end at it, and
 * contacts that it hands to its exchange's controller (own callers', and those in transit). Its front end answers
 * 100 at once and counts circuits; all else waits for the processor. Owned by its endpoint's thread but for the
 * verbs of the day, which run there too.
 */
public final class Machine implements AutoCloseable {
    /** What a machine is made with. {@code skillOf} gives the width of a Resource-Priority value. */
    public record Make(
            int number,
            int region,
            Processor.Make processor,
            Span reportEvery,
            double noise,
            Prefixes numbering,
            Map<String, Integer> widths,
            long seed,
            boolean rate) {}

    private final Make make;
    private final Trunks trunks;
    private final Network.Wire wire;
    private final Endpoint endpoint;
    private final Hop controller;
    private final SplittableRandom chance;
    private final Map<CallIn, Trunks.Seizure> ending = new LinkedHashMap<>();
    private final Passing passing;
    private Processor processor;
    private Load said = Load.NONE;
    private Moment saidAt;
    private long reports;
    private volatile InetSocketAddress udpAt;
    private volatile InetSocketAddress tcpAt;

    public Machine(Make make, Trunks trunks, Network.Wire wire, Hop controller, boolean cold) {
        this.make = make;
        this.trunks = trunks;
        this.wire = wire;
        this.controller = controller;
        chance = new SplittableRandom(make.seed());
        endpoint = new Endpoint("switch-" + make.number(), Bounds.USUAL, wire, fault -> fault.printStackTrace());
        processor = new Processor(make.processor(), endpoint.wheel().now(), cold);
        passing = new Passing(this, trunks, controller);
    }

    public void open(InetAddress host) throws IOException {
        endpoint.open(new InetSocketAddress(host, 0), new InetSocketAddress(host, 0));
        udpAt = new InetSocketAddress(host, endpoint.transport().port(Hop.Kind.UDP));
        tcpAt = new InetSocketAddress(host, endpoint.transport().port(Hop.Kind.TCP));
        endpoint.start(user(), this::takes, () -> {}, Timers.RFC, make.seed() ^ 0x5bd1e995L, 1 << 18);
    }

    public InetSocketAddress at(Hop.Kind kind) {
        return kind == Hop.Kind.UDP ? udpAt : tcpAt;
    }

    public int number() {
        return make.number();
    }

    Endpoint endpoint() {
        return endpoint;
    }

    Moment now() {
        return endpoint.wheel().now();
    }

    /** A controller sent a set-up here. */
    void sent() {
        processor.sent(now());
    }

    /** Runs when the processor has done the work; false where it turned it away. */
    boolean work(Work work, Runnable done) {
        Moment when = processor.take(now(), work);
        if (when == null) {
            return false;
        }
        endpoint.wheel().at(when, done);
        return true;
    }

    private boolean takes(Message message, Hop from) {
        try {
            return passing.takes(message, from);
        } catch (BadValue e) {
            endpoint.drops().count("unreadable in passing");
            return true;
        }
    }

    /** True where the number ends at this machine's exchange. */
    boolean endsHere(SipUri uri) {
        String number = uri.plainUser();
        return number != null && make.numbering().exchange(number) == make.number();
    }

    int width(Request invite) {
        String priority = invite.headers().first("Resource-Priority");
        return make.widths().getOrDefault(priority == null ? "" : priority, 1);
    }

    private CallUser user() {
        return new CallUser() {
            @Override
            public void incoming(CallIn call) {
                arrived(call);
            }

            @Override
            public void requested(ServerTransaction transaction) {
                Response ok = transaction
                        .request()
                        .answer(200, "OK", endpoint.calls().branches().tag());
                if (!work(Work.NOTE, () -> transaction.respond(loaded(ok, null)))) {
                    transaction.respond(transaction.request().answer(503, "Busy", null));
                }
            }

            @Override
            public void broken(Hop hop, boolean everUp) {
                // Calls outlive connections (RFC 3261 18.4); the next message opens another.
            }

            @Override
            public Set<String> methods() {
                return Set.of("OPTIONS");
            }
        };
    }

    /** A contact that ends here. */
    private void arrived(CallIn call) {
        Request invite = call.invite();
        String session = String.valueOf(invite.headers().first("Session-ID"));
        String group = group(invite);
        Trunks.Seizure seizure = group == null ? null : trunks.seize(group, width(invite), session);
        call.listen(new CallIn.Listener() {
            @Override
            public void cancelled() {
                release(call, Work.REJECT);
            }

            @Override
            public void ended(Ending why, Request bye) {
                release(call, Work.RELEASE);
            }
        });
        if (seizure == null) {
            call.refuse(refusal(call, 503, "No circuit", Release.NO_CIRCUIT, group));
            return;
        }
        ending.put(call, seizure);
        processor.sent(now());
        boolean taken = work(Work.SET_UP, () -> {
            if (call.open()) {
                call.accept(loaded(call.response(200, "OK"), group));
            }
        });
        if (!taken) {
            ending.remove(call);
            trunks.free(seizure);
            call.refuse(refusal(call, 503, "Processor full", Release.CONGESTION, group));
        }
    }

    private Response refusal(CallIn call, int status, String reason, int cause, String group) {
        Response response = call.response(status, reason);
        response.headers().add("Reason", new Release(cause, Release.HERE));
        return loaded(response, group);
    }

    private void release(CallIn call, Work work) {
        Trunks.Seizure seizure = ending.remove(call);
        if (seizure != null) {
            work(work, () -> trunks.free(seizure));
        }
    }

    /** The group that a request came over, or null. */
    static String group(Request invite) {
        try {
            return invite.target().userParam("tgrp");
        } catch (BadValue e) {
            return null;
        }
    }

    /** Adds what the machine says of itself; processor figures are late and noisy, those of the group are not. */
    Response loaded(Response response, String group) {
        if (saidAt == null || now().since(saidAt).longerThan(make.reportEvery())) {
            saidAt = now();
            reports++;
            said = measured();
        }
        Trunks.State state = group == null ? null : trunks.state(group);
        Load load = state == null
                ? said
                : new Load(said.allowed(), said.cutBy(), said.depth(), said.meanMs(), state.free(), state.total());
        try {
            load.put(response, 4 * make.reportEvery().ns() / 1_000_000, reports + ".0");
        } catch (BadValue e) {
            endpoint.drops().count("no Via for a report");
        }
        return response;
    }

    private Load measured() {
        double noise = 1 + make.noise() * (2 * chance.nextDouble() - 1);
        double wait = processor.wait(now()).ns() / 1e6;
        double room = Math.max(0, 1 - wait / (make.processor().mostWait().ns() / 1e6));
        double allowed = Processor.capacity(make.processor()) * processor.part(now()) * room * noise;
        double cut = Math.max(0, Math.min(1, (wait / 1000 - 0.2) * noise));
        return new Load(
                make.rate() ? allowed : -1,
                make.rate() ? -1 : cut,
                Math.rint(processor.depth(now()) * noise),
                wait * noise,
                -1,
                -1);
    }

    /** The processor runs this many times slower. */
    public void slow(double times) {
        endpoint.run(() -> processor.slow(times));
    }

    /** Neither hears nor says anything. */
    public void silent(boolean on) {
        wire.silent(on);
    }

    /** Milliseconds that work waits for the processor now. Read by any thread for a look only. */
    public long waitMs() {
        return processor.wait(new Moment(System.nanoTime())).ns() / 1_000_000;
    }

    /** True once it was pushed over while cold. */
    public boolean fallen() {
        return processor.fallen();
    }

    /** Loses all that it does, circuits and contacts with it, and starts cold; sessions that were lost are given. */
    public void restart(java.util.function.Consumer<List<String>> lost) {
        endpoint.run(() -> {
            List<String> sessions = new ArrayList<>(passing.dropAll(any -> true));
            sessions.addAll(dropEnding(any -> true));
            processor = new Processor(make.processor(), now(), true);
            saidAt = null;
            lost.accept(sessions);
        });
    }

    /** Frees what went through a controller that has died. */
    public void controllerDied(InetAddress which, java.util.function.Consumer<List<String>> lost) {
        endpoint.run(() -> {
            List<String> sessions = new ArrayList<>(
                    passing.dropAll(hop -> hop.address().getAddress().equals(which)));
            sessions.addAll(dropEnding(hop -> hop.address().getAddress().equals(which)));
            lost.accept(sessions);
        });
    }

    private List<String> dropEnding(java.util.function.Predicate<Hop> which) {
        List<String> sessions = new ArrayList<>();
        ending.entrySet().removeIf(one -> {
            boolean drop = which.test(one.getKey().transaction().from());
            if (drop) {
                sessions.add(one.getValue().session());
                trunks.free(one.getValue());
            }
            return drop;
        });
        return sessions;
    }

    /** Breaks its TCP connections with a reset. */
    public int resetConnections() {
        return endpoint.transport().resetAll();
    }

    public boolean cold() {
        return processor.cold(new Moment(System.nanoTime()));
    }

    public double capacity() {
        return Processor.capacity(make.processor());
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
