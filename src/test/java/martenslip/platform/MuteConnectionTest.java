package martenslip.platform;

import static martenslip.platform.PlatformStandIn.instanceJson;
import static martenslip.platform.PlatformStandIn.switchListEvent;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import martenslip.RoutingPolicy;
import martenslip.platform.PlatformStandIn.CallerConnection;
import martenslip.platform.PlatformStandIn.ReceivedMessage;
import martenslip.platform.PlatformStandIn.SwitchStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * One connection to a switch stays open and brings nothing more, while another one speaks. Guards against contacts that
 * are never released because the switch's release goes there, and set-ups that are sent there for ever.
 */
public class MuteConnectionTest {
    private static final String CALL_ID = "9b1f03aa5c7e2d41";
    /** A release is due 8 s after the end where none could be sent, with 50 ms of slack. */
    private static final int RELEASE_DUE_MS = 8050;
    /** Longer than any silence of a connection that leads to a test or to its close. */
    private static final int OBSERVED_MS = 7000;

    private PlatformStandIn platform;
    private ControllerService service;
    private SwitchStandIn switchStandIn;
    private CallerConnection caller;

    @BeforeMethod
    public void startService() throws IOException {
        platform = new PlatformStandIn();
        List<SwitchStandIn> switches = platform.startSwitches(2);
        switchStandIn = switches.get(1);
        PlatformStandIn.JournalStandIn journal = platform.new JournalStandIn();
        String initialList = switchListEvent(
                1,
                true,
                instanceJson("s-0", switches.get(0).port(), 0, "up"),
                instanceJson("s-1", switchStandIn.port(), 1, "up"));
        Path configurationFile =
                PlatformStandIn.writeTemporary(PlatformStandIn.configuration(journal.port(), initialList));
        journal.addEvent(initialList);
        service = new ControllerService(
                configurationFile, RoutingPolicy::new, new PrintStream(OutputStream.nullOutputStream()));
        service.startServing();
        caller = PlatformStandIn.connectReadyCaller(platform, service);
        caller.socket.setSoTimeout(RELEASE_DUE_MS);
    }

    @AfterMethod
    public void stopService() throws Exception {
        service.close();
        platform.close();
    }

    private ReceivedMessage establish() throws Exception {
        caller.invite(CALL_ID, "dear", 3000, "v=0\r\n");
        ReceivedMessage start = switchStandIn.next("START");
        start.started("m=audio");
        assertTrue(caller.next().endsWith("m=audio"));
        caller.send(CallerConnection.message("ACK", CALL_ID, "", ""));
        return start;
    }

    /** The switch releases the contact on the mute connection, where it is lost, and on the next one opened. */
    private void releaseInVain() {
        switchStandIn.oweRelease(CALL_ID, 16);
    }

    private void assertReleased() throws IOException {
        String release = caller.next();
        assertTrue(release.startsWith("BYE ") && release.contains("Call-ID: " + CALL_ID), release);
    }

    /** review/2: further set-ups go to the mute connection, which is found by the replies that don't come. */
    @Test
    public void aReleaseThatWentToAMuteConnectionIsHeardAndSetUpsAreServedAgain() throws Exception {
        Socket mute = establish().socket();
        switchStandIn.startReporting();
        switchStandIn.muteConnections.add(mute);
        releaseInVain();
        assertReleased();
        caller.acknowledgeRelease(CALL_ID);
        caller.invite("9b1f03aa5c7e2d42", "dear", 3000, "v=0\r\n");
        ReceivedMessage start = switchStandIn.next("START");
        assertFalse(start.socket() == mute, "a set-up was sent on the mute connection");
    }

    /** The state of the group goes on changing, the other connection brings it, and no set-up goes to the switch. */
    @Test
    public void aReleaseThatWentToAMuteConnectionIsHeardWithoutFurtherSetUps() throws Exception {
        ReceivedMessage start = establish();
        switchStandIn.startReporting();
        switchStandIn.muteConnections.add(start.socket());
        releaseInVain();
        assertReleased();
    }

    /** The twin: both connections are sound, the state changes, and the contact stands for long. */
    @Test
    public void soundConnectionsAreKept() throws Exception {
        establish();
        switchStandIn.startReporting();
        List<Socket> before = List.copyOf(switchStandIn.connections);
        caller.socket.setSoTimeout(OBSERVED_MS);
        assertThrows(SocketTimeoutException.class, caller::next);
        assertEquals(switchStandIn.connections, before);
    }

    /** A connection on which the switch has nothing to say passes its tests and is kept. */
    @Test
    public void aQuietConnectionThatPassesItsTestsIsKept() throws Exception {
        ReceivedMessage start = establish();
        Socket quiet = switchStandIn.connections.stream()
                .filter(socket -> socket != start.socket())
                .findFirst()
                .orElseThrow();
        switchStandIn.answersTests = true;
        switchStandIn.startReporting();
        switchStandIn.muteConnections.add(quiet);
        caller.socket.setSoTimeout(OBSERVED_MS);
        assertThrows(SocketTimeoutException.class, caller::next);
        assertTrue(switchStandIn.connections.contains(quiet) && switchStandIn.connections.size() == 2);
        assertEquals(switchStandIn.next("ECHO").socket(), quiet);
    }
}
