package martenslip.platform;

import static martenslip.platform.PlatformStandIn.event;
import static martenslip.platform.PlatformStandIn.line;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import martenslip.RoutingPolicy;
import martenslip.platform.PlatformStandIn.CallerConnection;
import martenslip.platform.PlatformStandIn.ReceivedMessage;
import martenslip.platform.PlatformStandIn.SwitchStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The controller in service between a stand-in of the platform's other parties, on loopback. */
public class ControllerServiceTest {
    private static final String TAG = "9b1f03aa5c7e2d41";
    private static final String OTHER = "9b1f03aa5c7e2d42";
    private static final String BODY = "v=0\r\nc=IN \"\\\u20ac\r\n";
    private static final PrintStream SILENT = new PrintStream(OutputStream.nullOutputStream());
    private PlatformStandIn world;
    private List<SwitchStandIn> machines;
    private PlatformStandIn.JournalStandIn feed;
    private Path file;
    private ControllerService serve;

    @BeforeMethod
    public void begin() throws IOException {
        world = new PlatformStandIn();
        machines = world.machines(3);
        feed = world.new JournalStandIn();
        file = PlatformStandIn.written(PlatformStandIn.configuration(feed.port(), list("up")));
        feed.tell(list("up"));
        serve = new ControllerService(file, RoutingPolicy::new, SILENT);
        serve.startServing();
    }

    private String list(String state) {
        return event(
                1,
                true,
                line("s-0", machines.get(0).port(), 0, "up"),
                line("s-1", machines.get(1).port(), 1, state),
                line("s-2", machines.get(2).port(), 2, "up"));
    }

    @AfterMethod
    public void end() throws Exception {
        serve.close();
        world.close();
    }

    private CallerConnection caller() throws IOException {
        return world.new CallerConnection(serve.listens());
    }

    /** Tests until one passes: only then are the states of the groups there. */
    private CallerConnection ready() throws IOException {
        return PlatformStandIn.ready(world, serve);
    }

    private ReceivedMessage stood(CallerConnection line) throws Exception {
        line.invite(TAG, "dear", 3000, BODY);
        ReceivedMessage start = machines.get(1).next("START");
        start.started("m=audio");
        assertTrue(line.next().endsWith("m=audio"));
        line.say(CallerConnection.message("ACK", TAG, "", ""));
        return start;
    }

    @Test
    public void aContactIsSetUpAndReleased() throws Exception {
        CallerConnection line = ready();
        line.invite(TAG, "dear", 3000, BODY);
        ReceivedMessage start = machines.get(1).next("START");
        assertEquals(start.description(), BODY);
        assertEquals(start.tag(), TAG);
        start.started("m=audio 31000");
        String answer = line.next();
        assertTrue(answer.startsWith("SIP/2.0 200 ") && answer.endsWith("m=audio 31000"), answer);
        line.say(CallerConnection.message("ACK", TAG, "", ""));
        start.finish(16, "");
        String bye = line.next();
        assertTrue(bye.startsWith("BYE ") && bye.contains("cause=16"), bye);
    }

    @Test
    public void aCallersByeFromAnotherLineReachesTheSwitch() throws Exception {
        stood(ready());
        CallerConnection other = caller().say(CallerConnection.message("BYE", TAG, "Reason: Q.850;cause=16\r\n", ""));
        assertTrue(other.next().startsWith("SIP/2.0 200 "));
        assertEquals(machines.get(1).next("FINISH").tag(), TAG);
    }

    @Test
    public void aSpoiltLineCutsTheRingAndNotWhatStands() throws Exception {
        CallerConnection line = ready();
        ReceivedMessage standing = stood(line);
        line.invite(OTHER, "dear", 3000, BODY);
        ReceivedMessage start = machines.get(1).next("START");
        start.answer("{\"verb\":\"STARTED\",\"tag\":\"" + OTHER + "\",\"opts\":{},\"blob\":\"half");
        // The module tries again after the release, on what connection there is by then.
        ReceivedMessage again = machines.get(1).next("START");
        again.started("whole");
        assertTrue(line.next().endsWith("whole"));
        standing.by().close();
        machines.get(1).links.stream()
                .filter(link -> !link.isClosed())
                .findFirst()
                .orElseThrow()
                .getOutputStream()
                .write(("{\"verb\":\"FINISH\",\"tag\":\"" + TAG + "\",\"opts\":{},\"rc\":16}\n").getBytes());
        assertTrue(line.next().contains("Call-ID: " + TAG));
    }

    /** A release by the second connection is read after the state that the first told since: it must not undo it. */
    @Test
    public void anOldReportDoesNotStandForANewState() throws Exception {
        CallerConnection line = ready();
        ReceivedMessage standing = stood(line);
        SwitchStandIn machine = machines.get(1);
        java.net.Socket first = standing.by();
        java.net.Socket second =
                machine.links.stream().filter(link -> link != first).findFirst().orElseThrow();
        first.getOutputStream()
                .write("{\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{\"load\":\"x0:0;x1:9\"}}\n".getBytes());
        // Heard by the order of one connection: the switch's release of an unknown id is answered after the state.
        new ReceivedMessage(first, "", OTHER, "").finish(16, "");
        machine.next("FINISHED");
        second.getOutputStream()
                .write(("{\"verb\":\"FINISH\",\"tag\":\"" + TAG + "\",\"opts\":{\"load\":\"x0:1;x1:9\"},\"rc\":16}\n")
                        .getBytes());
        assertTrue(line.next().startsWith("BYE "));
        line.invite(OTHER, "cheap", 400, BODY);
        assertTrue(line.next().startsWith("SIP/2.0 5"), "it is refused, or goes over the tandem, which says nothing");
        assertTrue(machine.said.stream().noneMatch(said -> said.verb().equals("START")));
    }

    @Test
    public void whatStoodOnAMachineThatDiedIsReleased() throws Exception {
        CallerConnection line = ready();
        stood(line);
        machines.get(1).stop();
        String bye = line.next();
        assertTrue(bye.startsWith("BYE ") && bye.contains("cause=41"), bye);
    }

    /** On the churn's day 393 contacts that stood were released as if the process had ended: it only took no more. */
    @Test
    public void aSwitchThatDrainsMayRefuseConnectionsAndKeepsWhatStands() throws Exception {
        CallerConnection line = ready();
        ReceivedMessage standing = stood(line);
        SwitchStandIn machine = machines.get(1);
        feed.tell(event(2, false, line("s-1", machine.port(), 1, "draining")));
        // The new switch is connected to once the list is taken, and so is known to drain by then.
        feed.tell(event(3, false, line("s-8", machines.get(2).port(), 3, "up")));
        for (int i = 0; i < 1000 && machines.get(2).links.size() < 4; i++) {
            Thread.sleep(5);
        }
        machine.deaf(standing.by());
        // Refused by now more than once: the pauses between tries are 0, 50 and 100 ms.
        line.socket.setSoTimeout(400);
        assertThrows(java.net.SocketTimeoutException.class, line::next);
        line.socket.setSoTimeout(10_000);
        standing.finish(16, "");
        assertTrue(line.next().contains("cause=16"));
    }

    @Test
    public void anAddressThatIsUsedAgainIsANewSwitch() throws Exception {
        CallerConnection line = ready();
        stood(line);
        int port = machines.get(1).port();
        feed.tell(event(2, false, line("s-1", port, 1, "removed"), line("s-9", port, 1, "up")));
        // The old one says nothing any more, so what stood there ends with it.
        assertTrue(line.next().startsWith("BYE "));
        line.invite(OTHER, "dear", 3000, BODY);
        machines.get(1).next("START").started("new");
        assertTrue(line.next().endsWith("new"));
    }

    @DataProvider
    public Object[][] broken() {
        return new Object[][] {
            {"id: 2\ndata: {\"pos\":2,\"hosts\":{\"inst"},
            {"id: 2\ndata: nonsense\n\n"},
            {"id: 2\ndata: {\"pos\":2}\n\n"},
            {""}
        };
    }

    /** The feed breaks off amid an event; it is asked for again from the last whole one, and doubles are skipped. */
    @Test(dataProvider = "broken")
    public void theFeedGoesOnAfterABreak(String spoilt) throws Exception {
        CallerConnection line = ready();
        assertEquals(feed.asked(), 1);
        feed.broken = spoilt;
        assertEquals(feed.asked(), 1);
        feed.tell(event(
                2,
                false,
                line("s-1", machines.get(1).port(), 1, "removed"),
                line("s-7", machines.get(2).port(), 1, "up")));
        // Two connections to each switch: four once the new one at the same address is known. That it has told its
        // state
        // is one thing more, and a busy machine may take it up later.
        PlatformStandIn.awaits(serve, () -> machines.get(2).links.size() >= 4 && serve.groupsTold());
        line.invite(TAG, "dear", 3000, BODY);
        machines.get(2).next("START").started("at the new one");
        assertTrue(line.next().endsWith("at the new one"));
    }

    @Test
    public void aReloadMovesTheFeedAndPositionsGoOn() throws Exception {
        ready();
        assertEquals(feed.asked(), 1);
        PlatformStandIn.JournalStandIn moved = world.new JournalStandIn();
        Files.writeString(file, PlatformStandIn.configuration(moved.port(), list("up")));
        serve.reload();
        assertEquals(moved.asked(), 1);
    }

    private void moveTo(PlatformStandIn.JournalStandIn to) throws IOException {
        Files.writeString(file, PlatformStandIn.configuration(to.port(), list("up")));
        serve.reload();
    }

    /** The old address still tells for a while; the new one has taken the question and says nothing. */
    @Test
    public void theOldFeedIsHeardUntilTheNewOneTalks() throws Exception {
        ready();
        PlatformStandIn.JournalStandIn moved = world.new JournalStandIn();
        moved.silent = true;
        moveTo(moved);
        assertEquals(moved.asked(), 1);
        feed.tell(event(2, false, line("s-1", machines.get(1).port(), 1, "draining")));
        PlatformStandIn.awaits(serve, () -> serve.position() == 2);
        moved.tell(list("up"));
        moved.tell(event(2, false, line("s-1", machines.get(1).port(), 1, "draining")));
        moved.tell(event(3, false, line("s-1", machines.get(1).port(), 1, "removed")));
        moved.silent = false;
        PlatformStandIn.awaits(serve, () -> serve.position() == 3);
    }

    /** Reload, and at once a drain: what the new address tells counts, and it is the only one left. */
    @Test
    public void aDrainRightAfterAReloadIsHeard() throws Exception {
        CallerConnection line = ready();
        PlatformStandIn.JournalStandIn moved = world.new JournalStandIn();
        moved.tell(list("up"));
        moved.tell(event(2, false, line("s-1", machines.get(1).port(), 1, "draining")));
        moveTo(moved);
        PlatformStandIn.awaits(serve, () -> serve.position() == 2);
        line.invite(TAG, "dear", 3000, BODY);
        assertTrue(line.next().startsWith("SIP/2.0 503 "));
    }

    @Test
    public void twoReloadsWhileTheFirstIsNotYetReadEndAtTheSecond() throws Exception {
        ready();
        PlatformStandIn.JournalStandIn nowhere = world.new JournalStandIn();
        nowhere.silent = true;
        moveTo(nowhere);
        PlatformStandIn.JournalStandIn moved = world.new JournalStandIn();
        moved.tell(list("up"));
        moved.tell(event(2, false, line("s-1", machines.get(1).port(), 1, "draining")));
        moveTo(moved);
        PlatformStandIn.awaits(serve, () -> serve.position() == 2);
        nowhere.tell(list("up"));
        nowhere.tell(list("up"));
        nowhere.tell(event(3, true));
        nowhere.silent = false;
        moved.tell(event(3, false, line("s-1", machines.get(1).port(), 1, "up")));
        PlatformStandIn.awaits(serve, () -> serve.position() == 3);
        assertTrue(serve.groupsTold());
    }

    /** A restart finds contacts that stand, and is killed while it takes them: the next one takes them all the same. */
    @Test
    public void takenOverAgainAfterAKillAmidSetUpsThatStandAlready() throws Exception {
        CallerConnection line = ready();
        line.say(CallerConnection.message("INVITE", TAG, "Routing-Data: at:s-1\r\n", ""));
        line.say("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: t\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n");
        line.next();
        // Killed: what it knew is gone with it, and nobody was told a thing.
        serve.close();
        machines.get(1).said.clear();
        serve = new ControllerService(file, RoutingPolicy::new, SILENT);
        serve.startServing();
        CallerConnection again = ready();
        again.say(CallerConnection.message("INVITE", TAG, "Routing-Data: at:s-1\r\n", ""));
        again.say(CallerConnection.message("INVITE", OTHER, "Routing-Data: at:s-none\r\n", ""));
        String over = again.next();
        assertTrue(over.startsWith("BYE ") && over.contains(OTHER), over);
        java.net.Socket link = machines.get(1).links.get(machines.get(1).links.size() - 1);
        new ReceivedMessage(link, "", TAG, "").finish(16, "");
        String bye = again.next();
        assertTrue(bye.startsWith("BYE ") && bye.contains("cause=16") && bye.contains(TAG), bye);
    }

    @Test
    public void aBrokenConfigurationAtAReloadChangesNothing() throws Exception {
        CallerConnection line = ready();
        Files.writeString(file, "{\"name\":");
        serve.reload();
        stood(line);
    }

    @DataProvider
    public Object[][] configurations() {
        String good = PlatformStandIn.configuration(1, event(1, true));
        return new Object[][] {
            {"{", "end-of-input"},
            {"[]", "no object"},
            {good.replace("\"seed\"", "\"sead\""), "seed is missing"},
            {good.replace("00000000000000aa", "x"), "seed is no number"},
            {good.replace("127.0.0.1:1\"", "somewhere:1\""), "journal: somewhere:1 is no address"},
            {good.replace("\"sockets\":64", "\"sockets\":\"many\""), "limits.sockets is missing or no number"},
            {good.replace("\"settings\"", "\"sittings\""), "settings is missing"},
            {good.replace("\"hosts\"", "\"guests\""), "an event without hosts"},
            {good.replace("\"classes\":[", "\"classes\":[],\"others\":["), "settings.classes is missing"},
        };
    }

    @Test(dataProvider = "configurations")
    public void aConfigurationThatIsNoneSaysWhereAndWhy(String text, String expected) throws IOException {
        Path bad = PlatformStandIn.written(text);
        try (ControllerService never = new ControllerService(bad, RoutingPolicy::new, SILENT)) {
            throw new AssertionError("it was taken: " + never);
        } catch (IOException e) {
            assertTrue(e.getMessage().contains(expected), e.getMessage());
        }
    }

    @Test
    public void termAmidASetUpAnswersItAndEnds() throws Exception {
        CallerConnection line = ready();
        line.invite(TAG, "dear", 3000, BODY);
        ReceivedMessage start = machines.get(1).next("START");
        serve.requestShutdown();
        CallerConnection late = caller();
        late.invite(OTHER, "dear", 3000, BODY);
        machines.get(1).next("START").started("late");
        assertTrue(late.next().endsWith("late"));
        start.started("in time");
        assertTrue(line.next().endsWith("in time"));
        serve.await();
    }

    /** What bad callers send: each gets a word or an end, and never a good answer. */
    @DataProvider
    public Object[][] bad() {
        String fit = "Call-Kind: dear\r\nAnswer-Within: 900\r\nRouting-Data: dest:1;width:1;via:-1\r\n";
        String head = "INVITE sip:00000000000000bb@net SIP/2.0\r\nCall-ID: " + TAG + "\r\nCSeq: 1 INVITE\r\n" + fit;
        return new Object[][] {
            {""},
            {"\u0000\u0001\u0002\u0003\r\n\r\n"},
            {"GET / HTTP/1.1\r\n\r\n"},
            {head + "Content-Length: 60000000\r\n\r\n"},
            {head + "Content-Length: -1\r\n\r\n"},
            {head + "Content-Length: 99999999999999999999\r\n\r\n"},
            {head + "Content-Length: many\r\n\r\n"},
            {head + "Content-Length: 10\r\n\r\nhalf"},
            {head + "X: " + "y".repeat(40_000)},
            {head + "\r\nno length"},
            {head + "Content-Length: 4\r\nContent-Length: 9\r\n\r\nbody"},
            {head + "Content-Length: 4\r\n\r\nbody which is longer\r\n"},
            {head.replace(TAG, "short") + "Content-Length: 0\r\n\r\n"},
            {head.replace("dear", "unknown") + "Content-Length: 0\r\n\r\n"},
            {head.replace("900", "NaN") + "Content-Length: 0\r\n\r\n"},
            {head.replace("Call-ID: " + TAG + "\r\n", "") + "Content-Length: 0\r\n\r\n"},
            {head.replace("INVITE ", "JUMP ") + "Content-Length: 0\r\n\r\n"},
            {(head + "Content-Length: 0\r\n\r\n").repeat(2)},
            {CallerConnection.message("BYE", TAG, "", "")},
            {CallerConnection.message("CANCEL", TAG, "", "")},
        };
    }

    @Test(dataProvider = "bad")
    public void badCallersGetAWordOrAnEndInTime(String text) throws Exception {
        ready();
        CallerConnection line = caller();
        long begun = System.nanoTime();
        line.say(text);
        String answer = line.next();
        assertTrue(System.nanoTime() - begun < 3_000_000_000L, "too late");
        assertTrue(answer == null || !answer.startsWith("SIP/2.0 200") && !answer.startsWith("SIP/2.0 1"), answer);
    }

    @Test
    public void afterBadOnesTheUsualCallersAreServed() throws Exception {
        CallerConnection usual = ready();
        for (int i = 0; i < 60; i++) {
            caller().say("nonsense" + i + "\r\n\r\n");
        }
        stood(usual);
    }

    /** What a controller that starts from nothing learns of contacts that stand: no answer, and a release like others. */
    @Test
    public void aContactThatStandsAlreadyIsReleasedByItsSwitch() throws Exception {
        CallerConnection line = ready();
        line.say(CallerConnection.message("INVITE", TAG, "Routing-Data: at:s-1\r\n", ""));
        line.say("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: t\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n");
        assertTrue(line.next().contains("CSeq: 1 OPTIONS"), "a set-up with at is not answered");
        new ReceivedMessage(machines.get(1).links.get(0), "", TAG, "").finish(16, "");
        String bye = line.next();
        assertTrue(bye.startsWith("BYE ") && bye.contains("cause=16") && bye.contains(TAG), bye);
    }

    @Test
    public void oneThatStandsAtASwitchThatIsNowhereIsOver() throws Exception {
        CallerConnection line = ready();
        line.say(CallerConnection.message("INVITE", TAG, "Routing-Data: at:s-none\r\n", ""));
        String bye = line.next();
        assertTrue(bye.startsWith("BYE ") && bye.contains("cause=41"), bye);
    }

    /** A line that the deciding thread ends tells so by the same inbox: full, it must not wait for itself. */
    @Test(timeOut = 30_000)
    public void theDecidingThreadNeverWaitsForItself() throws Exception {
        CountDownLatch done = new CountDownLatch(10_000);
        serve.turn(() -> {
            for (int i = 0; i < 10_000; i++) {
                try {
                    serve.turn(done::countDown);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        assertTrue(done.await(20, TimeUnit.SECONDS));
    }

    @Test
    public void aConfigurationThatIsNotThereIsTold() {
        assertThrows(
                IOException.class,
                () -> new ControllerService(Path.of("/nowhere/at/all.json"), RoutingPolicy::new, SILENT));
    }
}
