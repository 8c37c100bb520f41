package martenslip.platform.switchconnection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import martenslip.control.Moment;
import martenslip.eventloop.TimerWheel;
import martenslip.platform.json.Json;
import martenslip.sip.transport.ConnectionThreadPool;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.TransportLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Connections to one switch on loopback; the test is the decision thread and runs its tasks in the order it wants. */
public class SwitchConnectionsTest {
    private static final long SWITCH_ID = 7;
    private static final String TAG = "9b1f03aa5c7e2d41";
    private static final String LOAD = "{\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{\"load\":\"x0:9;x1:9\"}}\n";
    private static final String STARTED =
            "{\"verb\":\"STARTED\",\"tag\":\"" + TAG + "\",\"opts\":{},\"blob\":\"c=x\"}\n";
    private static final String ECHOED = "{\"verb\":\"ECHOED\",\"tag\":\"\",\"opts\":{},\"rc\":1}\n";
    private static final String FINISH = "{\"verb\":\"FINISH\",\"tag\":\"" + TAG + "\",\"opts\":{},\"rc\":16}\n";

    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final List<String> events = new ArrayList<>();
    private boolean hasEstablishedContacts;
    private ServerSocket listenSocket;
    private SwitchConnections connections;

    /** As in the service, the first message is parsed on a thread with a stack of the usual size. */
    @BeforeClass
    public void initializeParser() throws IOException {
        Json.parse("{}".getBytes(StandardCharsets.UTF_8));
    }

    @BeforeMethod
    public void connect() throws IOException {
        tasks.clear();
        events.clear();
        hasEstablishedContacts = true;
        listenSocket = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        connections = new SwitchConnections(
                TransportLimits.DEFAULTS,
                Socket::new,
                new ConnectionThreadPool("test", 2),
                new TimerWheel(new Moment(System.nanoTime())),
                new LoadReportParser(List.of("x0", "x1")),
                new DropCounter(),
                tasks::put,
                new RecordingListener());
        connections.switchListed(SWITCH_ID, (InetSocketAddress) listenSocket.getLocalSocketAddress(), false);
    }

    @AfterMethod
    public void close() throws IOException {
        listenSocket.close();
        connections.close();
    }

    private final class RecordingListener implements SwitchConnections.Listener {
        @Override
        public void started(long switchId, long connectionId, String tag, String description) {
            events.add("started " + tag);
        }

        @Override
        public void ended(long switchId, long connectionId, String tag, int cause, String note, float[] report) {
            events.add("ended " + tag + " " + cause);
        }

        @Override
        public void answeredOnEndedConnection(long switchId, long connectionId, String tag) {
            events.add("answered late " + tag);
        }

        @Override
        public void releasedOnEndedConnection(long switchId, long connectionId, String tag, int cause) {
            events.add("released late " + tag + " " + cause);
        }

        @Override
        public void loadReported(long switchId, float[] report) {
            events.add("load");
        }

        @Override
        public void connectionEnded(long switchId, long connectionId, boolean wasEstablished) {
            events.add("connection ended");
        }

        @Override
        public void processEnded(long switchId) {
            events.add("process ended");
        }

        @Override
        public void processReplaced(long switchId, long newSwitchId, long firstConnectionNumber) {
            events.add("process replaced");
        }

        @Override
        public boolean hasEstablishedContactsAt(long switchId) {
            return hasEstablishedContacts;
        }

        @Override
        public void log(String line) {}
    }

    private Runnable nextTask() throws InterruptedException {
        Runnable task = tasks.poll(10, TimeUnit.SECONDS);
        assertTrue(task != null, "no task was queued for the decision thread");
        return task;
    }

    private void runTasks(int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            nextTask().run();
        }
    }

    private static void write(Socket socket, String lines) throws IOException {
        socket.getOutputStream().write(lines.getBytes(StandardCharsets.UTF_8));
    }

    /** The reading thread has the release in hand while another thread notices the end of the connection. */
    @Test(timeOut = 30_000)
    public void aReleaseReadFromAConnectionThatHasEndedMeanwhileIsPassedOn() throws Exception {
        Socket socket = listenSocket.accept();
        listenSocket.accept();
        runTasks(2);
        write(socket, STARTED + FINISH);
        Runnable started = nextTask();
        Runnable release = nextTask();
        socket.close();
        runTasks(1);
        assertEquals(events, List.of("connection ended"));
        started.run();
        release.run();
        assertEquals(events, List.of("connection ended", "answered late " + TAG, "released late " + TAG + " 16"));
    }

    /**
     * Guards against a service that says it is ready while the routing module knows no circuit of a group: the first
     * load report may come on the connection that was opened second, which then becomes the primary one.
     */
    @Test(timeOut = 30_000)
    public void aGroupsStateIsKnownOnlyOnceItHasBeenReported() throws Exception {
        Socket first = listenSocket.accept();
        Socket second = listenSocket.accept();
        runTasks(2);
        assertFalse(connections.allGroupStatesReported());
        write(second, LOAD);
        runTasks(1);
        assertEquals(events, List.of("load"));
        assertTrue(connections.allGroupStatesReported());
        write(first, LOAD);
        write(second, LOAD);
        runTasks(1);
        assertEquals(events, List.of("load", "load"), "from then on only the primary connection counts");
    }

    /**
     * Guards against report 9d16c4: an answer of the earlier process waits in the inbox behind the news that another one
     * has its address. Its contact would stand at a process that has gone, and nobody would end it.
     */
    @Test(timeOut = 30_000)
    public void anAnswerReadBeforeItsProcessWasReplacedEstablishesNothing() throws Exception {
        Socket socket = listenSocket.accept();
        listenSocket.accept();
        runTasks(2);
        write(socket, STARTED);
        Runnable started = nextTask();
        connections.switchUnlisted(SWITCH_ID);
        connections.switchListed(SWITCH_ID + 1, (InetSocketAddress) listenSocket.getLocalSocketAddress(), false);
        connections.addressListed(SWITCH_ID + 1, new Moment(System.nanoTime() + 2_000_000_000));
        started.run();
        assertEquals(
                events, List.of("connection ended", "connection ended", "process replaced", "answered late " + TAG));
    }

    /** A restart must not cost the set-ups on a connection that reaches the new process, whether or not contacts stand. */
    @Test(timeOut = 30_000)
    public void aConnectionToARestartedProcessIsKeptWithoutEstablishedContacts() throws Exception {
        hasEstablishedContacts = false;
        Socket first = listenSocket.accept();
        Socket second = listenSocket.accept();
        runTasks(2);
        connections.processRestarted(SWITCH_ID, new Moment(System.nanoTime()));
        assertEquals(events, List.of(), "the replies are awaited");
        write(first, ECHOED);
        write(second, ECHOED);
        runTasks(2);
        assertEquals(events, List.of("process replaced"));
    }
}
