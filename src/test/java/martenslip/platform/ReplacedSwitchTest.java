package martenslip.platform;

import static martenslip.platform.PlatformStandIn.instanceJson;
import static martenslip.platform.PlatformStandIn.switchListEvent;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import martenslip.RoutingPolicy;
import martenslip.platform.PlatformStandIn.CallerConnection;
import martenslip.platform.PlatformStandIn.ReceivedMessage;
import martenslip.platform.PlatformStandIn.SwitchStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A switch's process ends and another switch takes its address. Guards against contacts of the old process that are
 * never released because the new process is taken for a sign of life of the old one.
 */
public class ReplacedSwitchTest {
    private static final String CALL_ID = "9b1f03aa5c7e2d41";
    private static final String OTHER_CALL_ID = "9b1f03aa5c7e2d42";
    /** A release is due 8 s after the end where the switch could send none, with 50 ms of slack. */
    private static final int RELEASE_DUE_MS = 8050;

    /** Longer than the silence after which a switch that has left the list is over. */
    private static final int SILENCE_MS = 4500;
    /** As the list gives it for a process that did not start late; such a one is not cold either. */
    private static final long START_UNKNOWN = 0;

    /** Shorter than any silence that is taken for an end. */
    private static final int QUIET_MS = 400;

    private PlatformStandIn platform;
    private List<SwitchStandIn> switches;
    private PlatformStandIn.JournalStandIn journal;
    private GatedSockets sockets;
    private ControllerService service;
    private SwitchStandIn oldSwitch;
    private CallerConnection caller;

    @BeforeMethod
    public void startService() throws IOException {
        platform = new PlatformStandIn();
        switches = platform.startSwitches(3);
        oldSwitch = switches.get(1);
        journal = platform.new JournalStandIn();
        String initialList = PlatformStandIn.initialList(switches);
        Path configurationFile =
                PlatformStandIn.writeTemporary(PlatformStandIn.configuration(journal.port(), initialList));
        journal.addEvent(initialList);
        sockets = new GatedSockets();
        service = new ControllerService(
                configurationFile, RoutingPolicy::new, new PrintStream(OutputStream.nullOutputStream()), sockets);
        service.startServing();
        caller = PlatformStandIn.connectReadyCaller(platform, service);
        caller.socket.setSoTimeout(RELEASE_DUE_MS);
    }

    @AfterMethod
    public void stopService() throws Exception {
        service.close();
        platform.close();
    }

    private ReceivedMessage establish(String callId, SwitchStandIn switchStandIn) throws Exception {
        caller.invite(callId, "dear", 3000, "v=0\r\n");
        ReceivedMessage start = switchStandIn.next("START");
        start.started("m=audio");
        assertTrue(caller.next().endsWith("m=audio"));
        caller.send(CallerConnection.message("ACK", callId, "", ""));
        return start;
    }

    private void tell(long position, String... instances) throws InterruptedException {
        journal.addEvent(switchListEvent(position, false, instances));
        PlatformStandIn.awaitCondition(service, () -> service.journalPosition() == position);
    }

    private String oldInstance(String state) {
        return instanceJson("s-1", oldSwitch.port(), 1, state);
    }

    private String newInstance(long startedAtMs) {
        return instanceJson("s-9", oldSwitch.port(), 1, "up", startedAtMs);
    }

    private static void awaitConnections(SwitchStandIn switchStandIn, int count) throws InterruptedException {
        for (int i = 0; i < 1000 && switchStandIn.connections.size() < count; i++) {
            Thread.sleep(5);
        }
        assertEquals(switchStandIn.connections.size(), count, "connections of the controller to this switch");
    }

    /** Stops the old process; the next one listens before the controller connects again, so nothing is refused. */
    private SwitchStandIn replaceWithoutRefusal() throws IOException {
        oldSwitch.stopListening();
        SwitchStandIn newSwitch = platform.startSwitchAtAddressOf(oldSwitch);
        oldSwitch.resetConnections();
        return newSwitch;
    }

    private static String finishLine(String callId) {
        return "{\"verb\":\"FINISH\",\"tag\":\"" + callId + "\",\"opts\":{},\"rc\":16}\n";
    }

    private void assertReleased(String callId) throws IOException {
        String release = caller.next();
        assertTrue(release.startsWith("BYE ") && release.contains("Call-ID: " + callId), release);
        assertTrue(release.contains("cause=41"), release);
        caller.acknowledgeRelease(callId);
    }

    private void assertNothingArrives() throws IOException {
        caller.socket.setSoTimeout(QUIET_MS);
        assertThrows(SocketTimeoutException.class, caller::next);
        caller.socket.setSoTimeout(RELEASE_DUE_MS);
    }

    @DataProvider
    public Object[][] statesOfTheOldSwitch() {
        return new Object[][] {{"up"}, {"draining"}};
    }

    /** review/1 without a pause between the processes: resets alone prove nothing, the list does. */
    @Test(dataProvider = "statesOfTheOldSwitch")
    public void contactsAreReleasedWhenTheListNamesANewSwitchAtTheAddress(String state) throws Exception {
        establish(CALL_ID, oldSwitch);
        tell(2, oldInstance(state));
        awaitConnections(replaceWithoutRefusal(), 2);
        tell(3, oldInstance("removed"), newInstance(System.currentTimeMillis()));
        assertReleased(CALL_ID);
    }

    @Test(dataProvider = "statesOfTheOldSwitch")
    public void contactsAreReleasedWhenTheNewSwitchIsListedBeforeTheOldOneLeaves(String state) throws Exception {
        establish(CALL_ID, oldSwitch);
        tell(2, oldInstance(state));
        SwitchStandIn newSwitch = replaceWithoutRefusal();
        awaitConnections(newSwitch, 2);
        tell(3, newInstance(START_UNKNOWN));
        assertReleased(CALL_ID);
        tell(4, oldInstance("removed"));
        establish(OTHER_CALL_ID, newSwitch);
    }

    @Test
    public void contactsAreReleasedWhenTheNewSwitchIsListedAfterTheOldOneHasLeft() throws Exception {
        establish(CALL_ID, oldSwitch);
        awaitConnections(replaceWithoutRefusal(), 2);
        tell(2, oldInstance("removed"));
        tell(3, newInstance(System.currentTimeMillis()));
        assertReleased(CALL_ID);
    }

    /** review/1: a refusal, then an accepted connection, is another process, before any list tells of it. */
    @Test
    public void contactsOfADrainingSwitchAreReleasedWhenItsAddressRefusedAndThenAccepts() throws Exception {
        establish(CALL_ID, oldSwitch);
        tell(2, oldInstance("draining"));
        int socketsBefore = sockets.createdCount.get();
        oldSwitch.stop();
        // Two connections are lost and two attempts are refused before further ones are made.
        for (int i = 0; i < 1000 && sockets.createdCount.get() < socketsBefore + 4; i++) {
            Thread.sleep(5);
        }
        platform.startSwitchAtAddressOf(oldSwitch);
        assertReleased(CALL_ID);
    }

    @Test
    public void aContactNamedAtASwitchWhoseAddressIsTakenIsReleased() throws Exception {
        awaitConnections(replaceWithoutRefusal(), 2);
        tell(2, newInstance(System.currentTimeMillis()));
        caller.send(CallerConnection.message(
                "INVITE",
                CALL_ID,
                "Call-Kind: dear\r\nAnswer-Within: 3000\r\nRouting-Data: dest:1;width:1;via:-1;at:s-1\r\n",
                ""));
        assertReleased(CALL_ID);
    }

    @Test
    public void aContactNamedBeforeTheAddressIsTakenIsReleased() throws Exception {
        awaitConnections(replaceWithoutRefusal(), 2);
        long startedAtMs = System.currentTimeMillis();
        caller.send(CallerConnection.message(
                "INVITE",
                CALL_ID,
                "Call-Kind: dear\r\nAnswer-Within: 3000\r\nRouting-Data: dest:1;width:1;via:-1;at:s-1\r\n",
                ""));
        assertNothingArrives();
        tell(2, newInstance(startedAtMs));
        assertReleased(CALL_ID);
    }

    /** The new process has answered set-ups before the list tells of it; those contacts live. */
    @Test
    public void contactsOfTheNewProcessAreKeptWhenTheListNamesIt() throws Exception {
        establish(CALL_ID, oldSwitch);
        // The list tells the start in milliseconds: the old switch's answer has to lie before that.
        for (long answeredAtMs = System.currentTimeMillis(); System.currentTimeMillis() < answeredAtMs + 2; ) {
            Thread.onSpinWait();
        }
        SwitchStandIn newSwitch = replaceWithoutRefusal();
        long startedAtMs = System.currentTimeMillis();
        awaitConnections(newSwitch, 2);
        establish(OTHER_CALL_ID, newSwitch);
        tell(2, oldInstance("removed"), newInstance(startedAtMs));
        assertReleased(CALL_ID);
        assertNothingArrives();
        newSwitch.sendOnOpenConnection(finishLine(OTHER_CALL_ID));
        String release = caller.next();
        assertTrue(release.contains("Call-ID: " + OTHER_CALL_ID) && release.contains("cause=16"), release);
    }

    /**
     * Guards against review/7: the connections that reach the new process under the old id were closed with the releases that
     * were on their way on them.
     */
    @Test
    public void aReleaseOnItsWayWhenTheListNamesTheNewSwitchIsPassedOn() throws Exception {
        SwitchStandIn newSwitch = replaceWithoutRefusal();
        long startedAtMs = System.currentTimeMillis();
        awaitConnections(newSwitch, 2);
        ReceivedMessage start = establish(OTHER_CALL_ID, newSwitch);
        newSwitch.linesAtEnd.put(start.socket(), finishLine(OTHER_CALL_ID));
        tell(2, oldInstance("removed"), newInstance(startedAtMs));
        String release = caller.next();
        assertTrue(release.contains("Call-ID: " + OTHER_CALL_ID) && release.contains("cause=16"), release);
    }

    /** Silence of a state that doesn't change, and a reset of the connections, cut nothing at the new process. */
    @Test
    public void contactsOfTheNewProcessOutliveSilenceAndAResetOfItsConnections() throws Exception {
        SwitchStandIn newSwitch = replaceWithoutRefusal();
        newSwitch.stopReporting();
        long startedAtMs = System.currentTimeMillis();
        awaitConnections(newSwitch, 2);
        establish(OTHER_CALL_ID, newSwitch);
        tell(2, oldInstance("removed"), newInstance(startedAtMs));
        awaitConnections(newSwitch, 4);
        newSwitch.resetConnections();
        awaitConnections(newSwitch, 6);
        caller.socket.setSoTimeout(SILENCE_MS);
        assertThrows(SocketTimeoutException.class, caller::next);
        newSwitch.sendOnOpenConnection(finishLine(OTHER_CALL_ID));
        String release = caller.next();
        assertTrue(release.contains("Call-ID: " + OTHER_CALL_ID) && release.contains("cause=16"), release);
    }

    /** Guards against report 9d16c4, picture (a): an id listed at another address was still sought at the old one. */
    @Test
    public void anIdThatIsListedAtAnotherAddressIsAnotherProcess() throws Exception {
        establish(CALL_ID, oldSwitch);
        SwitchStandIn movedSwitch = platform.startSwitches(1).get(0);
        tell(2, instanceJson("s-1", movedSwitch.port(), 1, "up", START_UNKNOWN));
        awaitConnections(movedSwitch, 2);
        PlatformStandIn.awaitCondition(service, service::allGroupStatesReported);
        establish(OTHER_CALL_ID, movedSwitch);
        oldSwitch.stop();
        assertReleased(CALL_ID);
        assertNothingArrives();
    }

    /** The twin of review/1: a reset of every connection is no proof that the process has ended. */
    @Test(dataProvider = "statesOfTheOldSwitch")
    public void contactsOutliveAResetOfAllConnections(String state) throws Exception {
        establish(CALL_ID, oldSwitch);
        tell(2, oldInstance(state));
        oldSwitch.resetConnections();
        awaitConnections(oldSwitch, 4);
        assertNothingArrives();
    }
}
