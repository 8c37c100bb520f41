package martenslip.platform;

import static martenslip.platform.PlatformStandIn.instanceJson;
import static martenslip.platform.PlatformStandIn.switchListEvent;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import martenslip.RoutingPolicy;
import martenslip.platform.PlatformStandIn.CallerConnection;
import martenslip.platform.PlatformStandIn.ReceivedMessage;
import martenslip.platform.PlatformStandIn.SwitchStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Races over loopback: a START or FINISH is held at a gate, and another event comes before it is written. */
public class WriteRaceTest {
    private static final String CALL_ID = "9b1f03aa5c7e2d41";
    private static final String OTHER_CALL_ID = "9b1f03aa5c7e2d42";
    private static final String LAST_CALL_ID = "9b1f03aa5c7e2d43";
    private final GatedSockets sockets = new GatedSockets();
    private PlatformStandIn platform;
    private List<SwitchStandIn> switches;
    private PlatformStandIn.JournalStandIn journal;
    private ControllerService service;

    @BeforeMethod
    public void startService() throws IOException {
        sockets.openAll();
        platform = new PlatformStandIn();
        switches = platform.startSwitches(2);
        journal = platform.new JournalStandIn();
        String list = PlatformStandIn.initialList(switches);
        journal.addEvent(list);
        service = new ControllerService(
                PlatformStandIn.writeTemporary(PlatformStandIn.configuration(journal.port(), list)),
                RoutingPolicy::new,
                new PrintStream(OutputStream.nullOutputStream()),
                sockets);
        service.startServing();
    }

    @AfterMethod
    public void stopService() throws Exception {
        sockets.openAll();
        service.close();
        platform.close();
    }

    /** How a caller ends its set-up. */
    enum CallerExit {
        CANCEL,
        BYE,
        CLOSE,
        RESET
    }

    @DataProvider
    public Object[][] callerExits() {
        return new Object[][] {{CallerExit.CANCEL}, {CallerExit.BYE}, {CallerExit.CLOSE}, {CallerExit.RESET}};
    }

    private void endSetUp(CallerConnection connection, CallerExit callerExit) throws IOException {
        switch (callerExit) {
            case CANCEL, BYE -> {
                connection.send(CallerConnection.message(callerExit.name(), CALL_ID, "", ""));
                assertTrue(connection.next().contains(" 200 "));
                assertTrue(connection.next().contains(" 487 "));
            }
            case CLOSE -> connection.socket.close();
            case RESET -> {
                connection.socket.setSoLinger(true, 0);
                connection.socket.close();
            }
        }
    }

    /** Waits until the controller has no open contact, so that the event that ended it has been handled. */
    private void awaitNoOpenContact() throws Exception {
        PlatformStandIn.awaitCondition(service, () -> service.openContactCount() == 0);
    }

    /**
     * Checks that the next START is for this new contact. On one connection messages are read in order, so anything
     * queued earlier would be read first.
     */
    private void assertNextStartIs(String callId) throws Exception {
        CallerConnection otherConnection = platform.new CallerConnection(service.listenAddress());
        otherConnection.invite(callId, "dear", 3000, "m=audio");
        ReceivedMessage firstStart = switches.get(1).receivedMessages.poll(10, java.util.concurrent.TimeUnit.SECONDS);
        assertTrue(firstStart != null, "no START was received");
        assertEquals(
                firstStart.verb() + " " + firstStart.tag(),
                "START " + callId,
                "a message was sent for a caller who has gone");
        firstStart.started("m=audio 1");
        assertTrue(otherConnection.next().startsWith("SIP/2.0 200 "));
    }

    /**
     * Sends a set-up whose START waits to be written. The writer is held by the START of another contact, which has
     * begun to be written and is an ordinary attempt; returns the connection of that contact's caller.
     */
    private CallerConnection queueBehindAHeldWriter(CallerConnection connection) throws Exception {
        CallerConnection firstConnection = platform.new CallerConnection(service.listenAddress());
        sockets.write.close();
        firstConnection.invite(OTHER_CALL_ID, "dear", 3000, "m=audio");
        sockets.write.awaitWaiting(1);
        connection.invite(CALL_ID, "dear", 3000, "m=audio");
        PlatformStandIn.awaitCondition(service, () -> service.openContactCount() == 2);
        return firstConnection;
    }

    @Test(dataProvider = "callerExits")
    public void noStartIsWrittenForACallerWhoLeftWhileTheWriterWasHeld(CallerExit callerExit) throws Exception {
        CallerConnection connection = PlatformStandIn.connectReadyCaller(platform, service);
        CallerConnection firstConnection = queueBehindAHeldWriter(connection);
        endSetUp(connection, callerExit);
        PlatformStandIn.awaitCondition(service, () -> service.openContactCount() == 1);
        sockets.write.open();
        ReceivedMessage firstStart = switches.get(1).next("START");
        assertEquals(firstStart.tag(), OTHER_CALL_ID);
        firstStart.started("m=audio 0");
        assertTrue(firstConnection.next().startsWith("SIP/2.0 200 "));
        assertNextStartIs(LAST_CALL_ID);
    }

    @Test(dataProvider = "callerExits")
    public void noStartIsWrittenForACallerWhoLeftBeforeTheConnectionCameUp(CallerExit callerExit) throws Exception {
        CallerConnection connection = PlatformStandIn.connectReadyCaller(platform, service);
        PlatformStandIn.awaitCondition(
                service, () -> switches.get(1).connections.size() == 2);
        sockets.connect.close();
        int createdBefore = sockets.createdCount.get();
        for (java.net.Socket socket : switches.get(1).connections) {
            socket.close();
        }
        // The controller opens its two connections to the switch again, and both wait at the gate.
        sockets.connect.awaitWaiting(1);
        PlatformStandIn.awaitCondition(service, () -> sockets.createdCount.get() >= createdBefore + 2);
        connection.invite(CALL_ID, "dear", 3000, "m=audio");
        PlatformStandIn.awaitCondition(service, () -> service.openContactCount() == 1);
        endSetUp(connection, callerExit);
        awaitNoOpenContact();
        sockets.connect.open();
        PlatformStandIn.connectReadyCaller(platform, service);
        assertNextStartIs(LAST_CALL_ID);
    }

    /**
     * While the writer is held the caller's time passes: the remaining time is taken when the START is written, and
     * where none is left there is no START.
     */
    @Test
    public void theRemainingTimeIsExactWhenItIsWritten() throws Exception {
        PlatformStandIn.connectReadyCaller(platform, service);
        CallerConnection firstConnection = platform.new CallerConnection(service.listenAddress());
        sockets.write.close();
        firstConnection.invite(OTHER_CALL_ID, "dear", 3000, "m=audio");
        sockets.write.awaitWaiting(1);
        long queuedNs = System.nanoTime();
        CallerConnection secondConnection =
                platform.new CallerConnection(service.listenAddress()).invite(CALL_ID, "dear", 3000, "m=audio");
        CallerConnection thirdConnection =
                platform.new CallerConnection(service.listenAddress()).invite(LAST_CALL_ID, "dear", 300, "m=audio");
        assertTrue(thirdConnection.next().startsWith("SIP/2.0 50"), "the caller's time is over");
        long heldMs = (System.nanoTime() - queuedNs) / 1_000_000;
        sockets.write.open();
        assertEquals(switches.get(1).next("START").tag(), OTHER_CALL_ID);
        ReceivedMessage start = switches.get(1).next("START");
        assertEquals(start.tag(), CALL_ID);
        assertTrue(start.remainingMs() <= 3000 - heldMs + 1, start.remainingMs() + " ms left after " + heldMs);
        start.started("m=audio 2");
        assertTrue(secondConnection.next().startsWith("SIP/2.0 200 "));
        assertTrue(switches.get(1).receivedMessages.isEmpty(), "a START was sent after its deadline");
    }

    /** The switch drains while a START waits to be written: the START is not sent, and the caller is answered. */
    @Test
    public void aSwitchThatDrainsMeanwhileGetsNoNewContacts() throws Exception {
        CallerConnection connection = PlatformStandIn.connectReadyCaller(platform, service);
        CallerConnection firstConnection = queueBehindAHeldWriter(connection);
        journal.addEvent(
                switchListEvent(2, false, instanceJson("s-1", switches.get(1).port(), 1, "draining")));
        PlatformStandIn.awaitCondition(service, () -> service.journalPosition() == 2);
        sockets.write.open();
        assertTrue(connection.next().startsWith("SIP/2.0 503 "), "no other switch can take the contact");
        switches.get(1).next("START").started("m=audio 3");
        assertTrue(firstConnection.next().startsWith("SIP/2.0 200 "));
        assertTrue(switches.get(1).receivedMessages.stream()
                .noneMatch(start -> start.tag().equals(CALL_ID)));
    }

    /** Waits until this many connections to the switch have been opened and the groups' states are reported. */
    private void awaitConnections(SwitchStandIn switchStandIn, int connectionCount) throws Exception {
        PlatformStandIn.awaitCondition(
                service, () -> switchStandIn.connections.size() >= connectionCount && service.allGroupStatesReported());
    }

    /** Establishes a contact, which its switch then releases; both sides acknowledge the release. */
    private static void endContact(CallerConnection connection, SwitchStandIn switchStandIn, String callId)
            throws Exception {
        connection.invite(callId, "dear", 3000, "m=audio");
        ReceivedMessage start = switchStandIn.next("START");
        start.started("m=audio 9");
        assertTrue(connection.next().startsWith("SIP/2.0 200 "));
        connection.send(CallerConnection.message("ACK", callId, "", ""));
        start.finish(16, "");
        assertTrue(connection.next().startsWith("BYE "));
        connection.acknowledgeRelease(callId);
        switchStandIn.next("FINISHED");
    }

    /**
     * The FINISH of a first attempt is resent on a further connection until the switch acknowledges it. Resent during a
     * second attempt, which has the same id, it would end that one.
     */
    @Test
    public void theFinishOfOneAttemptIsNotResentDuringTheNext() throws Exception {
        CallerConnection connection = PlatformStandIn.connectReadyCaller(platform, service);
        SwitchStandIn switchStandIn = switches.get(1);
        awaitConnections(switchStandIn, 2);
        endContact(connection, switchStandIn, OTHER_CALL_ID);
        connection.invite(CALL_ID, "dear", 3000, "m=audio");
        ReceivedMessage firstStart = switchStandIn.next("START");
        // The answer has no description: the attempt is cancelled, and the contact rings again after the release time.
        firstStart.reply("{\"verb\":\"STARTED\",\"tag\":\"" + CALL_ID + "\",\"opts\":{}}");
        assertEquals(switchStandIn.next("FINISH").tag(), CALL_ID);
        ReceivedMessage secondStart = switchStandIn.next("START");
        assertEquals(secondStart.tag(), CALL_ID);
        switchStandIn.connections.stream()
                .filter(socket -> socket != secondStart.socket())
                .findFirst()
                .orElseThrow()
                .close();
        awaitConnections(switchStandIn, 3);
        // The release of a contact that ended before is acknowledged at once: its FINISHED comes after everything the
        // controller sends there unasked.
        new ReceivedMessage(switchStandIn.connections.get(2), "", OTHER_CALL_ID, "").finish(16, "");
        for (ReceivedMessage received = switchStandIn.receivedMessages.poll(10, java.util.concurrent.TimeUnit.SECONDS);
                ; ) {
            assertTrue(received != null, "nothing was received on the new connection");
            assertTrue(
                    !(received.verb().equals("FINISH") && received.tag().equals(CALL_ID)),
                    "the second attempt was ended");
            if (received.verb().equals("FINISHED")) {
                break;
            }
            received = switchStandIn.receivedMessages.poll(10, java.util.concurrent.TimeUnit.SECONDS);
        }
        secondStart.started("m=audio 1");
        assertTrue(connection.next().startsWith("SIP/2.0 200 "));
    }

    /**
     * One connection of a switch is silent while another one carries messages: only the contact on the silent one is
     * affected.
     */
    @Test
    public void aSilentConnectionCostsOnlyItsOwnContact() throws Exception {
        CallerConnection connection = PlatformStandIn.connectReadyCaller(platform, service);
        SwitchStandIn switchStandIn = switches.get(1);
        awaitConnections(switchStandIn, 2);
        CallerConnection silentConnection =
                platform.new CallerConnection(service.listenAddress()).invite(CALL_ID, "dear", 400, "m=audio");
        ReceivedMessage lostStart = switchStandIn.next("START");
        for (java.net.Socket socket : switchStandIn.connections) {
            if (socket != lostStart.socket()) {
                socket.getOutputStream()
                        .write("{\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{\"load\":\"x0:9;x1:9\"}}\n"
                                .getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            }
        }
        assertTrue(silentConnection.next().startsWith("SIP/2.0 50"), "answered in time");
        assertEquals(switchStandIn.next("FINISH").tag(), CALL_ID, "a START that was written is cancelled by a FINISH");
        connection.invite(LAST_CALL_ID, "dear", 3000, "m=audio");
        switchStandIn.next("START").started("m=audio 1");
        assertTrue(connection.next().startsWith("SIP/2.0 200 "));
    }
}
