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

/** The controllers of a day, each in its own process: writes their configuration, starts and stops them. */
final class ControllerProcesses implements AutoCloseable {
    /** Attributes of the day's rules that only the verifier needs; controllers don't know them. */
    private static final Set<String> VERIFIER_ONLY_RULES = Set.of("drain-grace-ms", "fall-ms");

    private static final long READY_TIMEOUT_SECONDS = 20;

    private final Day day;
    private final TrafficPlan plan;
    private final Path folder;
    private final List<String> options;
    private final int lanes;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();

    /** {@code options} are JVM options of each controller; {@code lanes} of 0 means the number in the day file. */
    ControllerProcesses(Day day, TrafficPlan plan, Path folder, List<String> options, int lanes) throws IOException {
        this.options = options;
        this.lanes = lanes;
        this.day = day;
        this.plan = plan;
        this.folder = folder;
        for (int i = 0; i < day.exchanges(); i++) {
            // Logs of an earlier run would be taken for this run's, and its stored switch list would be stale.
            for (String oldFile : List.of("exchange-" + i + ".log", "exchange-" + i + ".out", "kept-" + i + ".xml")) {
                Files.deleteIfExists(folder.resolve(oldFile));
            }
        }
        for (int i = 0; i < day.exchanges(); i++) {
            addresses.add(freeAddress(host(i)));
            processes.add(null);
        }
    }

    /** Each controller has its own loopback address, so that the network knows it whatever port it sends from. */
    static InetAddress host(int exchange) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, 1, (byte) (10 + exchange)});
    }

    /**
     * Finds a port that is free for UDP and TCP. The port is released before the controller binds it, which is safe as
     * no other process uses the address.
     */
    private static InetSocketAddress freeAddress(InetAddress host) throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            try (ServerSocket tcpSocket = new ServerSocket(0, 1, host);
                    DatagramSocket udpSocket =
                            new DatagramSocket(new InetSocketAddress(host, tcpSocket.getLocalPort()))) {
                return new InetSocketAddress(host, udpSocket.getLocalPort());
            } catch (java.net.BindException e) {
                continue;
            }
        }
        throw new IOException("no port is free for UDP and TCP on " + host);
    }

    Hop hop(int exchange) {
        InetSocketAddress address = addresses.get(exchange);
        return day.tcpExchanges().contains(exchange) ? Hop.tcp(address) : Hop.udp(address);
    }

    private String uri(int exchange) {
        InetSocketAddress address = addresses.get(exchange);
        return "sip:" + address.getAddress().getHostAddress() + ":" + address.getPort()
                + (day.tcpExchanges().contains(exchange) ? ";transport=tcp" : "");
    }

    /** Writes the exchange's configuration; {@code directory} is the address of the directory service. */
    void writeConfiguration(int exchange, InetSocketAddress directory) throws IOException {
        InetSocketAddress address = addresses.get(exchange);
        String directoryHostPort = directory.getAddress().getHostAddress() + ":" + directory.getPort();
        StringBuilder text = new StringBuilder();
        text.append(
                        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<exchange xmlns=\"urn:martenslip:exchange:1\" number=\"")
                .append(exchange)
                .append("\" region=\"")
                .append(regionName(exchange))
                .append("\" seed=\"")
                .append(day.seed() * 1000 + exchange)
                .append("\">\n");
        text.append("  <listen host=\"")
                .append(address.getAddress().getHostAddress())
                .append("\" udp=\"")
                .append(address.getPort())
                .append("\" tcp=\"")
                .append(address.getPort())
                .append("\"/>\n");
        text.append("  <circuits uri=\"sip:circuits-")
                .append(exchange)
                .append('@')
                .append(directoryHostPort)
                .append("\"/>\n");
        text.append("  <switch-list uri=\"sip:switches@")
                .append(directoryHostPort)
                .append("\" kept=\"kept-")
                .append(exchange)
                .append(".xml\"/>\n  <regions>\n");
        day.regions()
                .forEach(name -> text.append("    <region name=\"").append(name).append("\"/>\n"));
        text.append("  </regions>\n  <skills usual=\"")
                .append(day.defaultSkill())
                .append("\">\n");
        day.skills()
                .forEach(
                        skill -> text.append("    ").append(skillElement(skill)).append("\n"));
        text.append("  </skills>\n  <numbering>\n");
        for (int i = 0; i < day.exchanges(); i++) {
            text.append("    <prefix digits=\"")
                    .append(numberPrefix(i))
                    .append("\" exchange=\"")
                    .append(i)
                    .append("\"/>\n");
        }
        text.append("  </numbering>\n  <groups trunk-context=\"")
                .append(day.groups().trunkContext())
                .append("\">\n");
        for (TrafficPlan.Group group : plan.groupsOf(exchange)) {
            int farExchange = group.lowerExchange() == exchange ? group.higherExchange() : group.lowerExchange();
            text.append("    <group name=\"")
                    .append(group.name())
                    .append("\" far=\"")
                    .append(farExchange)
                    .append("\" circuits=\"")
                    .append(group.circuits())
                    .append("\"/>\n");
        }
        text.append("  </groups>\n");
        for (XmlElement node : List.of(day.limits(), day.rules(), day.reports())) {
            boolean overridesLanes = node == day.limits() && lanes > 0;
            text.append("  <")
                    .append(node.name())
                    .append(overridesLanes ? " lanes=\"" + lanes + "\"" : "")
                    .append(node.attributes().entrySet().stream()
                            .filter(attribute ->
                                    !overridesLanes || !attribute.getKey().equals("lanes"))
                            .filter(attribute -> !VERIFIER_ONLY_RULES.contains(attribute.getKey()))
                            .map(attribute -> " " + attribute.getKey() + "=\"" + attribute.getValue() + "\"")
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
        Files.writeString(configurationFile(exchange), text);
    }

    private static String skillElement(Skill skill) {
        return "<skill name=\"" + skill.name() + "\" value=\"" + skill.value() + "\" width=\"" + skill.width()
                + "\" answer-target-ms=\"" + skill.answerTarget().ns() / 1e6 + "\" patience-ms=\""
                + skill.patience().ns() / 1e6 + "\" mean-hold-ms=\""
                + skill.meanHold().ns() / 1e6
                + (skill.priority().isEmpty() ? "" : "\" resource-priority=\"" + skill.priority()) + "\"/>";
    }

    String numberPrefix(int exchange) {
        return day.traffic().numberPrefix() + String.format("%02d", exchange);
    }

    String regionName(int exchange) {
        return day.regions().get(exchange % day.regions().size());
    }

    private Path configurationFile(int exchange) {
        return folder.resolve("exchange-" + exchange + ".xml");
    }

    /** Starts the process and waits until it prints that it is ready. */
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
                configurationFile(exchange).toString()));
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log))
                .start();
        processes.set(exchange, process);
        BufferedReader output = process.inputReader();
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        String line = output.readLine();
        while (line != null && !line.startsWith("ready") && System.nanoTime() < deadline) {
            line = output.readLine();
        }
        if (line == null || !line.startsWith("ready")) {
            throw new IOException("controller " + exchange + " did not start; see " + log);
        }
        Path outputFile = folder.resolve("exchange-" + exchange + ".out");
        Thread copier = new Thread(null, () -> copyOutput(output, outputFile), "out-" + exchange, 128 * 1024);
        copier.setDaemon(true);
        copier.start();
    }

    private static void copyOutput(BufferedReader input, Path file) {
        try (var writer = Files.newBufferedWriter(
                file, java.nio.file.StandardOpenOption.CREATE, java.nio.file.StandardOpenOption.APPEND)) {
            for (String line = input.readLine(); line != null; line = input.readLine()) {
                writer.write(line + "\n");
                writer.flush();
            }
        } catch (IOException e) {
            // The process has ended; the output read so far is on disk.
            return;
        }
    }

    /**
     * Stalls a thread of the controller.
     *
     * @param lane the lane to stall; -1 for the decision thread
     * @param messagePrefix stalls while sending a message that starts so; empty to stall between work items
     */
    void stall(int exchange, int lane, Span duration, String messagePrefix) throws IOException {
        java.io.Writer input = processes.get(exchange).outputWriter();
        input.write("stall " + lane + " " + duration.ns() / 1_000_000 + " " + messagePrefix + "\n");
        input.flush();
    }

    /** Kills the process with SIGKILL and waits for its end. */
    void kill(int exchange) throws InterruptedException {
        processes.get(exchange).destroyForcibly().waitFor();
    }

    /** Sends SIGTERM to all; returns how many did not exit normally within 30 s. */
    int terminateAll() throws InterruptedException {
        processes.forEach(Process::destroy);
        int failedExits = 0;
        for (Process process : processes) {
            boolean ended = process.waitFor(30, TimeUnit.SECONDS);
            // 143 is the exit code of a JVM that ran its shutdown hooks after SIGTERM.
            failedExits += ended && (process.exitValue() == 143 || process.exitValue() == 0) ? 0 : 1;
        }
        return failedExits;
    }

    /** CPU time of the running controllers in seconds. */
    double cpuSeconds() {
        return processes.stream()
                .filter(process -> process != null && process.isAlive())
                .mapToDouble(process -> process.info()
                        .totalCpuDuration()
                        .map(duration -> duration.toNanos() / 1e9)
                        .orElse(0.0))
                .sum();
    }

    @Override
    public void close() {
        processes.stream().filter(process -> process != null).forEach(Process::destroyForcibly);
    }
}
