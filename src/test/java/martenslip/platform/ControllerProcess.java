package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The program as the platform starts it, in a process of its own that can be signalled, killed and started again. */
final class ControllerProcess implements AutoCloseable {
    private static final int EXIT_TIMEOUT_SECONDS = 20;

    private final int port;
    private Path configurationFile;
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
        this.configurationFile = configurationFile;
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "martenslip.cli.Main",
                "serve");
        builder.environment().put("ROUTER_CONFIG", configurationFile.toString());
        process = builder.redirectErrorStream(true).start();
        output = new BufferedReader(new InputStreamReader(process.getInputStream()));
    }

    /** Starts the process again from nothing, after it has ended. */
    void relaunch() throws IOException {
        launch(configurationFile);
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
