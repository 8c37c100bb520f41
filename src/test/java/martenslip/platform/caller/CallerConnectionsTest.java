package martenslip.platform.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import martenslip.control.Span;
import martenslip.platform.contact.ContactSettings;
import martenslip.platform.contact.SetUpRequest;
import martenslip.sip.message.Request;
import martenslip.sip.transport.ConnectionThreadPool;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.TransportLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests accepting, closing and refusing on callers' connections, at a limit of two connections. */
public class CallerConnectionsTest {
    private static final TransportLimits TWO_CONNECTIONS = new TransportLimits(
            2,
            Span.ofMillis(5000),
            Span.ofMillis(20_000),
            Span.ofMillis(1500),
            100_000,
            Span.ofMillis(3000),
            Span.ofMillis(500));
    private final LinkedBlockingQueue<SetUpRequest> setUps = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> requests = new LinkedBlockingQueue<>();
    private CountDownLatch acknowledgementReached;
    private CountDownLatch acknowledgementsReleased;
    private volatile boolean queueFull;
    private AtomicInteger remainingAcceptFailures;
    private volatile boolean acceptFailsAtTwoConnections;
    private volatile long firstAcceptFailureNs;
    private volatile long lastAcceptFailureNs;
    private ServerSocket serverSocket;
    private CallerConnections callers;
    private InetSocketAddress address;

    @BeforeMethod
    public void open() throws IOException {
        setUps.clear();
        requests.clear();
        queueFull = false;
        acknowledgementReached = new CountDownLatch(1);
        acknowledgementsReleased = new CountDownLatch(1);
        remainingAcceptFailures = new AtomicInteger();
        acceptFailsAtTwoConnections = false;
        firstAcceptFailureNs = 0;
        lastAcceptFailureNs = 0;
        serverSocket = new ServerSocket() {
            @Override
            public Socket accept() throws IOException {
                if (remainingAcceptFailures.get() > 0) {
                    lastAcceptFailureNs = System.nanoTime();
                    if (firstAcceptFailureNs == 0) {
                        firstAcceptFailureNs = lastAcceptFailureNs;
                    }
                    remainingAcceptFailures.decrementAndGet();
                    throw new SocketException("Too many open files");
                }
                if (acceptFailsAtTwoConnections && callers.connectionCount() >= 2) {
                    throw new SocketException("Too many open files");
                }
                return super.accept();
            }
        };
        callers = new CallerConnections(
                new ContactSettings(List.of("dear"), 10, Span.ofMillis(9000), Span.ofMillis(20)),
                TWO_CONNECTIONS,
                new ConnectionThreadPool("test", 4),
                new DropCounter(),
                new CallerConnections.Listener() {
                    @Override
                    public boolean setUpReceived(SetUpRequest setUp) {
                        return !queueFull && setUps.add(setUp);
                    }

                    @Override
                    public void requestReceived(long connectionId, Request request) {
                        requests.add(request.method() + " " + request.callId());
                    }

                    @Override
                    public void releaseAnswered(long connectionId, String tag, boolean knowsContact)
                            throws InterruptedException {
                        acknowledgementReached.countDown();
                        // Blocks the reading thread, as the decision thread does when it has no room.
                        acknowledgementsReleased.await();
                    }

                    @Override
                    public void connectionEnded(long connectionId) {
                        // The tests check connectionCount() instead.
                    }

                    @Override
                    public boolean isReady() {
                        return true;
                    }
                },
                serverSocket,
                System::nanoTime);
        address = new InetSocketAddress(
                InetAddress.getLoopbackAddress(),
                callers.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    }

    @AfterMethod
    public void close() throws IOException {
        acknowledgementsReleased.countDown();
        callers.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void send(Socket socket, String message) throws IOException {
        socket.getOutputStream().write(message.getBytes(StandardCharsets.US_ASCII));
    }

    private static void sendInvite(Socket socket, int number) throws IOException {
        send(
                socket,
                "INVITE sip:00000000000000aa@net SIP/2.0\r\nCall-ID: " + String.format("%016x", number)
                        + "\r\nCSeq: 1 INVITE\r\nCall-Kind: dear\r\nAnswer-Within: 900\r\nRouting-Data: dest:1\r\n"
                        + "Content-Length: 0\r\n\r\n");
    }

    private SetUpRequest nextSetUp() throws InterruptedException {
        SetUpRequest setUp = setUps.poll(10, TimeUnit.SECONDS);
        assertTrue(setUp != null, "no set-up was received");
        return setUp;
    }

    private static boolean isEnded(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    @Test
    public void idleConnectionIsEvictedAndOneAwaitingAnAnswerIsNot() throws Exception {
        try (Socket idle = connect();
                Socket awaitingAnswer = connect()) {
            sendInvite(awaitingAnswer, 1);
            long connectionId = nextSetUp().connectionId();
            try (Socket third = connect()) {
                sendInvite(third, 2);
                nextSetUp();
                assertTrue(isEnded(idle));
                assertTrue(callers.send(connectionId, "x".getBytes()));
            }
        }
    }

    /** The reading thread has a BYE and a naming in hand while another thread ends the connection. */
    @Test(timeOut = 30_000)
    public void whatWasReadBeforeTheConnectionEndedStillCountsForEstablishedContacts() throws Exception {
        try (Socket caller = connect()) {
            sendInvite(caller, 1);
            long connectionId = nextSetUp().connectionId();
            String answeredBye =
                    "SIP/2.0 200 OK\r\nCall-ID: 0000000000000009\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n";
            String bye = "BYE sip:00000000000000aa@net SIP/2.0\r\nCall-ID: 0000000000000002\r\nCSeq: 1 BYE\r\n"
                    + "Content-Length: 0\r\n\r\n";
            String naming = "INVITE sip:00000000000000aa@net SIP/2.0\r\nCall-ID: 0000000000000003\r\n"
                    + "CSeq: 1 INVITE\r\nRouting-Data: at:s-1\r\nContent-Length: 0\r\n\r\n";
            send(caller, answeredBye + bye + naming);
            acknowledgementReached.await();
            callers.disconnect(connectionId, "ended by the test");
            acknowledgementsReleased.countDown();
            assertEquals(requests.poll(10, TimeUnit.SECONDS), "BYE 0000000000000002");
            assertEquals(nextSetUp().establishedSwitch(), "s-1");
        }
    }

    /** Guards against releases sent in vain on young connections one after another (soak of the fleet trial). */
    @Test
    public void aReleaseIsSentFirstOnAConnectionWhoseCallerHasAnsweredOneBefore() throws Exception {
        acknowledgementsReleased.countDown();
        try (Socket proven = connect()) {
            sendInvite(proven, 1);
            long provenId = nextSetUp().connectionId();
            send(proven, "SIP/2.0 200 OK\r\nCall-ID: 0000000000000009\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n");
            acknowledgementReached.await();
            try (Socket young = connect()) {
                sendInvite(young, 2);
                long youngId = nextSetUp().connectionId();
                assertEquals(callers.otherConnection(Set.of()), provenId);
                assertEquals(callers.otherConnection(Set.of(provenId)), youngId);
                assertEquals(callers.otherConnection(Set.of(provenId, youngId)), provenId);
            }
        }
    }

    /** Guards against a client that comes back for the release of its only call and is not told, as it says nothing. */
    @Test(timeOut = 30_000)
    public void aReleaseIsSentOnASilentConnectionWhereNoOtherHasSpoken() throws Exception {
        try (Socket silent = connect()) {
            while (callers.connectionCount() < 1) {
                Thread.onSpinWait();
            }
            long silentId = callers.otherConnection(Set.of());
            assertTrue(silentId != 0);
            try (Socket speaking = connect()) {
                sendInvite(speaking, 1);
                long speakingId = nextSetUp().connectionId();
                assertEquals(callers.otherConnection(Set.of()), speakingId);
                assertEquals(callers.otherConnection(Set.of(speakingId)), speakingId);
            }
            assertTrue(silent.isConnected());
        }
    }

    /** Under heavy load reading threads lagged, and connections were closed with a set-up in them that was not read. */
    @Test
    public void connectionWithUnreadInputIsNotEvicted() throws Exception {
        try (Socket unread = connect()) {
            send(unread, "SIP/2.0 200 OK\r\nCall-ID: 0000000000000009\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n");
            sendInvite(unread, 1);
            try (Socket idle = connect();
                    Socket third = connect()) {
                assertTrue(isEnded(idle));
                sendInvite(third, 2);
                assertEquals(nextSetUp().tag(), String.format("%016x", 2));
                acknowledgementsReleased.countDown();
                assertEquals(nextSetUp().tag(), String.format("%016x", 1));
            }
        }
    }

    @Test
    public void newConnectionIsClosedIfAllOthersAwaitAnAnswer() throws Exception {
        try (Socket first = connect();
                Socket second = connect()) {
            sendInvite(first, 1);
            sendInvite(second, 2);
            nextSetUp();
            nextSetUp();
            try (Socket third = connect()) {
                assertTrue(isEnded(third));
                assertEquals(callers.connectionCount(), 2);
            }
        }
    }

    /** A set-up that arrives during a graceful close is read, passed on and answered before its connection closes. */
    @Test
    public void gracefulCloseWaitsForUnreadInput() throws Exception {
        try (Socket unread = connect();
                Socket idle = connect()) {
            send(unread, "SIP/2.0 200 OK\r\nCall-ID: 0000000000000009\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n");
            sendInvite(unread, 1);
            send(idle, "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: t\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n");
            assertTrue(idle.getInputStream().read() == 'S');
            while (callers.connectionCount() < 2) {
                Thread.onSpinWait();
            }
            Thread closer = new Thread(() -> callers.closeGracefully(Span.ofMillis(20_000)));
            closer.start();
            while (idle.getInputStream().read() >= 0) {
                // Reads the rest of the response, then the end of the stream.
            }
            assertEquals(setUps.size(), 0);
            acknowledgementsReleased.countDown();
            SetUpRequest setUp = nextSetUp();
            callers.sendRefusal(setUp.connectionId(), setUp.tag(), "bye".getBytes(StandardCharsets.US_ASCII));
            assertEquals(new String(unread.getInputStream().readNBytes(3), StandardCharsets.US_ASCII), "bye");
            assertTrue(isEnded(unread));
            closer.join(10_000);
            assertTrue(!closer.isAlive() && serverSocket.isClosed());
        }
    }

    /** The caller is refused at once, and the reading thread goes on with the next message. */
    @Test
    public void setUpIsRefusedWithoutWaitingIfListenerHasNoRoom() throws Exception {
        queueFull = true;
        try (Socket socket = connect()) {
            sendInvite(socket, 1);
            byte[] status = socket.getInputStream().readNBytes(11);
            assertEquals(new String(status, StandardCharsets.US_ASCII), "SIP/2.0 503");
            queueFull = false;
            sendInvite(socket, 2);
            assertEquals(nextSetUp().tag(), String.format("%016x", 2));
        }
    }

    @Test
    public void cancelAndDisconnectionMarkTheSetUpAsCancelled() throws Exception {
        try (Socket socket = connect()) {
            sendInvite(socket, 1);
            sendInvite(socket, 2);
            SetUpRequest cancelled = nextSetUp();
            SetUpRequest disconnected = nextSetUp();
            assertTrue(!cancelled.cancellation().isCancelled());
            send(
                    socket,
                    "CANCEL sip:00000000000000aa@net SIP/2.0\r\nCall-ID: " + cancelled.tag()
                            + "\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n");
            awaitCancellation(cancelled);
            assertTrue(!disconnected.cancellation().isCancelled());
            socket.close();
            awaitCancellation(disconnected);
        }
    }

    private static void awaitCancellation(SetUpRequest setUp) {
        for (long startNs = System.nanoTime(); !setUp.cancellation().isCancelled(); Thread.onSpinWait()) {
            assertTrue(System.nanoTime() - startNs < 10_000_000_000L, "the set-up was not marked as cancelled");
        }
    }

    /** A growing switch list needs file descriptors: idle callers lose theirs, one awaiting an answer keeps its own. */
    @Test
    public void loweringTheLimitEvictsIdleConnections() throws Exception {
        try (Socket awaitingAnswer = connect();
                Socket idle = connect()) {
            sendInvite(awaitingAnswer, 1);
            SetUpRequest setUp = nextSetUp();
            while (callers.connectionCount() < 2) {
                Thread.onSpinWait();
            }
            for (long startNs = System.nanoTime(); callers.connectionCount() > 1; ) {
                // A connection counts as idle only after a while, so this is repeated.
                callers.setConnectionLimit(1);
                assertTrue(System.nanoTime() - startNs < 10_000_000_000L, "no connection was closed");
            }
            assertTrue(isEnded(idle));
            assertTrue(callers.send(setUp.connectionId(), "x".getBytes(StandardCharsets.US_ASCII)));
        }
    }

    /** Without a free file descriptor accept fails at once, repeatedly, while the caller waits. */
    @Test
    public void failingAcceptEvictsAnIdleConnectionAndDoesNotSpin() throws Exception {
        try (Socket idle = connect()) {
            while (callers.connectionCount() < 1) {
                Thread.onSpinWait();
            }
            // Less than the 5 s after which a connection without any message is closed anyway.
            idle.setSoTimeout(3000);
            int failures = 60;
            remainingAcceptFailures.set(failures);
            // The accepting thread may still wait in an accept that succeeds. A second connection accepted by that one
            // would be idle too while accept goes on failing, and could be evicted before its set-up is sent.
            for (long startNs = System.nanoTime(); remainingAcceptFailures.get() == failures; Thread.onSpinWait()) {
                assertTrue(System.nanoTime() - startNs < 10_000_000_000L, "accept was not called again");
            }
            try (Socket second = connect()) {
                assertTrue(isEnded(idle), "the idle connection is the one to close for its descriptor");
                sendInvite(second, 1);
                nextSetUp();
                assertEquals(remainingAcceptFailures.get(), 0, "accept did not fail as often as planned");
                long nsPerFailure = (lastAcceptFailureNs - firstAcceptFailureNs) / (failures - 1);
                assertTrue(nsPerFailure > 2_000_000, "accept was retried every " + nsPerFailure + " ns");
            }
        }
    }

    /** An eviction frees a descriptor, so accept fails no more once one of two idle connections is closed. */
    @Test
    public void failingAcceptEvictsTheConnectionThatWasIdleLongest() throws Exception {
        try (Socket idleLonger = connect()) {
            while (callers.connectionCount() < 1) {
                Thread.onSpinWait();
            }
            try (Socket idle = connect()) {
                while (callers.connectionCount() < 2) {
                    Thread.onSpinWait();
                }
                // Less than the 5 s after which a connection without any message is closed anyway.
                idleLonger.setSoTimeout(3000);
                acceptFailsAtTwoConnections = true;
                assertTrue(isEnded(idleLonger), "the connection that was idle longest is the one to close");
                sendInvite(idle, 1);
                nextSetUp();
            }
        }
    }

    private static String burst(int setUpCount) {
        StringBuilder burst = new StringBuilder();
        for (int i = 0; i < setUpCount; i++) {
            burst.append(String.format(
                    "INVITE sip:00000000000000bb@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\nCall-Kind: dear\r\n"
                            + "Answer-Within: 3000\r\nRouting-Data: dest:1\r\nContent-Length: 0\r\n\r\n",
                    i));
        }
        return burst.toString();
    }

    /** What was read has been passed on by then, and reaches no later test. */
    private void awaitNoConnection() throws InterruptedException {
        while (callers.connectionCount() > 0) {
            Thread.sleep(1);
        }
    }

    /** What follows a burst spoils the part that it was read with, not what came before. */
    @Test(timeOut = 30_000)
    public void validSetUpsBeforeAMalformedPartOfABurstArePassedOn() throws Exception {
        send(connect(), burst(40) + "no start line\r\n\r\n");
        assertTrue(setUps.poll(10, TimeUnit.SECONDS) != null, "the part before is passed on");
        awaitNoConnection();
    }

    /** Guards against report 9d16c4, picture (d): set-ups of a client that had left were passed on. */
    @Test(timeOut = 30_000)
    public void aBurstWhoseClientHasLeftIsNotPassedOn() throws Exception {
        Socket socket = connect();
        send(socket, burst(40));
        socket.close();
        // Accepted, read and ended; nothing else tells that the connection was there at all.
        Thread.sleep(100);
        while (callers.connectionCount() > 0) {
            Thread.sleep(1);
        }
        assertEquals(
                setUps.stream()
                        .filter(setUp -> !setUp.cancellation().isCancelled())
                        .count(),
                0);
    }
}
