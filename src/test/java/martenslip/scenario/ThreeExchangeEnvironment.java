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

/** Three exchanges in one process over real sockets, each with a controller from the test's factory. */
final class ThreeExchangeEnvironment implements AutoCloseable {
    static final int EXCHANGE_COUNT = 3;
    final Path folder = Files.createTempDirectory("three-exchanges");
    final TrunkGroups trunks = new TrunkGroups();
    final CaptureWriter capture;
    final SimulatedNetwork network;
    final DirectoryService directory;
    final SimulatedCallers callers;
    final List<SimulatedSwitch> switches = new ArrayList<>();
    final List<SimulatedNetwork.NetworkLink> links = new ArrayList<>();
    final List<Exchange> exchanges = new ArrayList<>();
    private final Hop.Protocol protocol;
    private final int lanes;

    ThreeExchangeEnvironment(Hop.Protocol protocol, Span setUpTime, ControllerFactory controllerFactory)
            throws IOException, InvalidFileException {
        this(protocol, setUpTime, controllerFactory, 1);
    }

    ThreeExchangeEnvironment(Hop.Protocol protocol, Span setUpTime, ControllerFactory controllerFactory, int lanes)
            throws IOException, InvalidFileException {
        this.protocol = protocol;
        this.lanes = lanes;
        capture = new CaptureWriter(folder.resolve("capture"));
        network = new SimulatedNetwork(capture, 1, Span.ofMillis(1), Span.ofMillis(1));
        for (int i = 0; i < EXCHANGE_COUNT; i++) {
            for (int j = i + 1; j < EXCHANGE_COUNT; j++) {
                trunks.addGroup("g-" + i + "-" + j, i, j, 60);
            }
        }
        directory = new DirectoryService(
                network.createLink("office", -1), trunks, List.of("north"), EXCHANGE_COUNT, Span.ZERO);
        directory.open(loopbackAddress(3, 9));
        Skill skill = new Skill("status", 1, 1, Span.ofMillis(1200), Span.ofMillis(4000), Span.ofMillis(300), "");
        double[][] evenWeights = {{0, 1, 1}, {1, 0, 1}, {1, 1, 0}};
        callers = new SimulatedCallers(
                new SimulatedCallers.CallerBehavior(
                        50, List.of(skill), List.of(1.0), 0, Span.ofMillis(500), 0.5, 0, Span.ofMillis(1e6), 0, "+77"),
                evenWeights,
                i -> Hop.udp(switches.get(i).address(Hop.Protocol.UDP)),
                martenslip.sip.transport.MessageInterceptor.PASS_THROUGH,
                5);
        callers.open(loopbackAddress(4, 9));
        capture.annotation("rules", "release-ms=500 drain-grace-ms=300 fall-multiple=3 fall-ms=1500");
        PrefixTable prefixes = new PrefixTable();
        for (int i = 0; i < EXCHANGE_COUNT; i++) {
            prefixes.add("+770" + i, i);
        }
        for (int i = 0; i < EXCHANGE_COUNT; i++) {
            InetSocketAddress controllerAddress = freeAddress(loopbackAddress(1, 100 + i));
            ProcessorModel.Settings processor = new ProcessorModel.Settings(
                    setUpTime, Span.ofMillis(2000), 0.3, Span.ofMillis(10_000), 3, Span.ofMillis(1500));
            SimulatedNetwork.NetworkLink link = network.createLink("switch-" + i, 0);
            SimulatedSwitch simulatedSwitch = new SimulatedSwitch(
                    new SimulatedSwitch.Settings(i, 0, processor, Span.ofMillis(200), 0, prefixes, Map.of(), i, true),
                    trunks,
                    link,
                    new Hop(protocol, controllerAddress, 0),
                    false);
            simulatedSwitch.open(loopbackAddress(2, 100 + i));
            switches.add(simulatedSwitch);
            links.add(link);
            capture.annotation("machine", "local=switch-" + i + " number=" + i + " at=" + switchHostPort(i));
            publishState(i, SwitchEntry.State.READY, false);
            Exchange exchange = new Exchange(
                    ExchangeFile.read(
                            "test", configuration(i, controllerAddress).getBytes(StandardCharsets.UTF_8), folder),
                    controllerFactory);
            exchange.start();
            exchanges.add(exchange);
            capture.annotation(
                    "controller",
                    "number=" + i + " host=" + controllerAddress.getAddress().getHostAddress() + " state=up");
        }
        // Until it has the switch list a module knows no switch and defers all contacts.
        await(
                () -> exchanges.stream().allMatch(candidate -> candidate.knownSwitchCount() == EXCHANGE_COUNT),
                "switch lists");
    }

    static InetAddress loopbackAddress(int third, int fourth) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, (byte) third, (byte) fourth});
    }

    private static InetSocketAddress freeAddress(InetAddress host) throws IOException {
        try (ServerSocket tcpSocket = new ServerSocket(0, 1, host);
                DatagramSocket udpSocket = new DatagramSocket(new InetSocketAddress(host, tcpSocket.getLocalPort()))) {
            return new InetSocketAddress(host, udpSocket.getLocalPort());
        }
    }

    String switchHostPort(int exchange) {
        InetSocketAddress address = switches.get(exchange).address(protocol);
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    void publishState(int exchange, SwitchEntry.State state, boolean started) {
        directory.publishChange(
                exchange,
                0,
                switches.get(exchange).address(protocol),
                protocol,
                state,
                started ? new Moment(System.nanoTime()) : null,
                Span.ZERO);
    }

    private String configuration(int number, InetSocketAddress controllerAddress) throws IOException {
        String host = controllerAddress.getAddress().getHostAddress();
        String directoryHostPort = loopbackAddress(3, 9).getHostAddress() + ":" + directory.port(Hop.Protocol.UDP);
        StringBuilder groups = new StringBuilder();
        StringBuilder prefixes = new StringBuilder();
        for (int i = 0; i < EXCHANGE_COUNT; i++) {
            prefixes.append("<prefix digits='+770" + i + "' exchange='" + i + "'/>");
            if (i != number) {
                groups.append("<group name='g-" + Math.min(i, number) + "-" + Math.max(i, number) + "' far='" + i
                        + "' circuits='60'/>");
            }
        }
        return "<exchange xmlns='urn:martenslip:exchange:1' number='" + number + "' region='north' seed='" + number
                + "'><listen host='" + host + "' udp='" + controllerAddress.getPort() + "' tcp='"
                + controllerAddress.getPort() + "'/>"
                + "<circuits uri='sip:circuits-" + number + "@" + directoryHostPort + "'/><switch-list uri='sip:s@"
                + directoryHostPort
                + "' kept='kept-" + number + ".xml'/><regions><region name='north'/></regions>"
                + "<skills usual='status'><skill name='status' value='1' width='1' answer-target-ms='1200' "
                + "patience-ms='4000' mean-hold-ms='300'/></skills><numbering>" + prefixes + "</numbering>"
                + "<groups trunk-context='t.example'>" + groups + "</groups>"
                + "<limits most-rings='5' most-open='1000' come-back-ms='1000' silence-ms='600' lanes='" + lanes + "'/>"
                + "<rules release-ms='500' cold-share='0.3' warm-within-ms='10000' "
                + "fall-multiple='3'/><reports fields='allowed depth'/><peers/></exchange>";
    }

    static void await(BooleanSupplier condition, String description) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("not within 20 s: " + description);
            }
            Thread.onSpinWait();
            try {
                TimeUnit.MILLISECONDS.sleep(5);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    long outcomeCount(CallerStatistics.CallOutcome outcome) {
        return readStatistics(statistics -> statistics.bySkill().values().stream()
                .mapToLong(row -> row.count(outcome))
                .sum());
    }

    long endedCount() {
        return readStatistics(statistics -> statistics.bySkill().values().stream()
                .mapToLong(row -> {
                    long count = 0;
                    for (CallerStatistics.CallOutcome outcome : CallerStatistics.CallOutcome.values()) {
                        count += row.count(outcome);
                    }
                    return count;
                })
                .sum());
    }

    private long readStatistics(java.util.function.ToLongFunction<CallerStatistics> function) {
        CompletableFuture<Long> answer = new CompletableFuture<>();
        callers.readStatistics(statistics -> answer.complete(function.applyAsLong(statistics)));
        return answer.join();
    }

    /** Closes everything and checks one rule against the capture. */
    RuleResult result(int rule) throws IOException {
        close();
        RuleVerifier verifier = new RuleVerifier();
        CaptureReader.read(folder.resolve("capture"), verifier);
        Predicate<RuleResult> hasNumber = result -> result.rule() == rule;
        return verifier.results().stream().filter(hasNumber).findFirst().orElseThrow();
    }

    private boolean closed;

    @Override
    public void close() throws IOException {
        if (!closed) {
            closed = true;
            callers.close();
            exchanges.forEach(Exchange::close);
            switches.forEach(SimulatedSwitch::close);
            directory.close();
            network.close();
            capture.close();
        }
    }
}
