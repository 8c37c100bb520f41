package martenslip.scenario;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import martenslip.configuration.Skill;
import martenslip.configuration.XmlElement;
import martenslip.control.Span;
import martenslip.sip.transport.Hop;

/** The controllers of a day, each a process of its own: their files, their start, their end. */
final class ControllerProcesses implements AutoCloseable {
    /** Figures of the day's rules that only whoever judges them needs. */
    private static final Set<String> JUDGED = Set.of("drain-grace-ms", "fall-ms");

    private static final long READY_SECONDS = 20;

    private final Day day;
    private final TrafficPlan plan;
    private final Path folder;
    private final List<String> options;
    private final int lanes;
    private final List<InetSocketAddress> places = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();

    /** {@code options} go to each controller's virtual machine; {@code lanes} of 0 are as the day says. */
    ControllerProcesses(Day day, TrafficPlan plan, Path folder, List<String> options, int lanes) throws IOException {
        this.options = options;
        this.lanes = lanes;
        this.day = day;
        this.plan = plan;
        this.folder = folder;
        for (int i = 0; i < day.exchanges(); i++) {
            // What an earlier play left would be read as this one's, and a kept list would be a stale one.
            for (String old : List.of("exchange-" + i + ".log", "exchange-" + i + ".out", "kept-" + i + ".xml")) {
                Files.deleteIfExists(folder.resolve(old));
            }
        }
        for (int i = 0; i < day.exchanges(); i++) {
            places.add(free(host(i)));
            processes.add(null);
        }
    }

    /** Each controller has a loopback address of its own, so that the wires know it whatever port it sends from. */
    static InetAddress host(int exchange) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, 1, (byte) (10 + exchange)});
    }

    /** A port that is free for both transports. It is let go before it is used: on an address that is nobody else's. */
    private static InetSocketAddress free(InetAddress host) throws IOException {
        for (int tries = 0; tries < 50; tries++) {
            try (ServerSocket tcp = new ServerSocket(0, 1, host);
                    DatagramSocket udp = new DatagramSocket(new InetSocketAddress(host, tcp.getLocalPort()))) {
                return new InetSocketAddress(host, udp.getLocalPort());
            } catch (java.net.BindException e) {
                continue;
            }
        }
        throw new IOException("no port is free for UDP and TCP on " + host);
    }

    Hop hop(int exchange) {
        InetSocketAddress at = places.get(exchange);
        return day.overTcp().contains(exchange) ? Hop.tcp(at) : Hop.udp(at);
    }

    private String uri(int exchange) {
        InetSocketAddress at = places.get(exchange);
        return "sip:" + at.getAddress().getHostAddress() + ":" + at.getPort()
                + (day.overTcp().contains(exchange) ? ";transport=tcp" : "");
    }

    /** Writes the exchange's file. {@code office} is the address of the list and circuits service. */
    void write(int exchange, InetSocketAddress office) throws IOException {
        InetSocketAddress at = places.get(exchange);
        String service = office.getAddress().getHostAddress() + ":" + office.getPort();
        StringBuilder text = new StringBuilder();
        text.append(
                        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<exchange xmlns=\"urn:martenslip:exchange:1\" number=\"")
                .append(exchange)
                .append("\" region=\"")
                .append(region(exchange))
                .append("\" seed=\"")
                .append(day.seed() * 1000 + exchange)
                .append("\">\n");
        text.append("  <listen host=\"")
                .append(at.getAddress().getHostAddress())
                .append("\" udp=\"")
                .append(at.getPort())
                .append("\" tcp=\"")
                .append(at.getPort())
                .append("\"/>\n");
        text.append("  <circuits uri=\"sip:circuits-")
                .append(exchange)
                .append('@')
                .append(service)
                .append("\"/>\n");
        text.append("  <switch-list uri=\"sip:switches@")
                .append(service)
                .append("\" kept=\"kept-")
                .append(exchange)
                .append(".xml\"/>\n  <regions>\n");
        day.regions()
                .forEach(name -> text.append("    <region name=\"").append(name).append("\"/>\n"));
        text.append("  </regions>\n  <skills usual=\"").append(day.usual()).append("\">\n");
        day.skills().forEach(skill -> text.append("    ").append(line(skill)).append("\n"));
        text.append("  </skills>\n  <numbering>\n");
        for (int i = 0; i < day.exchanges(); i++) {
            text.append("    <prefix digits=\"")
                    .append(prefix(i))
                    .append("\" exchange=\"")
                    .append(i)
                    .append("\"/>\n");
        }
        text.append("  </numbering>\n  <groups trunk-context=\"")
                .append(day.groups().context())
                .append("\">\n");
        for (TrafficPlan.Group group : plan.of(exchange)) {
            int far = group.a() == exchange ? group.b() : group.a();
            text.append("    <group name=\"")
                    .append(group.name())
                    .append("\" far=\"")
                    .append(far)
                    .append("\" circuits=\"")
                    .append(group.circuits())
                    .append("\"/>\n");
        }
        text.append("  </groups>\n");
        for (XmlElement node : List.of(day.limits(), day.rules(), day.reports())) {
            boolean limits = node == day.limits() && lanes > 0;
            text.append("  <")
                    .append(node.name())
                    .append(limits ? " lanes=\"" + lanes + "\"" : "")
                    .append(node.attributes().entrySet().stream()
                            .filter(one -> !limits || !one.getKey().equals("lanes"))
                            .filter(one -> !JUDGED.contains(one.getKey()))
                            .map(one -> " " + one.getKey() + "=\"" + one.getValue() + "\"")
                            .collect(Collectors.joining()))
                    .append("/>\n");
        }
        text.append("  <peers>\n");
        for (int i = 0; i < day.exchanges(); i++) {
            if (i != exchange) {
                text.append("    <peer exchange=\"")
                        .append(i)
                        .append("\" uri=\"")
                        .append(uri(i))
                        .append("\"/>\n");
            }
        }
        text.append("  </peers>\n</exchange>\n");
        Files.writeString(file(exchange), text);
    }

    private static String line(Skill skill) {
        return "<skill name=\"" + skill.name() + "\" value=\"" + skill.value() + "\" width=\"" + skill.width()
                + "\" answer-target-ms=\"" + skill.answerTarget().ns() / 1e6 + "\" patience-ms=\""
                + skill.patience().ns() / 1e6 + "\" mean-hold-ms=\""
                + skill.meanHold().ns() / 1e6
                + (skill.priority().isEmpty() ? "" : "\" resource-priority=\"" + skill.priority()) + "\"/>";
    }

    String prefix(int exchange) {
        return day.traffic().prefix() + String.format("%02d", exchange);
    }

    String region(int exchange) {
        return day.regions().get(exchange % day.regions().size());
    }

    private Path file(int exchange) {
        return folder.resolve("exchange-" + exchange + ".xml");
    }

    /** Starts the process and waits until it says that it listens. */
    void start(int exchange) throws IOException, InterruptedException {
        File log = folder.resolve("exchange-" + exchange + ".log").toFile();
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of(
                "-XX:-UsePerfData",
                "-Dmartenslip.log=" + System.getProperty("martenslip.log", "INFO"),
                "-cp",
                System.getProperty("java.class.path"),
                "martenslip.cli.Main",
                "run",
                "--planted",
                "--figures",
                "10",
                file(exchange).toString()));
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log))
                .start();
        processes.set(exchange, process);
        BufferedReader said = process.inputReader();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        String line = said.readLine();
        while (line != null && !line.startsWith("ready") && System.nanoTime() < end) {
            line = said.readLine();
        }
        if (line == null || !line.startsWith("ready")) {
            throw new IOException("controller " + exchange + " did not start; see " + log);
        }
        Path out = folder.resolve("exchange-" + exchange + ".out");
        Thread copy = new Thread(null, () -> copy(said, out), "out-" + exchange, 128 * 1024);
        copy.setDaemon(true);
        copy.start();
    }

    private static void copy(BufferedReader from, Path to) {
        try (var out = Files.newBufferedWriter(
                to, java.nio.file.StandardOpenOption.CREATE, java.nio.file.StandardOpenOption.APPEND)) {
            for (String line = from.readLine(); line != null; line = from.readLine()) {
                out.write(line + "\n");
                out.flush();
            }
        } catch (IOException e) {
            // The process has ended; what it said is on disk as far as it came.
            return;
        }
    }

    /** Has a thread of the controller hang: lane -1 is its decider; amid a send of what begins so, or between work. */
    void stall(int exchange, int lane, Span span, String amid) throws IOException {
        java.io.Writer to = processes.get(exchange).outputWriter();
        to.write("stall " + lane + " " + span.ns() / 1_000_000 + " " + amid + "\n");
        to.flush();
    }

    /** SIGKILL. */
    void kill(int exchange) throws InterruptedException {
        processes.get(exchange).destroyForcibly().waitFor();
    }

    /** SIGTERM to all, and how many did not end in good order in time. */
    int end() throws InterruptedException {
        processes.forEach(Process::destroy);
        int bad = 0;
        for (Process process : processes) {
            boolean ended = process.waitFor(30, TimeUnit.SECONDS);
            // 143 is how a JVM ends that SIGTERM stops, its hooks run.
            bad += ended && (process.exitValue() == 143 || process.exitValue() == 0) ? 0 : 1;
        }
        return bad;
    }

    /** CPU spent by the controllers that run. */
    double cpuSeconds() {
        return processes.stream()
                .filter(one -> one != null && one.isAlive())
                .mapToDouble(one -> one.info()
                        .totalCpuDuration()
                        .map(span -> span.toNanos() / 1e9)
                        .orElse(0.0))
                .sum();
    }

    @Override
    public void close() {
        processes.stream().filter(one -> one != null).forEach(Process::destroyForcibly);
    }
}
