package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import martenslip.platform.PlatformStandIn.CallerConnection;
import martenslip.platform.PlatformStandIn.ReceivedMessage;
import martenslip.platform.PlatformStandIn.SwitchStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The program as the platform starts it, in a process of its own, under real signals. */
public class ProcessSignalsTest {
    private static final String CALL_ID = "9b1f03aa5c7e2d41";
    /** A release is due within 1 s, with 50 ms of slack (protocol page, the rules on sockets). */
    private static final int MAX_RELEASE_MS = 1050;

    private PlatformStandIn platform;
    private List<SwitchStandIn> switches;
    private PlatformStandIn.JournalStandIn journal;
    private Path configurationFile;
    private ControllerProcess process;

    @BeforeMethod
    public void startProcess() throws Exception {
        platform = new PlatformStandIn();
        switches = platform.startSwitches(2);
        journal = platform.new JournalStandIn();
        journal.addEvent(initialSwitchList());
        process = new ControllerProcess();
        configurationFile = PlatformStandIn.writeTemporary(configuration(journal));
        process.launch(configurationFile);
    }

    private String initialSwitchList() {
        return PlatformStandIn.initialList(switches);
    }

    private String configuration(PlatformStandIn.JournalStandIn journal) {
        return process.configured(PlatformStandIn.configuration(journal.port(), initialSwitchList()));
    }

    @AfterMethod
    public void stopProcess() throws Exception {
        process.close();
        platform.close();
    }

    private CallerConnection connectCaller() throws IOException {
        return platform.new CallerConnection(process.listenAddress());
    }

    @Test(timeOut = 60_000)
    public void aReloadFollowedAtOnceByShutdown() throws Exception {
        process.awaitLogLine("ready");
        PlatformStandIn.JournalStandIn newJournal = platform.new JournalStandIn();
        newJournal.addEvent(initialSwitchList());
        Files.writeString(configurationFile, configuration(newJournal));
        CallerConnection connection = connectCaller().invite(CALL_ID, "dear", 3000, "m=audio");
        ReceivedMessage start = switches.get(1).next("START");
        process.signal("HUP");
        process.signal("TERM");
        assertEquals(
                newJournal.nextRequestedPosition(),
                1,
                "the journal of the reload is requested during the shutdown too");
        process.awaitLogLine("term");
        start.started("m=audio 1");
        assertTrue(connection.next().startsWith("SIP/2.0 200 "));
        connection.send(CallerConnection.message("ACK", CALL_ID, "", ""));
        CallerConnection lateConnection = connectCaller().invite("9b1f03aa5c7e2d42", "dear", 3000, "m=audio");
        switches.get(1).next("START").started("m=audio 2");
        assertTrue(lateConnection.next().startsWith("SIP/2.0 200 "), "set-ups are still accepted right after SIGTERM");
        process.awaitLogLine("end");
        assertEquals(process.awaitExit(), 0);
    }

    /**
     * A controller is killed right after it accepted a connection, with set-ups of established contacts on their way to
     * it; the next one takes them over.
     */
    @Test(timeOut = 60_000)
    public void contactsAreTakenOverAfterAKillRightAfterAccept() throws Exception {
        process.awaitLogLine("ready");
        CallerConnection connection = connectCaller();
        connection.send(CallerConnection.message("INVITE", CALL_ID, "Routing-Data: at:s-1\r\n", ""));
        process.kill();
        int connectionCount = switches.get(1).connections.size();
        process.relaunch();
        process.awaitLogLine("ready");
        CallerConnection newConnection = connectCaller();
        newConnection.send(CallerConnection.message("INVITE", CALL_ID, "Routing-Data: at:s-1\r\n", ""));
        newConnection.send(
                "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: t\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n");
        assertTrue(
                newConnection.next().contains("CSeq: 1 OPTIONS"),
                "the set-up of an established contact is not answered");
        Socket socket = switches.get(1).connections.get(connectionCount);
        new ReceivedMessage(socket, "", CALL_ID, "").finish(16, "");
        String bye = newConnection.next();
        assertTrue(bye.startsWith("BYE ") && bye.contains("cause=16") && bye.contains(CALL_ID), bye);
    }

    private CallerConnection establishThroughTheProcess() throws Exception {
        process.awaitLogLine("ready");
        CallerConnection connection = connectCaller().invite(CALL_ID, "dear", 3000, "m=audio");
        switches.get(1).next("START").started("m=audio 1");
        assertTrue(connection.next().startsWith("SIP/2.0 200 "));
        connection.send(CallerConnection.message("ACK", CALL_ID, "", ""));
        return connection;
    }

    private void killAndLaunch() throws Exception {
        process.kill();
        process.relaunch();
        process.awaitLogLine("ready");
    }

    /**
     * With deadlines of 0.5 s the kill may come 1.2 s after SIGTERM. The switches hang and the caller goes on sending on
     * its open connection: the process has to answer all and to end before the kill.
     */
    @Test(timeOut = 60_000)
    public void withShortDeadlinesAllIsAnsweredAndTheProcessEndsBeforeTheKill() throws Exception {
        process.close();
        Files.writeString(
                configurationFile,
                configuration(journal).replace("\"hard-limit-ns\":9000000000", "\"hard-limit-ns\":500000000"));
        process.relaunch();
        process.awaitLogLine("ready");
        CallerConnection connection = connectCaller();
        SetUpStream setUps = new SetUpStream(connection);
        setUps.sendFor(300);
        process.signal("TERM");
        long sigtermNs = System.nanoTime();
        setUps.sendFor(5000);
        int exitCode = process.awaitExit();
        long endMs = (System.nanoTime() - sigtermNs) / 1_000_000;
        assertTrue(endMs < 1200, "the process ended " + endMs + " ms after SIGTERM");
        assertEquals(exitCode, 0);
        assertEquals(
                setUps.unansweredBefore(50), List.of(), "set-ups without an answer, those crossing the close aside");
        assertTrue(setUps.answeredCount() > 50, "answered: " + setUps.answeredCount());
    }

    /** Sends set-ups on one connection, one each 10 ms until it ends, while a thread reads the answers. */
    private static final class SetUpStream {
        private final CallerConnection connection;
        private final Map<String, Long> sentNsById = new ConcurrentHashMap<>();
        private final Set<String> answeredIds = ConcurrentHashMap.newKeySet();
        private final Thread reader = new Thread(this::readAnswers, "answers");
        private volatile long endedNs;

        SetUpStream(CallerConnection connection) {
            this.connection = connection;
            reader.start();
        }

        private void readAnswers() {
            try {
                for (String answer = connection.next(); answer != null; answer = connection.next()) {
                    String id =
                            answer.substring(answer.indexOf("Call-ID: ") + 9).substring(0, 16);
                    if (answer.startsWith("SIP/2.0 ") && !answeredIds.add(id)) {
                        throw new AssertionError("a second answer for " + id);
                    }
                }
            } catch (IOException e) {
                // The connection has ended.
            } finally {
                endedNs = System.nanoTime();
            }
        }

        void sendFor(long durationMs) throws Exception {
            long beganNs = System.nanoTime();
            for (int i = 0; endedNs == 0 && System.nanoTime() - beganNs < durationMs * 1_000_000; i++) {
                String id = String.format("%016x", sentNsById.size() + 1);
                sentNsById.put(id, System.nanoTime());
                try {
                    connection.invite(id, "dear", 400, "m=audio");
                } catch (IOException e) {
                    break;
                }
                reader.join(10);
            }
        }

        int answeredCount() {
            return answeredIds.size();
        }

        /** The set-ups that were sent this long before the connection ended and got no answer. */
        List<String> unansweredBefore(long marginMs) throws InterruptedException {
            reader.join();
            return sentNsById.entrySet().stream()
                    .filter(sent -> endedNs - sent.getValue() > marginMs * 1_000_000)
                    .map(Map.Entry::getKey)
                    .filter(id -> !answeredIds.contains(id))
                    .toList();
        }
    }

    /** Guards against report 038161: a release read before its contact is named must not be lost. */
    @Test(timeOut = 60_000)
    public void aReleaseReadBeforeItsContactIsNamedReachesTheCaller() throws Exception {
        establishThroughTheProcess();
        switches.get(1).oweRelease(CALL_ID, 16);
        killAndLaunch();
        CallerConnection newConnection = connectCaller();
        newConnection.socket.setSoTimeout(MAX_RELEASE_MS);
        newConnection.send(CallerConnection.message("INVITE", CALL_ID, "Routing-Data: at:s-1\r\n", ""));
        String bye = newConnection.next();
        assertTrue(bye.startsWith("BYE ") && bye.contains("cause=16") && bye.contains(CALL_ID), bye);
    }

    /** A caller's BYE overtakes its own naming of the contact on another connection: the switch must hear of it. */
    @Test(timeOut = 60_000)
    public void aByeThatOvertakesTheNamingOfItsContactReachesTheSwitch() throws Exception {
        establishThroughTheProcess();
        killAndLaunch();
        CallerConnection byeConnection = connectCaller();
        byeConnection.send(CallerConnection.message("BYE", CALL_ID, "Reason: Q.850;cause=16\r\n", ""));
        assertTrue(byeConnection.next().startsWith("SIP/2.0 "), "the BYE has been handled");
        connectCaller().send(CallerConnection.message("INVITE", CALL_ID, "Routing-Data: at:s-1\r\n", ""));
        assertEquals(switches.get(1).next("FINISH").tag(), CALL_ID);
    }

    /**
     * A SIGTERM before the program has set its handler ends the process through the JVM's default; a later one shuts it
     * down in good order.
     */
    @Test(timeOut = 60_000)
    public void aTermBeforeServiceEndsTheProcess() throws Exception {
        process.signal("TERM");
        process.awaitExit();
        process.relaunch();
        process.awaitLogLine("ready");
        process.signal("HUP");
        process.awaitLogLine("reload");
        process.signal("TERM");
        assertEquals(process.awaitExit(), 0);
    }
}
