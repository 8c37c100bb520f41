package martenslip.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.sip.transport.Hop;
import martenslip.standin.CallGenerator;
import martenslip.standin.CaptureWriter;
import martenslip.standin.DirectoryService;
import martenslip.standin.LightweightSwitch;
import martenslip.standin.SimulatedNetwork;
import martenslip.standin.TrunkGroups;
import org.HdrHistogram.Histogram;

/**
 * One exchange in a process of its own with 1, 2, 4, ... lanes, against stand-ins that cost little: how many contacts a
 * second it carries, what a contact costs, and whether a group that is full gets one ring too many.
 */
public final class CoresBenchmark {
    /** One step: lanes, contacts a second that were dialled, and what came of them. Spans in microseconds. */
    public record RateResult(
            int lanes,
            double rate,
            long dialled,
            long established,
            long p50Micros,
            long p99Micros,
            long p999Micros,
            double cpuMs) {
        boolean carried(long mostMicros) {
            return p99Micros < mostMicros && established >= dialled * 0.999;
        }
    }

    /** Contacts for groups that are full: {@code tooMany} rings came where no circuit was left. */
    public record FullGroupResult(
            int lanes,
            long dialled,
            long stood,
            long refused,
            long urgent,
            long urgentRefused,
            long tooMany,
            double used) {}

    private static final int FAR = 8;
    private static final Span HOLD = Span.ofMillis(1000);
    /** Far past the 10 ms that are asked for: a shared machine alone may add as much. */
    private static final long MOST_MICROS = 250_000;

    private static final int SMALL = 60;

    private final Path folder;
    private final List<String> options;
    private final int seconds;
    private final PrintStream out;
    private int runs;

    /** {@code options} go to the exchange's virtual machine; each rate is held for {@code seconds}. */
    public CoresBenchmark(Path folder, List<String> options, int seconds, PrintStream out) {
        this.folder = folder;
        this.options = options;
        this.seconds = seconds;
        this.out = out;
    }

    /** Each count of lanes at rising rates until one is not carried. */
    public List<RateResult> measureRates(List<Integer> lanes, List<Integer> rates)
            throws IOException, InterruptedException {
        List<RateResult> rows = new ArrayList<>();
        out.println("lanes  dialled/s   stood  of       p50-ms  p99-ms  p99.9-ms  CPU-ms-a-contact");
        for (int count : lanes) {
            try (BenchmarkRun bench = new BenchmarkRun(count, 60_000, 0)) {
                bench.dial(1500, 6);
                for (int rate : rates) {
                    RateResult row = bench.row(rate);
                    rows.add(row);
                    out.printf(
                            Locale.ROOT,
                            "%5d %10.0f %7d  %-7d %7.2f %7.2f %9.2f %17.3f%n",
                            row.lanes,
                            row.rate,
                            row.established,
                            row.dialled,
                            row.p50Micros / 1000.0,
                            row.p99Micros / 1000.0,
                            row.p999Micros / 1000.0,
                            row.cpuMs);
                    out.flush();
                    if (!row.carried(MOST_MICROS)) {
                        break;
                    }
                }
            }
        }
        return rows;
    }

    /** Each count of lanes with more contacts than its groups have circuits, one in eight four circuits wide. */
    public List<FullGroupResult> measureFullGroups(List<Integer> lanes) throws IOException, InterruptedException {
        List<FullGroupResult> rows = new ArrayList<>();
        out.println("lanes  dialled   stood  refused  urgent  of-them-refused  rings-too-many  circuits-used");
        for (int count : lanes) {
            try (BenchmarkRun bench = new BenchmarkRun(count, SMALL, 8)) {
                FullGroupResult row = bench.full(1.3 * FAR * SMALL / 1.375);
                rows.add(row);
                out.printf(
                        Locale.ROOT,
                        "%5d %8d %7d %8d %7d %16d %15d %13.1f%%%n",
                        row.lanes,
                        row.dialled,
                        row.stood,
                        row.refused,
                        row.urgent,
                        row.urgentRefused,
                        row.tooMany,
                        100 * row.used);
            }
        }
        return rows;
    }

    /** One exchange with its surroundings. */
    private final class BenchmarkRun implements AutoCloseable {
        private final int lanes;
        private final int urgentEvery;
        private final CaptureWriter capture;
        private final SimulatedNetwork network;
        private final TrunkGroups trunks = new TrunkGroups();
        private final DirectoryService office;
        private final List<LightweightSwitch> mirrors = new ArrayList<>();
        private final InetSocketAddress at;
        private final Process process;

        BenchmarkRun(int lanes, int circuits, int urgentEvery) throws IOException, InterruptedException {
            this.lanes = lanes;
            this.urgentEvery = urgentEvery;
            runs++;
            Files.createDirectories(folder);
            capture = new CaptureWriter(folder.resolve("office-capture"));
            network = new SimulatedNetwork(capture, 1, Span.ZERO, Span.ZERO);
            for (int i = 1; i <= FAR; i++) {
                trunks.addGroup("b-" + i, 0, i, circuits);
            }
            office = new DirectoryService(network.createLink("office", -1), trunks, List.of("here"), 1, Span.ZERO);
            office.open(address(30));
            for (int i = 1; i <= FAR; i++) {
                LightweightSwitch mirror =
                        new LightweightSwitch(new InetSocketAddress(address(40 + i), 0), trunks, Map.of("q735.1", 4));
                mirrors.add(mirror);
                office.publishChange(
                        i, 0, mirror.address(), Hop.Protocol.UDP, SwitchEntry.State.READY, null, Span.ZERO);
            }
            Path file = folder.resolve("exchange.xml");
            Files.deleteIfExists(folder.resolve("kept.xml"));
            Files.writeString(file, site(circuits));
            List<String> command = new ArrayList<>();
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(options);
            command.addAll(List.of(
                    "-cp", System.getProperty("java.class.path"), "martenslip.cli.Main", "run", file.toString()));
            process = new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.appendTo(
                            folder.resolve("exchange.log").toFile()))
                    .start();
            at = ready();
            // Until the list and the circuits are there all would be refused.
            TimeUnit.MILLISECONDS.sleep(1500);
        }

        private InetAddress address(int last) throws IOException {
            return InetAddress.getByAddress(new byte[] {127, 0, 6, (byte) last});
        }

        private InetSocketAddress ready() throws IOException {
            java.io.BufferedReader said = process.inputReader();
            String line = said.readLine();
            while (line != null && !line.startsWith("ready")) {
                line = said.readLine();
            }
            if (line == null) {
                throw new IOException("the exchange did not start; see " + folder.resolve("exchange.log"));
            }
            int port = Integer.parseInt(line.replaceAll(".*:([0-9]+);.*", "$1"));
            return new InetSocketAddress(address(1), port);
        }

        private String site(int circuits) throws IOException {
            String service = address(30).getHostAddress() + ":" + office.port(Hop.Protocol.UDP);
            StringBuilder prefixes = new StringBuilder();
            StringBuilder groups = new StringBuilder();
            for (int i = 0; i <= FAR; i++) {
                prefixes.append(String.format("<prefix digits='+9155%02d' exchange='%d'/>", i, i));
                if (i > 0) {
                    groups.append("<group name='b-")
                            .append(i)
                            .append("' far='")
                            .append(i)
                            .append("' circuits='")
                            .append(circuits)
                            .append("'/>");
                }
            }
            return "<exchange xmlns='urn:martenslip:exchange:1' number='0' region='here' seed='7'><listen host='"
                    + address(1).getHostAddress() + "' udp='0'/><circuits uri='sip:circuits-0@" + service
                    + "'/><switch-list uri='sip:s@" + service + "' kept='kept.xml'/><regions><region name='here'/>"
                    + "</regions><skills usual='status'><skill name='status' value='1' width='1' "
                    + "answer-target-ms='1200' patience-ms='4000' mean-hold-ms='1000'/><skill name='slot' value='8' "
                    + "width='4' answer-target-ms='1200' patience-ms='4000' mean-hold-ms='1000' "
                    + "resource-priority='q735.1'/></skills><numbering>" + prefixes + "</numbering>"
                    + "<groups trunk-context='b.example'>" + groups + "</groups><limits most-rings='5' "
                    + "most-open='60000' come-back-ms='2000' silence-ms='900' lanes='" + lanes + "'/>"
                    + "<rules release-ms='500' cold-share='0.3' warm-within-ms='10000' "
                    + "fall-multiple='3'/><reports fields='allowed depth'/><peers/></exchange>";
        }

        private CallGenerator dial(double rate, int forSeconds) throws IOException, InterruptedException {
            CallGenerator.LoadProfile plan = new CallGenerator.LoadProfile(
                    rate, Span.ofMillis(forSeconds * 1000.0), HOLD, "+9155", FAR, urgentEvery, "q735.1");
            try (CallGenerator dialler = new CallGenerator(
                    new InetSocketAddress(address(60), 0),
                    at,
                    plan,
                    "r" + runs + "x" + (long) rate + "x" + forSeconds)) {
                dialler.run();
                return dialler;
            }
        }

        private double cpu() {
            return process.info()
                    .totalCpuDuration()
                    .map(span -> span.toNanos() / 1e6)
                    .orElse(0.0);
        }

        RateResult row(double rate) throws IOException, InterruptedException {
            double before = cpu();
            CallGenerator done = dial(rate, seconds);
            Histogram took = done.setUpTimes();
            return new RateResult(
                    lanes,
                    rate,
                    done.dialled(),
                    done.established(),
                    took.getValueAtPercentile(50),
                    took.getValueAtPercentile(99),
                    took.getValueAtPercentile(99.9),
                    (cpu() - before) / Math.max(1, done.dialled()));
        }

        FullGroupResult full(double rate) throws IOException, InterruptedException {
            long[] used = new long[2];
            Thread looks = new Thread(() -> {
                try {
                    // The first circuits fill while the first contacts hold.
                    TimeUnit.MILLISECONDS.sleep(2000);
                    for (int i = 0; i < 10 * (seconds - 2); i++) {
                        used[0] += trunks.circuitsInUse();
                        used[1] += FAR * SMALL;
                        TimeUnit.MILLISECONDS.sleep(100);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            looks.start();
            CallGenerator done = dial(rate, seconds);
            looks.join();
            long tooMany = mirrors.stream()
                    .mapToLong(LightweightSwitch::rejectedForNoCircuit)
                    .sum();
            return new FullGroupResult(
                    lanes,
                    done.dialled(),
                    done.established(),
                    done.refused(),
                    done.dialled() / urgentEvery,
                    done.urgentRefused(),
                    tooMany,
                    (double) used[0] / Math.max(1, used[1]));
        }

        @Override
        public void close() throws IOException {
            process.destroyForcibly();
            mirrors.forEach(LightweightSwitch::close);
            office.close();
            network.close();
            capture.close();
        }
    }
}
