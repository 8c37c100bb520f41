package martenslip.platform;

import static martenslip.platform.PlatformStandIn.instanceJson;
import static martenslip.platform.PlatformStandIn.switchListEvent;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import martenslip.platform.PlatformStandIn.CallerConnection;
import martenslip.platform.PlatformStandIn.SwitchStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against report 9d16c4, with the program in a process of its own: calls that a switch's old process answered
 * after its successor had started were taken for the successor's and never released.
 */
public class ReplacedProcessTest {
    /** A release is due 8 s after the end where the switch could send none, with 50 ms of slack. */
    private static final int RELEASE_DUE_MS = 8050;
    /** Between an answer and the successor's start, which the list tells in milliseconds. */
    private static final int START_DISTANCE_MS = 20;
    /** From the end of the old process until the list tells of it, as in the report. */
    private static final int NOTICE_MS = 500;
    /** By how much the list may date a start too late, as its own trials have it. */
    private static final int LATE_START_MS = 300;
    /** Longer than what a release that is decided at the event could take. */
    private static final int QUIET_MS = 2500;

    /** How the old process's end shows on its connections. */
    private enum ProcessEnd {
        /** The process dies: its connections are reset. */
        RESET,
        /** The machine disappears: its connections stay open without traffic. */
        SILENCE
    }

    private PlatformStandIn platform;
    private List<SwitchStandIn> switches;
    private SwitchStandIn oldSwitch;
    private PlatformStandIn.JournalStandIn journal;
    private ControllerProcess process;
    private CallerConnection caller;
    private int callCount;

    @BeforeMethod
    public void startProcess() throws Exception {
        platform = new PlatformStandIn();
        switches = platform.startSwitches(3);
        oldSwitch = switches.get(1);
        oldSwitch.answersTests = true;
        journal = platform.new JournalStandIn();
        String initialList = PlatformStandIn.initialList(switches);
        journal.addEvent(initialList);
        process = new ControllerProcess();
        process.launch(PlatformStandIn.writeTemporary(
                process.configured(PlatformStandIn.configuration(journal.port(), initialList))));
        process.awaitLogLine("ready");
        caller = platform.new CallerConnection(process.listenAddress());
        callCount = 0;
    }

    @AfterMethod
    public void stopProcess() throws Exception {
        process.close();
        platform.close();
    }

    private String establish(SwitchStandIn switchStandIn) throws Exception {
        String callId = String.format("%016x", ++callCount);
        caller.invite(callId, "dear", 3000, "v=0\r\n");
        switchStandIn.next("START").started("m=audio");
        assertTrue(caller.next().endsWith("m=audio"), "the call stands");
        caller.send(CallerConnection.message("ACK", callId, "", ""));
        return callId;
    }

    /** The old process ends and another one listens at its address before the controller connects again. */
    private SwitchStandIn replace(ProcessEnd end) throws Exception {
        oldSwitch.stopListening();
        SwitchStandIn newSwitch = platform.startSwitchAtAddressOf(oldSwitch);
        if (end == ProcessEnd.RESET) {
            oldSwitch.resetConnections();
        } else {
            oldSwitch.fallSilent();
        }
        return newSwitch;
    }

    private void tellReplacement(String newId, long startedAtMs) {
        String newInstance = instanceJson(newId, oldSwitch.port(), 1, "up", startedAtMs);
        journal.addEvent(
                newId.equals("s-1")
                        ? switchListEvent(2, false, newInstance)
                        : switchListEvent(2, false, instanceJson("s-1", oldSwitch.port(), 1, "removed"), newInstance));
    }

    /** Reads releases until each of these calls has one, and fails at the time at which they are due. */
    private void assertReleased(Set<String> callIds, long endedNs) throws Exception {
        Set<String> missing = new TreeSet<>(callIds);
        while (!missing.isEmpty()) {
            long remainingMs = RELEASE_DUE_MS - (System.nanoTime() - endedNs) / 1_000_000;
            caller.socket.setSoTimeout((int) Math.max(1, remainingMs));
            String release;
            try {
                release = caller.next();
            } catch (SocketTimeoutException e) {
                throw new AssertionError("never released: " + missing, e);
            }
            assertTrue(release.startsWith("BYE "), release);
            String callId =
                    callIds.stream().filter(release::contains).findFirst().orElseThrow();
            caller.acknowledgeRelease(callId);
            missing.remove(callId);
        }
    }

    @DataProvider
    public Object[][] replacements() {
        return new Object[][] {
            {ProcessEnd.RESET, "s-9"},
            {ProcessEnd.SILENCE, "s-9"},
            {ProcessEnd.RESET, "s-1"},
            {ProcessEnd.SILENCE, "s-1"}
        };
    }

    /** The picture of the report; {@code newId} is that of the old process for a restart. */
    @Test(dataProvider = "replacements", timeOut = 60_000)
    public void callsAnsweredJustBeforeTheSuccessorsStartAreReleased(ProcessEnd end, String newId) throws Exception {
        Set<String> callIds = Set.of(establish(oldSwitch), establish(oldSwitch));
        Thread.sleep(START_DISTANCE_MS);
        long startedAtMs = System.currentTimeMillis();
        assertReleasedOnceReplaced(callIds, end, newId, startedAtMs);
    }

    /** The old process may answer calls while its successor starts and does not listen yet. */
    @Test(dataProvider = "replacements", timeOut = 60_000)
    public void callsAnsweredAfterTheSuccessorsStartAreReleased(ProcessEnd end, String newId) throws Exception {
        long startedAtMs = System.currentTimeMillis();
        Thread.sleep(START_DISTANCE_MS);
        Set<String> callIds = Set.of(establish(oldSwitch), establish(oldSwitch), establish(oldSwitch));
        assertReleasedOnceReplaced(callIds, end, newId, startedAtMs);
    }

    private void assertReleasedOnceReplaced(Set<String> callIds, ProcessEnd end, String newId, long startedAtMs)
            throws Exception {
        replace(end);
        long endedNs = System.nanoTime();
        Thread.sleep(NOTICE_MS);
        tellReplacement(newId, startedAtMs);
        assertReleased(callIds, endedNs);
    }

    @DataProvider
    public Object[][] newIds() {
        return new Object[][] {{"s-9"}, {"s-1"}};
    }

    /** The twin: calls that the successor has answered before the list tells of it live on. */
    @Test(dataProvider = "newIds", timeOut = 60_000)
    public void callsOfTheSuccessorAreKeptThoughItsStartIsDatedLate(String newId) throws Exception {
        SwitchStandIn newSwitch = replace(ProcessEnd.RESET);
        String callId = establish(newSwitch);
        Thread.sleep(NOTICE_MS);
        tellReplacement(newId, System.currentTimeMillis() - NOTICE_MS + LATE_START_MS);
        caller.socket.setSoTimeout(QUIET_MS);
        assertThrows(SocketTimeoutException.class, caller::next);
        newSwitch.sendOnOpenConnection("{\"verb\":\"FINISH\",\"tag\":\"" + callId + "\",\"opts\":{},\"rc\":16}\n");
        String release = caller.next();
        assertEquals(
                release.startsWith("BYE ") && release.contains(callId) && release.contains("cause=16"), true, release);
    }
}
