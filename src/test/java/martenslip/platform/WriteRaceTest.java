package martenslip.platform;

import static martenslip.platform.PlatformStandIn.event;
import static martenslip.platform.PlatformStandIn.line;
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

/** Crossings forced over loopback: an order waits at a gate, and something comes before it is written. */
public class WriteRaceTest {
    private static final String TAG = "9b1f03aa5c7e2d41";
    private static final String OTHER = "9b1f03aa5c7e2d42";
    private static final String LAST = "9b1f03aa5c7e2d43";
    private final GatedSockets sockets = new GatedSockets();
    private PlatformStandIn world;
    private List<SwitchStandIn> machines;
    private PlatformStandIn.JournalStandIn feed;
    private ControllerService serve;

    @BeforeMethod
    public void begin() throws IOException {
        sockets.open();
        world = new PlatformStandIn();
        machines = world.machines(2);
        feed = world.new JournalStandIn();
        String list = event(
                1,
                true,
                line("s-0", machines.get(0).port(), 0, "up"),
                line("s-1", machines.get(1).port(), 1, "up"));
        feed.tell(list);
        serve = new ControllerService(
                PlatformStandIn.written(PlatformStandIn.configuration(feed.port(), list)),
                RoutingPolicy::new,
                new PrintStream(OutputStream.nullOutputStream()),
                sockets);
        serve.startServing();
    }

    @AfterMethod
    public void end() throws Exception {
        sockets.open();
        serve.close();
        world.close();
    }

    /** What ends a set-up for its caller. */
    enum CallerExit {
        CANCEL,
        BYE,
        END,
        RESET
    }

    @DataProvider
    public Object[][] leaves() {
        return new Object[][] {{CallerExit.CANCEL}, {CallerExit.BYE}, {CallerExit.END}, {CallerExit.RESET}};
    }

    private void leave(CallerConnection line, CallerExit how) throws IOException {
        switch (how) {
            case CANCEL, BYE -> {
                line.say(CallerConnection.message(how.name(), TAG, "", ""));
                assertTrue(line.next().contains(" 200 "));
                assertTrue(line.next().contains(" 487 "));
            }
            case END -> line.socket.close();
            case RESET -> {
                line.socket.setSoLinger(true, 0);
                line.socket.close();
            }
        }
    }

    /** Waits until the controller knows of no open set-up: then whatever ended it has been decided about. */
    private void nothingOpen() throws Exception {
        PlatformStandIn.awaits(serve, () -> serve.openSetUps() == 0);
    }

    /** A set-up for another is the mark: by one connection, what was queued before it is read before it. */
    private void nextStartIs(String tag) throws Exception {
        CallerConnection other = world.new CallerConnection(serve.listens());
        other.invite(tag, "dear", 3000, "m=audio");
        ReceivedMessage first = machines.get(1).said.poll(10, java.util.concurrent.TimeUnit.SECONDS);
        assertTrue(first != null, "no START came");
        assertEquals(first.verb() + " " + first.tag(), "START " + tag, "something went out for a caller who has gone");
        first.started("m=audio 1");
        assertTrue(other.next().startsWith("SIP/2.0 200 "));
    }

    /**
     * Asks on this connection for a set-up that waits to be written. The writer is held by another's START, which has
     * begun and so is an attempt like any other; the connection of its caller is returned.
     */
    private CallerConnection behindAHeldWriter(CallerConnection line) throws Exception {
        CallerConnection first = world.new CallerConnection(serve.listens());
        sockets.write.shut();
        first.invite(OTHER, "dear", 3000, "m=audio");
        sockets.write.awaits(1);
        line.invite(TAG, "dear", 3000, "m=audio");
        PlatformStandIn.awaits(serve, () -> serve.openSetUps() == 2);
        return first;
    }

    @Test(dataProvider = "leaves")
    public void nothingIsWrittenForACallerWhoLeftWhileTheWriterWasHeld(CallerExit how) throws Exception {
        CallerConnection line = PlatformStandIn.ready(world, serve);
        CallerConnection first = behindAHeldWriter(line);
        leave(line, how);
        PlatformStandIn.awaits(serve, () -> serve.openSetUps() == 1);
        sockets.write.open();
        ReceivedMessage begun = machines.get(1).next("START");
        assertEquals(begun.tag(), OTHER);
        begun.started("m=audio 0");
        assertTrue(first.next().startsWith("SIP/2.0 200 "));
        nextStartIs(LAST);
    }

    @Test(dataProvider = "leaves")
    public void nothingIsWrittenForACallerWhoLeftBeforeTheConnectionCameUp(CallerExit how) throws Exception {
        CallerConnection line = PlatformStandIn.ready(world, serve);
        PlatformStandIn.awaits(serve, () -> machines.get(1).links.size() == 2);
        sockets.connect.shut();
        int before = sockets.made.get();
        for (java.net.Socket link : machines.get(1).links) {
            link.close();
        }
        // Its two connections are asked for anew, and stand before the gate.
        sockets.connect.awaits(1);
        PlatformStandIn.awaits(serve, () -> sockets.made.get() >= before + 2);
        line.invite(TAG, "dear", 3000, "m=audio");
        PlatformStandIn.awaits(serve, () -> serve.openSetUps() == 1);
        leave(line, how);
        nothingOpen();
        sockets.connect.open();
        PlatformStandIn.ready(world, serve);
        nextStartIs(LAST);
    }

    /** A writer that is held takes the time that its caller gave: what is left says so, and at its end there is none. */
    @Test
    public void whatIsLeftIsTrueWhenItIsWritten() throws Exception {
        PlatformStandIn.ready(world, serve);
        CallerConnection first = world.new CallerConnection(serve.listens());
        sockets.write.shut();
        first.invite(OTHER, "dear", 3000, "m=audio");
        sockets.write.awaits(1);
        long queued = System.nanoTime();
        CallerConnection second = world.new CallerConnection(serve.listens()).invite(TAG, "dear", 3000, "m=audio");
        CallerConnection third = world.new CallerConnection(serve.listens()).invite(LAST, "dear", 300, "m=audio");
        assertTrue(third.next().startsWith("SIP/2.0 50"), "its time is over");
        long held = (System.nanoTime() - queued) / 1_000_000;
        sockets.write.open();
        assertEquals(machines.get(1).next("START").tag(), OTHER);
        ReceivedMessage said = machines.get(1).next("START");
        assertEquals(said.tag(), TAG);
        assertTrue(said.left() <= 3000 - held + 1, said.left() + " ms left after " + held);
        said.started("m=audio 2");
        assertTrue(second.next().startsWith("SIP/2.0 200 "));
        assertTrue(machines.get(1).said.isEmpty(), "one went out past its time");
    }

    /** Drained while the set-up waits for its connection: it is never sent there, and its caller is answered. */
    @Test
    public void aSwitchThatDrainsMeanwhileGetsNothingNew() throws Exception {
        CallerConnection line = PlatformStandIn.ready(world, serve);
        CallerConnection first = behindAHeldWriter(line);
        feed.tell(event(2, false, line("s-1", machines.get(1).port(), 1, "draining")));
        PlatformStandIn.awaits(serve, () -> serve.position() == 2);
        sockets.write.open();
        assertTrue(line.next().startsWith("SIP/2.0 503 "), "there is no other way to it");
        machines.get(1).next("START").started("m=audio 3");
        assertTrue(first.next().startsWith("SIP/2.0 200 "));
        assertTrue(machines.get(1).said.stream().noneMatch(said -> said.tag().equals(TAG)));
    }

    /** Waits until two connections to the switch are up on both sides. */
    private void linked(SwitchStandIn machine, int links) throws Exception {
        PlatformStandIn.awaits(serve, () -> machine.links.size() >= links && serve.groupsTold());
    }

    /**
     * The end of a first attempt is kept to be said again on a further connection, until the switch says that it heard;
     * said again there it would end the second attempt, which bears the same id.
     */
    @Test
    public void theEndOfOneAttemptIsNotSaidAgainOverTheNext() throws Exception {
        CallerConnection line = PlatformStandIn.ready(world, serve);
        SwitchStandIn machine = machines.get(1);
        linked(machine, 2);
        line.invite(TAG, "dear", 3000, "m=audio");
        ReceivedMessage first = machine.next("START");
        // Good but for its description: it is given up, and tried again after the release.
        first.answer("{\"verb\":\"STARTED\",\"tag\":\"" + TAG + "\",\"opts\":{}}");
        assertEquals(machine.next("FINISH").tag(), TAG);
        ReceivedMessage second = machine.next("START");
        assertEquals(second.tag(), TAG);
        machine.links.stream()
                .filter(link -> link != second.by())
                .findFirst()
                .orElseThrow()
                .close();
        linked(machine, 3);
        // Asked on the new connection, it answers behind all that it said there by itself.
        new ReceivedMessage(machine.links.get(2), "", OTHER, "").finish(16, "");
        for (ReceivedMessage said = machine.said.poll(10, java.util.concurrent.TimeUnit.SECONDS); ; ) {
            assertTrue(said != null, "nothing came on the new connection");
            assertTrue(!(said.verb().equals("FINISH") && said.tag().equals(TAG)), "the second attempt was ended");
            if (said.verb().equals("FINISHED")) {
                break;
            }
            said = machine.said.poll(10, java.util.concurrent.TimeUnit.SECONDS);
        }
        second.started("m=audio 1");
        assertTrue(line.next().startsWith("SIP/2.0 200 "));
    }

    /** A connection that stays open and says nothing while another of the same switch speaks costs its own contact. */
    @Test
    public void aConnectionThatSaysNothingCostsWhatWentByIt() throws Exception {
        CallerConnection line = PlatformStandIn.ready(world, serve);
        SwitchStandIn machine = machines.get(1);
        linked(machine, 2);
        CallerConnection silent = world.new CallerConnection(serve.listens()).invite(TAG, "dear", 400, "m=audio");
        ReceivedMessage swallowed = machine.next("START");
        for (java.net.Socket other : machine.links) {
            if (other != swallowed.by()) {
                other.getOutputStream()
                        .write("{\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{\"load\":\"x0:9;x1:9\"}}\n"
                                .getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            }
        }
        assertTrue(silent.next().startsWith("SIP/2.0 50"), "answered in its time");
        assertEquals(machine.next("FINISH").tag(), TAG, "what was written is given up on the wire");
        line.invite(LAST, "dear", 3000, "m=audio");
        machine.next("START").started("m=audio 1");
        assertTrue(line.next().startsWith("SIP/2.0 200 "));
    }
}
