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
import martenslip.configuration.PrefixTable;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.signaling.ReleaseCause;
import martenslip.signaling.SipLoadReport;
import martenslip.sip.Endpoint;
import martenslip.sip.dialog.CallEndReason;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.dialog.UserAgentCore;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Message;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.TransportLimits;
import martenslip.standin.ProcessorModel.WorkType;

/**
 * A switch as the project plays it: a processor with one line, circuits of its groups, contacts that end at it, and
 * contacts that it hands to its exchange's controller (own callers', and those in transit). Its front end answers
 * 100 at once and counts circuits; all else waits for the processor. Owned by its endpoint's thread but for the
 * verbs of the day, which run there too.
 */
public final class SimulatedSwitch implements AutoCloseable {
    /** What a machine is made with. {@code skillOf} gives the width of a Resource-Priority value. */
    public record Settings(
            int number,
            int region,
            ProcessorModel.Settings processor,
            Span reportEvery,
            double reportNoise,
            PrefixTable numbering,
            Map<String, Integer> widths,
            long seed,
            boolean rateControl) {}

    private final Settings make;
    private final TrunkGroups trunks;
    private final SimulatedNetwork.NetworkLink wire;
    private final Endpoint endpoint;
    private final Hop controller;
    private final SplittableRandom chance;
    private final Map<UasCall, TrunkGroups.Seizure> ending = new LinkedHashMap<>();
    private final TransitProxy passing;
    private ProcessorModel processor;
    private SipLoadReport said = SipLoadReport.NONE;
    private Moment saidAt;
    private long reports;
    private volatile InetSocketAddress udpAt;
    private volatile InetSocketAddress tcpAt;

    public SimulatedSwitch(
            Settings make, TrunkGroups trunks, SimulatedNetwork.NetworkLink wire, Hop controller, boolean cold) {
        this.make = make;
        this.trunks = trunks;
        this.wire = wire;
        this.controller = controller;
        chance = new SplittableRandom(make.seed());
        endpoint = new Endpoint(
                "switch-" + make.number(), TransportLimits.DEFAULTS, wire, fault -> fault.printStackTrace());
        processor = new ProcessorModel(make.processor(), endpoint.timerWheel().now(), cold);
        passing = new TransitProxy(this, trunks, controller);
    }

    public void open(InetAddress host) throws IOException {
        endpoint.open(new InetSocketAddress(host, 0), new InetSocketAddress(host, 0));
        udpAt = new InetSocketAddress(host, endpoint.transport().port(Hop.Protocol.UDP));
        tcpAt = new InetSocketAddress(host, endpoint.transport().port(Hop.Protocol.TCP));
        endpoint.start(user(), this::takes, () -> {}, TransactionTimers.RFC_3261, make.seed() ^ 0x5bd1e995L, 1 << 18);
    }

    public InetSocketAddress address(Hop.Protocol kind) {
        return kind == Hop.Protocol.UDP ? udpAt : tcpAt;
    }

    public int number() {
        return make.number();
    }

    Endpoint endpoint() {
        return endpoint;
    }

    Moment now() {
        return endpoint.timerWheel().now();
    }

    /** A controller sent a set-up here. */
    void sent() {
        processor.sent(now());
    }

    /** Runs when the processor has done the work; false where it turned it away. */
    boolean work(WorkType work, Runnable done) {
        Moment when = processor.take(now(), work);
        if (when == null) {
            return false;
        }
        endpoint.timerWheel().scheduleAt(when, done);
        return true;
    }

    private boolean takes(Message message, Hop from) {
        try {
            return passing.takes(message, from);
        } catch (InvalidValueException e) {
            endpoint.dropCounter().increment("unreadable in passing");
            return true;
        }
    }

    /** True where the number ends at this machine's exchange. */
    boolean endsHere(SipUri uri) {
        String number = uri.unescapedUser();
        return number != null && make.numbering().exchangeForNumber(number) == make.number();
    }

    int width(Request invite) {
        String priority = invite.headers().first("Resource-Priority");
        return make.widths().getOrDefault(priority == null ? "" : priority, 1);
    }

    private UserAgentCore user() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {
                arrived(call);
            }

            @Override
            public void requestReceived(ServerTransaction transaction) {
                Response ok = transaction
                        .request()
                        .createResponse(
                                200, "OK", endpoint.dialogLayer().idGenerator().nextTag());
                if (!work(WorkType.NOTE, () -> transaction.respond(loaded(ok, null)))) {
                    transaction.respond(transaction.request().createResponse(503, "Busy", null));
                }
            }

            @Override
            public void connectionLost(Hop hop, boolean everUp) {
                // Calls outlive connections (RFC 3261 18.4); the next message opens another.
            }

            @Override
            public Set<String> additionalMethods() {
                return Set.of("OPTIONS");
            }
        };
    }

    /** A contact that ends here. */
    private void arrived(UasCall call) {
        Request invite = call.invite();
        String session = String.valueOf(invite.headers().first("Session-ID"));
        String group = group(invite);
        TrunkGroups.Seizure seizure = group == null ? null : trunks.seize(group, width(invite), session);
        call.setListener(new UasCall.Listener() {
            @Override
            public void cancelled() {
                release(call, WorkType.REJECT);
            }

            @Override
            public void ended(CallEndReason why, Request bye) {
                release(call, WorkType.RELEASE);
            }
        });
        if (seizure == null) {
            call.refuse(refusal(call, 503, "No circuit", ReleaseCause.NO_CIRCUIT, group));
            return;
        }
        ending.put(call, seizure);
        processor.sent(now());
        boolean taken = work(WorkType.SET_UP, () -> {
            if (call.isPending()) {
                call.accept(loaded(call.response(200, "OK"), group));
            }
        });
        if (!taken) {
            ending.remove(call);
            trunks.release(seizure);
            call.refuse(refusal(call, 503, "Processor full", ReleaseCause.CONGESTION, group));
        }
    }

    private Response refusal(UasCall call, int status, String reason, int cause, String group) {
        Response response = call.response(status, reason);
        response.headers().add("Reason", new ReleaseCause(cause, ReleaseCause.LOCAL_NETWORK));
        return loaded(response, group);
    }

    private void release(UasCall call, WorkType work) {
        TrunkGroups.Seizure seizure = ending.remove(call);
        if (seizure != null) {
            work(work, () -> trunks.release(seizure));
        }
    }

    /** The group that a request came over, or null. */
    static String group(Request invite) {
        try {
            return invite.parsedUri().userParameter("tgrp");
        } catch (InvalidValueException e) {
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
        TrunkGroups.CircuitState state = group == null ? null : trunks.circuitState(group);
        SipLoadReport load = state == null
                ? said
                : new SipLoadReport(
                        said.allowedRate(),
                        said.lossFraction(),
                        said.queueDepth(),
                        said.meanWaitMs(),
                        state.free(),
                        state.total());
        try {
            load.writeTo(response, 4 * make.reportEvery().ns() / 1_000_000, reports + ".0");
        } catch (InvalidValueException e) {
            endpoint.dropCounter().increment("no Via for a report");
        }
        return response;
    }

    private SipLoadReport measured() {
        double noise = 1 + make.reportNoise() * (2 * chance.nextDouble() - 1);
        double wait = processor.wait(now()).ns() / 1e6;
        double room = Math.max(0, 1 - wait / (make.processor().maxWait().ns() / 1e6));
        double allowed = ProcessorModel.capacity(make.processor()) * processor.part(now()) * room * noise;
        double cut = Math.max(0, Math.min(1, (wait / 1000 - 0.2) * noise));
        return new SipLoadReport(
                make.rateControl() ? allowed : -1,
                make.rateControl() ? -1 : cut,
                Math.rint(processor.depth(now()) * noise),
                wait * noise,
                -1,
                -1);
    }

    /** The processor runs this many times slower. */
    public void setSlowdown(double times) {
        endpoint.execute(() -> processor.slow(times));
    }

    /** Neither hears nor says anything. */
    public void setSilent(boolean on) {
        wire.setSilent(on);
    }

    /** Milliseconds that work waits for the processor now. Read by any thread for a look only. */
    public long queueWaitMs() {
        return processor.wait(new Moment(System.nanoTime())).ns() / 1_000_000;
    }

    /** True once it was pushed over while cold. */
    public boolean overloaded() {
        return processor.overloaded();
    }

    /** Loses all that it does, circuits and contacts with it, and starts cold; sessions that were lost are given. */
    public void restart(java.util.function.Consumer<List<String>> lost) {
        endpoint.execute(() -> {
            List<String> sessions = new ArrayList<>(passing.dropAll(any -> true));
            sessions.addAll(dropEnding(any -> true));
            processor = new ProcessorModel(make.processor(), now(), true);
            saidAt = null;
            lost.accept(sessions);
        });
    }

    /** Frees what went through a controller that has died. */
    public void controllerFailed(InetAddress which, java.util.function.Consumer<List<String>> lost) {
        endpoint.execute(() -> {
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
                trunks.release(one.getValue());
            }
            return drop;
        });
        return sessions;
    }

    /** Breaks its TCP connections with a reset. */
    public int resetConnections() {
        return endpoint.transport().resetAllConnections();
    }

    public boolean cold() {
        return processor.cold(new Moment(System.nanoTime()));
    }

    public double capacity() {
        return ProcessorModel.capacity(make.processor());
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
