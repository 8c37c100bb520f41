package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import martenslip.platform.PlatformStandIn.CallerConnection;
import martenslip.platform.PlatformStandIn.SwitchStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against report 9d16c4, picture (d), with the program in a process of its own: a set-up whose client left after
 * it had been forwarded, and that came again later, was run by a switch twice.
 */
public class DepartedCallerTest {
    private static final String CALL_ID = "9b1f03aa5c7e2d41";
    private static final int PAUSE_MS = 250;
    private static final int SETTLE_MS = 400;
    private static final int SET_UPS = 300;
    private static final int ROUNDS = 5;
    private static final int MAX_SENT_ON_MS = 150;

    private PlatformStandIn platform;
    private List<SwitchStandIn> switches;
    private ControllerProcess process;

    @BeforeMethod
    public void startProcess() throws Exception {
        platform = new PlatformStandIn();
        switches = platform.startSwitches(3);
        PlatformStandIn.JournalStandIn journal = platform.new JournalStandIn();
        String initialList = PlatformStandIn.initialList(switches);
        journal.addEvent(initialList);
        process = new ControllerProcess();
        process.launch(PlatformStandIn.writeTemporary(
                process.configured(PlatformStandIn.configuration(journal.port(), initialList))));
        process.awaitLogLine("ready");
    }

    @AfterMethod
    public void stopProcess() throws Exception {
        process.close();
        platform.close();
    }

    private CallerConnection invite() throws Exception {
        return platform.new CallerConnection(process.listenAddress()).invite(CALL_ID, "dear", 3000, "v=0\r\n");
    }

    @Test(timeOut = 60_000)
    public void anIdIsNotStartedTwiceWhenItComesAgainAfterItsClientLeft() throws Exception {
        CallerConnection departing = invite();
        assertEquals(switches.get(1).next("START").tag(), CALL_ID);
        departing.socket.close();
        assertEquals(switches.get(1).next("FINISH").tag(), CALL_ID);
        Thread.sleep(PAUSE_MS);
        String answer = invite().next();
        assertTrue(answer.startsWith("SIP/2.0 482 "), answer);
        for (SwitchStandIn switchStandIn : switches) {
            assertTrue(switchStandIn.receivedMessages.stream()
                    .noneMatch(message -> message.verb().equals("START")));
        }
    }

    private String sendManyAndLeave(int round) throws Exception {
        CallerConnection caller = platform.new CallerConnection(process.listenAddress());
        StringBuilder setUps = new StringBuilder();
        for (int i = 0; i < SET_UPS; i++) {
            setUps.append(CallerConnection.message(
                    "INVITE",
                    String.format("%08x%08x", round, i),
                    "Call-Kind: dear\r\nAnswer-Within: 3000\r\nRouting-Data: dest:1;width:1;via:-1\r\n",
                    "v=0\r\n"));
        }
        caller.send(setUps.toString());
        caller.socket.close();
        return String.format("%08x", round);
    }

    /** What a client that has left had sent is not sent on later than 0.1 s after it left, with 50 ms of slack. */
    @Test(timeOut = 60_000)
    public void setUpsAreNotSentOnLongAfterTheirClientLeft() throws Exception {
        for (SwitchStandIn switchStandIn : switches) {
            switchStandIn.circuits = 400;
            switchStandIn.startReporting();
            switchStandIn.serveAll();
        }
        Thread.sleep(SETTLE_MS);
        long worstMs = 0;
        int started = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            String prefix = sendManyAndLeave(round);
            long leftNs = System.nanoTime();
            Thread.sleep(SETTLE_MS);
            for (SwitchStandIn switchStandIn : switches) {
                for (Map.Entry<String, Long> served : switchStandIn.servedNsByTag.entrySet()) {
                    if (served.getKey().startsWith(prefix)) {
                        started++;
                        worstMs = Math.max(worstMs, (served.getValue() - leftNs) / 1_000_000);
                    }
                }
                assertEquals(switchStandIn.repeatedTags, Set.of());
            }
        }
        System.out.println("departed callers: " + started + " of " + ROUNDS * SET_UPS + " sent on, the last " + worstMs
                + " ms after its client left");
        assertTrue(worstMs <= MAX_SENT_ON_MS, "sent on " + worstMs + " ms after the client left");
    }
}
