package martenslip.scenario;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import martenslip.configuration.ExchangeFile;
import martenslip.configuration.InvalidFileException;
import martenslip.configuration.PrefixTable;
import martenslip.configuration.Skill;
import martenslip.control.ControllerFactory;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.exchange.Exchange;
import martenslip.sip.transport.Hop;
import martenslip.standin.CallerStatistics;
import martenslip.standin.CaptureWriter;
import martenslip.standin.DirectoryService;
import martenslip.standin.ProcessorModel;
import martenslip.standin.SimulatedCallers;
import martenslip.standin.SimulatedNetwork;
import martenslip.standin.SimulatedSwitch;
import martenslip.standin.TrunkGroups;
import martenslip.verification.CaptureReader;
import martenslip.verification.RuleResult;
import martenslip.verification.RuleVerifier;

/** Three exchanges in one process over real sockets, each with the module that a test gives it. */
final class ThreeExchangeEnvironment implements AutoCloseable {
    static final int COUNT = 3;
    final Path folder = Files.createTempDirectory("small-world");
    final TrunkGroups trunks = new TrunkGroups();
    final CaptureWriter capture;
    final SimulatedNetwork network;
    final DirectoryService office;
    final SimulatedCallers callers;
    final List<SimulatedSwitch> machines = new ArrayList<>();
    final List<SimulatedNetwork.NetworkLink> wires = new ArrayList<>();
    final List<Exchange> exchanges = new ArrayList<>();
    private final Hop.Protocol kind;
    private final int lanes;

    ThreeExchangeEnvironment(Hop.Protocol kind, Span unit, ControllerFactory maker)
            throws IOException, InvalidFileException {
        this(kind, unit, maker, 1);
    }

    ThreeExchangeEnvironment(Hop.Protocol kind, Span unit, ControllerFactory maker, int lanes)
            throws IOException, InvalidFileException {
        this.kind = kind;
        this.lanes = lanes;
        capture = new CaptureWriter(folder.resolve("capture"));
        network = new SimulatedNetwork(capture, 1, Span.ofMillis(1), Span.ofMillis(1));
        for (int i = 0; i < COUNT; i++) {
            for (int j = i + 1; j < COUNT; j++) {
                trunks.addGroup("g-" + i + "-" + j, i, j, 60);
            }
        }
        office = new DirectoryService(network.createLink("office", -1), trunks, List.of("north"), COUNT, Span.ZERO);
        office.open(address(3, 9));
        Skill skill = new Skill("status", 1, 1, Span.ofMillis(1200), Span.ofMillis(4000), Span.ofMillis(300), "");
        double[][] even = {{0, 1, 1}, {1, 0, 1}, {1, 1, 0}};
        callers = new SimulatedCallers(
                new SimulatedCallers.CallerBehavior(
                        50, List.of(skill), List.of(1.0), 0, Span.ofMillis(500), 0.5, 0, Span.ofMillis(1e6), 0, "+77"),
                even,
                i -> Hop.udp(machines.get(i).address(Hop.Protocol.UDP)),
                martenslip.sip.transport.MessageInterceptor.PASS_THROUGH,
                5);
        callers.open(address(4, 9));
        capture.annotation("rules", "release-ms=500 drain-grace-ms=300 fall-multiple=3 fall-ms=1500");
        PrefixTable prefixes = new PrefixTable();
        for (int i = 0; i < COUNT; i++) {
            prefixes.add("+770" + i, i);
        }
        for (int i = 0; i < COUNT; i++) {
            InetSocketAddress at = free(address(1, 100 + i));
            ProcessorModel.Settings processor = new ProcessorModel.Settings(
                    unit, Span.ofMillis(2000), 0.3, Span.ofMillis(10_000), 3, Span.ofMillis(1500));
            SimulatedNetwork.NetworkLink wire = network.createLink("switch-" + i, 0);
            SimulatedSwitch machine = new SimulatedSwitch(
                    new SimulatedSwitch.Settings(i, 0, processor, Span.ofMillis(200), 0, prefixes, Map.of(), i, true),
                    trunks,
                    wire,
                    new Hop(kind, at, 0),
                    false);
            machine.open(address(2, 100 + i));
            machines.add(machine);
            wires.add(wire);
            capture.annotation("machine", "local=switch-" + i + " number=" + i + " at=" + place(i));
            list(i, SwitchEntry.State.READY, false);
            Exchange exchange = new Exchange(
                    ExchangeFile.read("test", site(i, at).getBytes(StandardCharsets.UTF_8), folder), maker);
            exchange.start();
            exchanges.add(exchange);
            capture.annotation(
                    "controller", "number=" + i + " host=" + at.getAddress().getHostAddress() + " state=up");
        }
        // Until the lists are there a module knows no switch and defers all.
        await(() -> exchanges.stream().allMatch(one -> one.knownSwitchCount() == COUNT), "switch lists");
    }

    static InetAddress address(int third, int fourth) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, (byte) third, (byte) fourth});
    }

    private static InetSocketAddress free(InetAddress host) throws IOException {
        try (ServerSocket tcp = new ServerSocket(0, 1, host);
                DatagramSocket udp = new DatagramSocket(new InetSocketAddress(host, tcp.getLocalPort()))) {
            return new InetSocketAddress(host, udp.getLocalPort());
        }
    }

    String place(int exchange) {
        InetSocketAddress at = machines.get(exchange).address(kind);
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    void list(int exchange, SwitchEntry.State state, boolean started) {
        office.publishChange(
                exchange,
                0,
                machines.get(exchange).address(kind),
                kind,
                state,
                started ? new Moment(System.nanoTime()) : null,
                Span.ZERO);
    }

    private String site(int number, InetSocketAddress at) throws IOException {
        String host = at.getAddress().getHostAddress();
        String service = address(3, 9).getHostAddress() + ":" + office.port(Hop.Protocol.UDP);
        StringBuilder groups = new StringBuilder();
        StringBuilder prefixes = new StringBuilder();
        for (int i = 0; i < COUNT; i++) {
            prefixes.append("<prefix digits='+770" + i + "' exchange='" + i + "'/>");
            if (i != number) {
                groups.append("<group name='g-" + Math.min(i, number) + "-" + Math.max(i, number) + "' far='" + i
                        + "' circuits='60'/>");
            }
        }
        return "<exchange xmlns='urn:martenslip:exchange:1' number='" + number + "' region='north' seed='" + number
                + "'><listen host='" + host + "' udp='" + at.getPort() + "' tcp='" + at.getPort() + "'/>"
                + "<circuits uri='sip:circuits-" + number + "@" + service + "'/><switch-list uri='sip:s@" + service
                + "' kept='kept-" + number + ".xml'/><regions><region name='north'/></regions>"
                + "<skills usual='status'><skill name='status' value='1' width='1' answer-target-ms='1200' "
                + "patience-ms='4000' mean-hold-ms='300'/></skills><numbering>" + prefixes + "</numbering>"
                + "<groups trunk-context='t.example'>" + groups + "</groups>"
                + "<limits most-rings='5' most-open='1000' come-back-ms='1000' silence-ms='600' lanes='" + lanes + "'/>"
                + "<rules release-ms='500' cold-share='0.3' warm-within-ms='10000' "
                + "fall-multiple='3'/><reports fields='allowed depth'/><peers/></exchange>";
    }

    static void await(BooleanSupplier what, String name) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!what.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not within 20 s: " + name);
            }
            Thread.onSpinWait();
            try {
                TimeUnit.MILLISECONDS.sleep(5);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    long tally(CallerStatistics.CallOutcome end) {
        return look(tally ->
                tally.rows().values().stream().mapToLong(row -> row.count(end)).sum());
    }

    long ended() {
        return look(tally -> tally.rows().values().stream()
                .mapToLong(row -> {
                    long all = 0;
                    for (CallerStatistics.CallOutcome end : CallerStatistics.CallOutcome.values()) {
                        all += row.count(end);
                    }
                    return all;
                })
                .sum());
    }

    private long look(java.util.function.ToLongFunction<CallerStatistics> what) {
        CompletableFuture<Long> answer = new CompletableFuture<>();
        callers.readStatistics(tally -> answer.complete(what.applyAsLong(tally)));
        return answer.join();
    }

    /** Closes all, and gives what the capture proves of one rule. */
    RuleResult verdict(int rule) throws IOException {
        close();
        RuleVerifier proof = new RuleVerifier();
        CaptureReader.read(folder.resolve("capture"), proof);
        Predicate<RuleResult> is = one -> one.rule() == rule;
        return proof.verdicts().stream().filter(is).findFirst().orElseThrow();
    }

    private boolean closed;

    @Override
    public void close() throws IOException {
        if (!closed) {
            closed = true;
            callers.close();
            exchanges.forEach(Exchange::close);
            machines.forEach(SimulatedSwitch::close);
            office.close();
            network.close();
            capture.close();
        }
    }
}
