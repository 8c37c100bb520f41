package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The program as the platform starts it, in a process of its own that can be signalled, killed and started again. */
final class ControllerProcess implements AutoCloseable {
    private static final int EXIT_TIMEOUT_SECONDS = 20;
    private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"exec java (.*) serve\"$");
    private static final Pattern PEAK_MEMORY_KB = Pattern.compile("(?m)^VmHWM:\\s+(\\d+) kB$");

    private final int port;
    private Path configurationFile;
    private List<String> launchOptions;
    private Process process;
    private BufferedReader output;

    /** Chooses the port that the process is to listen on; see {@link #configured}. */
    ControllerProcess() throws IOException {
        try (ServerSocket freeSocket = new ServerSocket(0)) {
            port = freeSocket.getLocalPort();
        }
    }

    /** The configuration of {@link PlatformStandIn} with the address of this process. */
    String configured(String configuration) {
        return configuration.replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"");
    }

    InetSocketAddress listenAddress() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    void launch(Path configurationFile) throws IOException {
        launch(configurationFile, List.of("-XX:TieredStopAtLevel=1"));
    }

    /** Starts the process with the bounds on memory of the deploy file. */
    void launchAsDeployed(Path configurationFile) throws IOException {
        launch(configurationFile, deployedOptions());
    }

    /** The options of the deploy file's run command, but for the archive of classes, which only the build makes. */
    private static List<String> deployedOptions() throws IOException {
        String deployFile = Files.readString(Path.of("deploy", "balancer.toml"));
        Matcher runCommand = RUN_COMMAND.matcher(deployFile);
        assertTrue(runCommand.find(), "the deploy file has no run command");
        return Arrays.stream(runCommand.group(1).split(" "))
                .filter(option -> option.startsWith("-X") && !option.contains("SharedArchiveFile"))
                .toList();
    }

    private void launch(Path configurationFile, List<String> options) throws IOException {
        this.configurationFile = configurationFile;
        launchOptions = options;
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "martenslip.cli.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("ROUTER_CONFIG", configurationFile.toString());
        process = builder.redirectErrorStream(true).start();
        output = new BufferedReader(new InputStreamReader(process.getInputStream()));
    }

    /** Starts the process again from nothing, after it has ended. */
    void relaunch() throws IOException {
        launch(configurationFile, launchOptions);
    }

    /** Reads the log up to the next line of this kind; the time-out of the test limits the wait. */
    String awaitLogLine(String kind) throws IOException {
        String line = output.readLine();
        while (line != null && !line.contains(" " + kind + ": ")) {
            line = output.readLine();
        }
        assertTrue(line != null, "the process ended without a log line of kind " + kind);
        return line;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The most memory that the process has held so far. */
    long peakMemoryMb() throws IOException {
        String status = Files.readString(Path.of("/proc", Long.toString(process.pid()), "status"));
        Matcher peakKb = PEAK_MEMORY_KB.matcher(status);
        assertTrue(peakKb.find(), status);
        return Long.parseLong(peakKb.group(1)) / 1024;
    }

    /** Reads and drops the log from now on, so that the process never waits for a reader; returns its last lines. */
    Deque<String> followLog(int keptLines) {
        Deque<String> lastLines = new ConcurrentLinkedDeque<>();
        Thread reader = new Thread(() -> output.lines().forEach(line -> {
            lastLines.add(line);
            if (lastLines.size() > keptLines) {
                lastLines.poll();
            }
        }));
        reader.setDaemon(true);
        reader.start();
        return lastLines;
    }

    void signal(String name) throws Exception {
        assertEquals(
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor(),
                0);
    }

    /** Waits until the process has ended, and returns its exit code. */
    int awaitExit() throws InterruptedException {
        assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "the process has not ended");
        return process.exitValue();
    }

    void kill() throws Exception {
        signal("KILL");
        awaitExit();
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
