package martenslip.play;

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
import martenslip.control.Maker;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchLine;
import martenslip.exchange.Exchange;
import martenslip.proof.CaptureFile;
import martenslip.proof.Proof;
import martenslip.proof.Verdict;
import martenslip.provision.Prefixes;
import martenslip.provision.Rejected;
import martenslip.provision.SiteFile;
import martenslip.provision.Skill;
import martenslip.sip.transport.Hop;
import martenslip.standin.Callers;
import martenslip.standin.Capture;
import martenslip.standin.Machine;
import martenslip.standin.Network;
import martenslip.standin.Office;
import martenslip.standin.Processor;
import martenslip.standin.Tally;
import martenslip.standin.Trunks;

/** Three exchanges in one process over real sockets, each with the module that a test gives it. */
final class SmallWorld implements AutoCloseable {
    static final int COUNT = 3;
    final Path folder = Files.createTempDirectory("small-world");
    final Trunks trunks = new Trunks();
    final Capture capture;
    final Network network;
    final Office office;
    final Callers callers;
    final List<Machine> machines = new ArrayList<>();
    final List<Network.Wire> wires = new ArrayList<>();
    final List<Exchange> exchanges = new ArrayList<>();
    private final Hop.Kind kind;
    private final int lanes;

    SmallWorld(Hop.Kind kind, Span unit, Maker maker) throws IOException, Rejected {
        this(kind, unit, maker, 1);
    }

    SmallWorld(Hop.Kind kind, Span unit, Maker maker, int lanes) throws IOException, Rejected {
        this.kind = kind;
        this.lanes = lanes;
        capture = new Capture(folder.resolve("capture"));
        network = new Network(capture, 1, Span.ofMillis(1), Span.ofMillis(1));
        for (int i = 0; i < COUNT; i++) {
            for (int j = i + 1; j < COUNT; j++) {
                trunks.add("g-" + i + "-" + j, i, j, 60);
            }
        }
        office = new Office(network.wire("office", -1), trunks, List.of("north"), COUNT, Span.ZERO);
        office.open(address(3, 9));
        Skill skill = new Skill("status", 1, 1, Span.ofMillis(1200), Span.ofMillis(4000), Span.ofMillis(300), "");
        double[][] even = {{0, 1, 1}, {1, 0, 1}, {1, 1, 0}};
        callers = new Callers(
                new Callers.Ways(
                        50, List.of(skill), List.of(1.0), 0, Span.ofMillis(500), 0.5, 0, Span.ofMillis(1e6), 0, "+77"),
                even,
                i -> Hop.udp(machines.get(i).at(Hop.Kind.UDP)),
                martenslip.sip.transport.Gate.OPEN,
                5);
        callers.open(address(4, 9));
        capture.fact("rules", "release-ms=500 drain-grace-ms=300 fall-multiple=3 fall-ms=1500");
        Prefixes prefixes = new Prefixes();
        for (int i = 0; i < COUNT; i++) {
            prefixes.add("+770" + i, i);
        }
        for (int i = 0; i < COUNT; i++) {
            InetSocketAddress at = free(address(1, 100 + i));
            Processor.Make processor =
                    new Processor.Make(unit, Span.ofMillis(2000), 0.3, Span.ofMillis(10_000), 3, Span.ofMillis(1500));
            Network.Wire wire = network.wire("switch-" + i, 0);
            Machine machine = new Machine(
                    new Machine.Make(i, 0, processor, Span.ofMillis(200), 0, prefixes, Map.of(), i, true),
                    trunks,
                    wire,
                    new Hop(kind, at, 0),
                    false);
            machine.open(address(2, 100 + i));
            machines.add(machine);
            wires.add(wire);
            capture.fact("machine", "local=switch-" + i + " number=" + i + " at=" + place(i));
            list(i, SwitchLine.State.READY, false);
            Exchange exchange =
                    new Exchange(SiteFile.read("test", site(i, at).getBytes(StandardCharsets.UTF_8), folder), maker);
            exchange.start();
            exchanges.add(exchange);
            capture.fact(
                    "controller", "number=" + i + " host=" + at.getAddress().getHostAddress() + " state=up");
        }
        // Until the lists are there a module knows no switch and defers all.
        await(() -> exchanges.stream().allMatch(one -> one.known() == COUNT), "switch lists");
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
        InetSocketAddress at = machines.get(exchange).at(kind);
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    void list(int exchange, SwitchLine.State state, boolean started) {
        office.change(
                exchange,
                0,
                machines.get(exchange).at(kind),
                kind,
                state,
                started ? new Moment(System.nanoTime()) : null,
                Span.ZERO);
    }

    private String site(int number, InetSocketAddress at) throws IOException {
        String host = at.getAddress().getHostAddress();
        String service = address(3, 9).getHostAddress() + ":" + office.port(Hop.Kind.UDP);
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

    long tally(Tally.End end) {
        return look(tally ->
                tally.rows().values().stream().mapToLong(row -> row.of(end)).sum());
    }

    long ended() {
        return look(tally -> tally.rows().values().stream()
                .mapToLong(row -> {
                    long all = 0;
                    for (Tally.End end : Tally.End.values()) {
                        all += row.of(end);
                    }
                    return all;
                })
                .sum());
    }

    private long look(java.util.function.ToLongFunction<Tally> what) {
        CompletableFuture<Long> answer = new CompletableFuture<>();
        callers.look(tally -> answer.complete(what.applyAsLong(tally)));
        return answer.join();
    }

    /** Closes all, and gives what the capture proves of one rule. */
    Verdict verdict(int rule) throws IOException {
        close();
        Proof proof = new Proof();
        CaptureFile.read(folder.resolve("capture"), proof);
        Predicate<Verdict> is = one -> one.rule() == rule;
        return proof.verdicts().stream().filter(is).findFirst().orElseThrow();
    }

    private boolean closed;

    @Override
    public void close() throws IOException {
        if (!closed) {
            closed = true;
            callers.close();
            exchanges.forEach(Exchange::close);
            machines.forEach(Machine::close);
            office.close();
            network.close();
            capture.close();
        }
    }
}
