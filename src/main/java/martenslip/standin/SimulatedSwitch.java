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
 * Stand-in for a switch: a processor with one queue, the circuits of its groups, contacts that terminate at it, and
 * contacts that it forwards to its exchange's controller (from its own callers, and in transit). Its front end sends
 * 100 at once and seizes circuits; all other work waits for the processor. Owned by its endpoint's thread; operations
 * that change it are passed to that thread.
 */
public final class SimulatedSwitch implements AutoCloseable {
    /**
     * Settings of a switch.
     *
     * @param number number of the exchange
     * @param reportNoise relative deviation of reported processor figures
     * @param widths circuits that a contact takes, by Resource-Priority value
     * @param rateControl true to report an allowed rate, false to report a loss fraction (RFC 7415, RFC 7339)
     */
    public record Settings(
            int number,
            int region,
            ProcessorModel.Settings processor,
            Span reportInterval,
            double reportNoise,
            PrefixTable numbering,
            Map<String, Integer> widths,
            long seed,
            boolean rateControl) {}

    private final Settings settings;
    private final TrunkGroups trunks;
    private final SimulatedNetwork.NetworkLink link;
    private final Endpoint endpoint;
    private final Hop controller;
    private final SplittableRandom random;
    private final Map<UasCall, TrunkGroups.Seizure> terminatingCalls = new LinkedHashMap<>();
    private final TransitProxy transitProxy;
    private ProcessorModel processor;
    private SipLoadReport lastReport = SipLoadReport.NONE;
    private Moment lastReportAt;
    private long reportCount;
    private volatile InetSocketAddress udpAddress;
    private volatile InetSocketAddress tcpAddress;

    /** Creates a switch; {@code cold} lets its processor warm up first. */
    public SimulatedSwitch(
            Settings settings, TrunkGroups trunks, SimulatedNetwork.NetworkLink link, Hop controller, boolean cold) {
        this.settings = settings;
        this.trunks = trunks;
        this.link = link;
        this.controller = controller;
        random = new SplittableRandom(settings.seed());
        endpoint = new Endpoint(
                "switch-" + settings.number(), TransportLimits.DEFAULTS, link, failure -> failure.printStackTrace());
        processor =
                new ProcessorModel(settings.processor(), endpoint.timerWheel().now(), cold);
        transitProxy = new TransitProxy(this, trunks, controller);
    }

    /** Binds the sockets on the host's address and starts the thread. */
    public void open(InetAddress host) throws IOException {
        endpoint.open(new InetSocketAddress(host, 0), new InetSocketAddress(host, 0));
        udpAddress = new InetSocketAddress(host, endpoint.transport().port(Hop.Protocol.UDP));
        tcpAddress = new InetSocketAddress(host, endpoint.transport().port(Hop.Protocol.TCP));
        endpoint.start(
                userAgentCore(),
                this::handleInTransit,
                () -> {},
                TransactionTimers.RFC_3261,
                settings.seed() ^ 0x5bd1e995L,
                1 << 18);
    }

    /** The listen address of the transport protocol. */
    public InetSocketAddress address(Hop.Protocol protocol) {
        return protocol == Hop.Protocol.UDP ? udpAddress : tcpAddress;
    }

    /** Number of the exchange. */
    public int number() {
        return settings.number();
    }

    Endpoint endpoint() {
        return endpoint;
    }

    Moment now() {
        return endpoint.timerWheel().now();
    }

    /** Counts a set-up that a controller sent here; too many overload a cold switch. */
    void setUpReceived() {
        processor.setUpReceived(now());
    }

    /** Queues work for the processor and runs {@code completion} when it is done; false where it was rejected. */
    boolean enqueueWork(WorkType type, Runnable completion) {
        Moment doneAt = processor.enqueue(now(), type);
        if (doneAt == null) {
            return false;
        }
        endpoint.timerWheel().scheduleAt(doneAt, completion);
        return true;
    }

    private boolean handleInTransit(Message message, Hop origin) {
        try {
            return transitProxy.handle(message, origin);
        } catch (InvalidValueException e) {
            endpoint.dropCounter().increment("unreadable in passing");
            return true;
        }
    }

    /** True where the number belongs to this switch's exchange. */
    boolean terminatesHere(SipUri uri) {
        String number = uri.unescapedUser();
        return number != null && settings.numbering().exchangeForNumber(number) == settings.number();
    }

    int circuitWidth(Request invite) {
        String priority = invite.headers().first("Resource-Priority");
        return settings.widths().getOrDefault(priority == null ? "" : priority, 1);
    }

    private UserAgentCore userAgentCore() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {
                callReceived(call);
            }

            @Override
            public void requestReceived(ServerTransaction transaction) {
                Response ok = transaction
                        .request()
                        .createResponse(
                                200, "OK", endpoint.dialogLayer().idGenerator().nextTag());
                if (!enqueueWork(WorkType.MINOR_MESSAGE, () -> transaction.respond(withLoadReport(ok, null)))) {
                    transaction.respond(transaction.request().createResponse(503, "Busy", null));
                }
            }

            @Override
            public void connectionLost(Hop hop, boolean everUp) {
                // Calls outlive connections (RFC 3261 18.4); the next message opens a new one.
            }

            @Override
            public Set<String> additionalMethods() {
                return Set.of("OPTIONS");
            }
        };
    }

    /** Handles a contact that terminates at this switch. */
    private void callReceived(UasCall call) {
        Request invite = call.invite();
        String session = String.valueOf(invite.headers().first("Session-ID"));
        String group = trunkGroup(invite);
        TrunkGroups.Seizure seizure = group == null ? null : trunks.seize(group, circuitWidth(invite), session);
        call.setListener(new UasCall.Listener() {
            @Override
            public void cancelled() {
                releaseCall(call, WorkType.REJECT);
            }

            @Override
            public void ended(CallEndReason reason, Request bye) {
                releaseCall(call, WorkType.RELEASE);
            }
        });
        if (seizure == null) {
            call.refuse(createRefusal(call, 503, "No circuit", ReleaseCause.NO_CIRCUIT, group));
            return;
        }
        terminatingCalls.put(call, seizure);
        processor.setUpReceived(now());
        boolean accepted = enqueueWork(WorkType.SET_UP, () -> {
            if (call.isPending()) {
                call.accept(withLoadReport(call.response(200, "OK"), group));
            }
        });
        if (!accepted) {
            terminatingCalls.remove(call);
            trunks.release(seizure);
            call.refuse(createRefusal(call, 503, "Processor full", ReleaseCause.CONGESTION, group));
        }
    }

    private Response createRefusal(UasCall call, int status, String reason, int cause, String group) {
        Response response = call.response(status, reason);
        response.headers().add("Reason", new ReleaseCause(cause, ReleaseCause.LOCAL_NETWORK));
        return withLoadReport(response, group);
    }

    private void releaseCall(UasCall call, WorkType type) {
        TrunkGroups.Seizure seizure = terminatingCalls.remove(call);
        if (seizure != null) {
            enqueueWork(type, () -> trunks.release(seizure));
        }
    }

    /** The trunk group of a request (its {@code tgrp} parameter), or null. */
    static String trunkGroup(Request invite) {
        try {
            return invite.parsedUri().userParameter("tgrp");
        } catch (InvalidValueException e) {
            return null;
        }
    }

    /** Adds a load report; its processor figures are delayed and noisy, those of the group are exact. */
    Response withLoadReport(Response response, String group) {
        if (lastReportAt == null || now().since(lastReportAt).longerThan(settings.reportInterval())) {
            lastReportAt = now();
            reportCount++;
            lastReport = measureLoad();
        }
        TrunkGroups.CircuitState circuits = group == null ? null : trunks.circuitState(group);
        SipLoadReport report = circuits == null
                ? lastReport
                : new SipLoadReport(
                        lastReport.allowedRate(),
                        lastReport.lossFraction(),
                        lastReport.queueDepth(),
                        lastReport.meanWaitMs(),
                        circuits.free(),
                        circuits.total());
        try {
            report.writeTo(response, 4 * settings.reportInterval().ns() / 1_000_000, reportCount + ".0");
        } catch (InvalidValueException e) {
            endpoint.dropCounter().increment("no Via for a report");
        }
        return response;
    }

    private SipLoadReport measureLoad() {
        double noiseFactor = 1 + settings.reportNoise() * (2 * random.nextDouble() - 1);
        double waitMs = processor.waitTime(now()).ns() / 1e6;
        double headroom =
                Math.max(0, 1 - waitMs / (settings.processor().maxWait().ns() / 1e6));
        double allowedRate =
                ProcessorModel.capacity(settings.processor()) * processor.capacityShare(now()) * headroom * noiseFactor;
        double lossFraction = Math.max(0, Math.min(1, (waitMs / 1000 - 0.2) * noiseFactor));
        return new SipLoadReport(
                settings.rateControl() ? allowedRate : -1,
                settings.rateControl() ? -1 : lossFraction,
                Math.rint(processor.queueDepth(now()) * noiseFactor),
                waitMs * noiseFactor,
                -1,
                -1);
    }

    /** Slows the processor down by this factor. */
    public void setSlowdown(double factor) {
        endpoint.execute(() -> processor.setSlowdown(factor));
    }

    /** Drops all messages of this switch in both directions while true. */
    public void setSilent(boolean silent) {
        link.setSilent(silent);
    }

    /** Milliseconds that new work waits for the processor. Callable by any thread, for display only. */
    public long queueWaitMs() {
        return processor.waitTime(new Moment(System.nanoTime())).ns() / 1_000_000;
    }

    /** True once it was overloaded while cold. */
    public boolean overloaded() {
        return processor.overloaded();
    }

    /** Restarts cold and loses all contacts and circuits; passes the lost sessions to the consumer. */
    public void restart(java.util.function.Consumer<List<String>> lostSessionsConsumer) {
        endpoint.execute(() -> {
            List<String> sessions = new ArrayList<>(transitProxy.removeMatching(ignored -> true));
            sessions.addAll(dropTerminatingCalls(ignored -> true));
            processor = new ProcessorModel(settings.processor(), now(), true);
            lastReportAt = null;
            lostSessionsConsumer.accept(sessions);
        });
    }

    /** Releases the contacts that went through a failed controller; passes their sessions to the consumer. */
    public void controllerFailed(
            InetAddress controllerHost, java.util.function.Consumer<List<String>> lostSessionsConsumer) {
        endpoint.execute(() -> {
            List<String> sessions = new ArrayList<>(transitProxy.removeMatching(
                    hop -> hop.address().getAddress().equals(controllerHost)));
            sessions.addAll(
                    dropTerminatingCalls(hop -> hop.address().getAddress().equals(controllerHost)));
            lostSessionsConsumer.accept(sessions);
        });
    }

    private List<String> dropTerminatingCalls(java.util.function.Predicate<Hop> originPredicate) {
        List<String> sessions = new ArrayList<>();
        terminatingCalls.entrySet().removeIf(entry -> {
            boolean matches = originPredicate.test(entry.getKey().transaction().from());
            if (matches) {
                sessions.add(entry.getValue().session());
                trunks.release(entry.getValue());
            }
            return matches;
        });
        return sessions;
    }

    /** Resets all its TCP connections; returns how many. */
    public int resetConnections() {
        return endpoint.transport().resetAllConnections();
    }

    /** True while the processor warms up. */
    public boolean isCold() {
        return processor.isCold(new Moment(System.nanoTime()));
    }

    /** Set-ups a second that the warm processor can do. */
    public double capacity() {
        return ProcessorModel.capacity(settings.processor());
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
