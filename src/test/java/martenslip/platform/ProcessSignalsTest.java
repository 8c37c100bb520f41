package martenslip.platform;

import static martenslip.platform.PlatformStandIn.event;
import static martenslip.platform.PlatformStandIn.line;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import martenslip.platform.PlatformStandIn.CallerConnection;
import martenslip.platform.PlatformStandIn.ReceivedMessage;
import martenslip.platform.PlatformStandIn.SwitchStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The program as the platform starts it, a process of its own, under real signals. */
public class ProcessSignalsTest {
    private static final String TAG = "9b1f03aa5c7e2d41";
    private PlatformStandIn world;
    private List<SwitchStandIn> machines;
    private PlatformStandIn.JournalStandIn feed;
    private Path file;
    private int port;
    private Process process;
    private BufferedReader said;

    @BeforeMethod
    public void begin() throws Exception {
        world = new PlatformStandIn();
        machines = world.machines(2);
        feed = world.new JournalStandIn();
        feed.tell(list());
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        file = PlatformStandIn.written(configuration(feed));
        start();
    }

    private String list() {
        return event(
                1,
                true,
                line("s-0", machines.get(0).port(), 0, "up"),
                line("s-1", machines.get(1).port(), 1, "up"));
    }

    private String configuration(PlatformStandIn.JournalStandIn from) {
        return PlatformStandIn.configuration(from.port(), list()).replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"");
    }

    private void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "martenslip.cli.Main",
                "serve");
        builder.environment().put("ROUTER_CONFIG", file.toString());
        process = builder.redirectErrorStream(true).start();
        said = new BufferedReader(new InputStreamReader(process.getInputStream()));
    }

    @AfterMethod
    public void end() throws Exception {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        world.close();
    }

    /** Reads its log up to a line of this kind; the time-out of the test ends a wait that is in vain. */
    private String logged(String kind) throws IOException {
        String line = said.readLine();
        while (line != null && !line.contains(" " + kind + ": ")) {
            line = said.readLine();
        }
        assertTrue(line != null, "it ended without a line " + kind);
        return line;
    }

    private void signal(String name) throws Exception {
        assertEquals(
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor(),
                0);
    }

    private CallerConnection caller() throws IOException {
        return world.new CallerConnection(new InetSocketAddress("127.0.0.1", port));
    }

    @Test(timeOut = 60_000)
    public void aReloadFollowedAtOnceByADrainOfTheWholeProcess() throws Exception {
        logged("ready");
        PlatformStandIn.JournalStandIn moved = world.new JournalStandIn();
        moved.tell(list());
        Files.writeString(file, configuration(moved));
        CallerConnection line = caller().invite(TAG, "dear", 3000, "m=audio");
        ReceivedMessage start = machines.get(1).next("START");
        signal("HUP");
        signal("TERM");
        assertEquals(moved.asked(), 1, "what the reload asked for is asked for amid the drain too");
        logged("term");
        start.started("m=audio 1");
        assertTrue(line.next().startsWith("SIP/2.0 200 "));
        line.say(CallerConnection.message("ACK", TAG, "", ""));
        CallerConnection late = caller().invite("9b1f03aa5c7e2d42", "dear", 3000, "m=audio");
        machines.get(1).next("START").started("m=audio 2");
        assertTrue(late.next().startsWith("SIP/2.0 200 "), "still taken right after SIGTERM");
        logged("end");
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(process.exitValue(), 0);
    }

    /** Killed right after it accepted, with set-ups that stand already on their way to it; the next one takes them over. */
    @Test(timeOut = 60_000)
    public void aKillRightAfterAcceptAndTheNextStart() throws Exception {
        logged("ready");
        CallerConnection line = caller();
        line.say(CallerConnection.message("INVITE", TAG, "Routing-Data: at:s-1\r\n", ""));
        signal("KILL");
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        int links = machines.get(1).links.size();
        start();
        logged("ready");
        CallerConnection again = caller();
        again.say(CallerConnection.message("INVITE", TAG, "Routing-Data: at:s-1\r\n", ""));
        again.say("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: t\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n");
        assertTrue(again.next().contains("CSeq: 1 OPTIONS"), "a set-up with at is not answered");
        Socket link = machines.get(1).links.get(links);
        new ReceivedMessage(link, "", TAG, "").finish(16, "");
        String bye = again.next();
        assertTrue(bye.startsWith("BYE ") && bye.contains("cause=16") && bye.contains(TAG), bye);
    }

    /** A SIGTERM before its handler is set ends the process as the system does; one after it ends in good order. */
    @Test(timeOut = 60_000)
    public void aTermBeforeServiceEndsTheProcessToo() throws Exception {
        signal("TERM");
        assertTrue(process.waitFor(20, TimeUnit.SECONDS), "neither ended by the JVM nor by the program");
        start();
        logged("ready");
        signal("HUP");
        logged("reload");
        signal("TERM");
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(process.exitValue(), 0);
    }
}
