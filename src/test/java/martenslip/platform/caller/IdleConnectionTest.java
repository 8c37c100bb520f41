package martenslip.platform.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import martenslip.control.Span;
import martenslip.platform.GatedSockets.Gate;
import martenslip.platform.contact.ContactSettings;
import martenslip.platform.contact.SetUpRequest;
import martenslip.sip.message.Request;
import martenslip.sip.transport.ConnectionThreadPool;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.TransportLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Which connections count as idle for each occasion to close one, at a limit of one connection. Writes and reads of the
 * callers' sockets are held at gates, and the clock is advanced by the test.
 */
public class IdleConnectionTest {
    private static final String CALL_ID = "00000000000000c1";
    private static final byte[] RESPONSE = "SIP/2.0 ".getBytes(StandardCharsets.US_ASCII);
    private static final int ACCEPT_FAILURES = 20;

    /** An occasion to close an idle connection. */
    enum Occasion {
        NEW_CONNECTION,
        FAILED_ACCEPT,
        GRACEFUL_CLOSE
    }

    // New for each test: a connection of the previous one may still report its end.
    private LinkedBlockingQueue<SetUpRequest> setUps;
    private LinkedBlockingQueue<String> requests;
    private AtomicInteger remainingAcceptFailures;
    private AtomicInteger readTimeouts;
    private AtomicInteger endedConnections;
    private Gate write;
    private Gate afterRead;
    /** Stands still unless a test advances it. */
    private AtomicLong clockNs;

    private volatile boolean hasRoom;
    private CallerConnections callers;
    private InetSocketAddress address;

    @BeforeMethod
    public void reset() {
        setUps = new LinkedBlockingQueue<>();
        requests = new LinkedBlockingQueue<>();
        remainingAcceptFailures = new AtomicInteger();
        readTimeouts = new AtomicInteger();
        endedConnections = new AtomicInteger();
        clockNs = new AtomicLong();
        write = new Gate();
        afterRead = new Gate();
        hasRoom = true;
    }

    private void open(int maxConnections, Span idleTimeout, Span writeStallTimeout) throws IOException {
        callers = new CallerConnections(
                new ContactSettings(List.of("dear"), 10, Span.ofMillis(9000), Span.ofMillis(20)),
                new TransportLimits(
                        maxConnections,
                        Span.ofMillis(5000),
                        idleTimeout,
                        Span.ofMillis(1500),
                        100_000,
                        writeStallTimeout,
                        Span.ofMillis(500)),
                new ConnectionThreadPool("test", 4),
                new DropCounter(),
                new RecordingListener(),
                new GatedServerSocket(),
                clockNs::get);
        address = new InetSocketAddress(
                InetAddress.getLoopbackAddress(),
                callers.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    }

    private void open() throws IOException {
        open(1, Span.ofMillis(20_000), Span.ofMillis(20_000));
    }

    @AfterMethod
    public void close() throws IOException {
        write.open();
        afterRead.open();
        callers.close();
    }

    private final class RecordingListener implements CallerConnections.Listener {
        private final LinkedBlockingQueue<SetUpRequest> ownSetUps = setUps;
        private final LinkedBlockingQueue<String> ownRequests = requests;
        private final AtomicInteger ownEndedConnections = endedConnections;

        @Override
        public boolean setUpReceived(SetUpRequest setUp) {
            ownSetUps.add(setUp);
            return hasRoom;
        }

        @Override
        public void requestReceived(long connectionId, Request request) {
            ownRequests.add(request.method() + " " + request.callId());
        }

        @Override
        public void releaseAnswered(long connectionId, String tag, boolean knowsContact) {
            ownRequests.add("released " + tag);
        }

        @Override
        public void connectionEnded(long connectionId) {
            ownEndedConnections.incrementAndGet();
        }

        @Override
        public boolean isReady() {
            return true;
        }
    }

    /** Accepts sockets whose writes, and returns from reads, pass a gate. */
    private final class GatedServerSocket extends ServerSocket {
        private final AtomicInteger ownAcceptFailures = remainingAcceptFailures;

        GatedServerSocket() throws IOException {
            // Not bound yet.
        }

        @Override
        public Socket accept() throws IOException {
            if (ownAcceptFailures.get() > 0) {
                ownAcceptFailures.decrementAndGet();
                throw new SocketException("Too many open files");
            }
            Socket socket = new GatedSocket();
            implAccept(socket);
            return socket;
        }
    }

    private final class GatedSocket extends Socket {
        private final Gate ownWrite = write;
        private final Gate ownAfterRead = afterRead;
        private final AtomicInteger ownReadTimeouts = readTimeouts;

        @Override
        public InputStream getInputStream() throws IOException {
            return new FilterInputStream(super.getInputStream()) {
                @Override
                public int read(byte[] buffer, int offset, int length) throws IOException {
                    try {
                        int bytesRead = in.read(buffer, offset, length);
                        ownAfterRead.pass();
                        return bytesRead;
                    } catch (SocketTimeoutException e) {
                        ownReadTimeouts.incrementAndGet();
                        throw e;
                    }
                }
            };
        }

        @Override
        public OutputStream getOutputStream() throws IOException {
            return ownWrite.guard(super.getOutputStream());
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void send(Socket socket, String method, String headers) throws IOException {
        String message = method + " sip:00000000000000aa@net SIP/2.0\r\nCall-ID: " + CALL_ID + "\r\nCSeq: 1 " + method
                + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
        socket.getOutputStream().write(message.getBytes(StandardCharsets.US_ASCII));
    }

    private static void sendInvite(Socket socket) throws IOException {
        send(socket, "INVITE", "Call-Kind: dear\r\nAnswer-Within: 900\r\nRouting-Data: dest:1\r\n");
    }

    private SetUpRequest nextSetUp() throws InterruptedException {
        SetUpRequest setUp = setUps.poll(10, TimeUnit.SECONDS);
        assertTrue(setUp != null, "no set-up was received");
        return setUp;
    }

    /** Sends a set-up; once it was received, the caller's last input is older than the time after which it is idle. */
    private SetUpRequest receiveOldSetUp(Socket caller) throws Exception {
        sendInvite(caller);
        SetUpRequest setUp = nextSetUp();
        advanceClock(Span.ofMillis(1500));
        return setUp;
    }

    private void advanceClock(Span span) {
        clockNs.addAndGet(span.ns());
    }

    private static boolean isEnded(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    private static void assertResponseIsReceived(Socket socket) throws IOException {
        assertEquals(
                new String(socket.getInputStream().readNBytes(RESPONSE.length), StandardCharsets.US_ASCII),
                new String(RESPONSE, StandardCharsets.US_ASCII),
                "the response was lost");
    }

    /** Gives the connections one or more chances to be closed, and returns after that. */
    private void seekRoom(Occasion occasion) throws Exception {
        switch (occasion) {
            case NEW_CONNECTION -> {
                try (Socket newConnection = connect()) {
                    send(newConnection, "OPTIONS", "");
                    newConnection.getInputStream().read();
                } catch (SocketException e) {
                    // It was refused as no room was made for it.
                    return;
                }
            }
            case FAILED_ACCEPT -> {
                remainingAcceptFailures.set(ACCEPT_FAILURES);
                try (Socket newConnection = connect()) {
                    // The accepting thread may still wait in an accept that succeeds.
                    for (long startNs = System.nanoTime(); remainingAcceptFailures.get() > 0; Thread.onSpinWait()) {
                        assertTrue(System.nanoTime() - startNs < 10_000_000_000L, "accept was not called again");
                    }
                }
            }
            case GRACEFUL_CLOSE -> callers.closeGracefully(Span.ofMillis(600));
        }
    }

    /** Waits for the response to reach the closed gate, seeks room, and checks that the response still arrives. */
    private void assertUnwrittenResponseOutlasts(Occasion occasion, Socket caller) throws Exception {
        write.awaitWaiting(1);
        seekRoom(occasion);
        write.open();
        assertResponseIsReceived(caller);
    }

    @DataProvider
    public Object[][] occasions() {
        return new Object[][] {{Occasion.NEW_CONNECTION}, {Occasion.FAILED_ACCEPT}, {Occasion.GRACEFUL_CLOSE}};
    }

    /** Guards against an answer that waits to be written and is discarded by an eviction (review/3). */
    @Test(dataProvider = "occasions", timeOut = 30_000)
    public void anAnswerThatIsNotWrittenYetIsNotDiscarded(Occasion occasion) throws Exception {
        open();
        try (Socket caller = connect()) {
            SetUpRequest setUp = receiveOldSetUp(caller);
            write.close();
            assertTrue(callers.sendAnswer(setUp.connectionId(), setUp.tag(), RESPONSE));
            assertUnwrittenResponseOutlasts(occasion, caller);
        }
    }

    /** Guards against a refusal that waits to be written and is discarded by an eviction (review/3). */
    @Test(dataProvider = "occasions", timeOut = 30_000)
    public void aRefusalThatIsNotWrittenYetIsNotDiscarded(Occasion occasion) throws Exception {
        open();
        try (Socket caller = connect()) {
            SetUpRequest setUp = receiveOldSetUp(caller);
            write.close();
            callers.sendRefusal(setUp.connectionId(), setUp.tag(), RESPONSE);
            assertUnwrittenResponseOutlasts(occasion, caller);
        }
    }

    /** Guards against the refusal by a reading thread being discarded (review/3, no room in the inbox). */
    @Test(dataProvider = "occasions", timeOut = 30_000)
    public void aRefusalByTheReadingThreadIsNotDiscarded(Occasion occasion) throws Exception {
        open();
        hasRoom = false;
        write.close();
        try (Socket caller = connect()) {
            sendInvite(caller);
            write.awaitWaiting(1);
            advanceClock(Span.ofMillis(1500));
            assertUnwrittenResponseOutlasts(occasion, caller);
        }
    }

    /** Guards against a call that is answered and cut before its ACK was read, as its connection is closed (review/3). */
    @Test(dataProvider = "occasions", timeOut = 30_000)
    public void aConnectionIsNotClosedBeforeTheAckWasRead(Occasion occasion) throws Exception {
        open();
        try (Socket caller = connect()) {
            SetUpRequest setUp = receiveOldSetUp(caller);
            callers.sendAnswer(setUp.connectionId(), setUp.tag(), RESPONSE);
            assertResponseIsReceived(caller);
            seekRoom(occasion);
            assertEquals(endedConnections.get(), 0, "closed before the ACK");
            send(caller, "ACK", "");
            assertEquals(requests.poll(10, TimeUnit.SECONDS), "ACK " + CALL_ID);
            awaitSettled();
            advanceClock(Span.ofMillis(500));
            seekRoom(occasion);
            assertTrue(isEnded(caller), "idle connections have to be closed");
        }
    }

    /** A caller that never sends its ACK must not keep its connection for ever. */
    @Test(dataProvider = "occasions", timeOut = 30_000)
    public void anAckThatNeverComesIsAwaitedForALimitedTime(Occasion occasion) throws Exception {
        open();
        try (Socket caller = connect()) {
            sendInvite(caller);
            SetUpRequest setUp = nextSetUp();
            callers.sendAnswer(setUp.connectionId(), setUp.tag(), RESPONSE);
            assertResponseIsReceived(caller);
            // Again where the writing thread has not noted the end of its write yet.
            while (endedConnections.get() == 0) {
                advanceClock(ConnectionActivity.ACK_TIMEOUT.plus(Span.ofMillis(1)));
                seekRoom(occasion);
            }
            assertTrue(isEnded(caller));
        }
    }

    /** Guards against a set-up that was read but not marked as being handled when its connection is closed (review/3). */
    @Test(dataProvider = "occasions", timeOut = 30_000)
    public void aSetUpThatWasReadButNotMarkedYetIsNotOverlooked(Occasion occasion) throws Exception {
        open();
        afterRead.close();
        try (Socket caller = connect()) {
            sendInvite(caller);
            afterRead.awaitWaiting(1);
            advanceClock(Span.ofMillis(1500));
            seekRoom(occasion);
            assertEquals(endedConnections.get(), 0, "closed with a set-up that was read");
            afterRead.open();
            nextSetUp();
        }
    }

    /** A peer that does not read must not keep its connection for ever, though its answer was never written. */
    @Test(timeOut = 30_000)
    public void aConnectionWhosePeerDoesNotReadIsClosed() throws Exception {
        open(1, Span.ofMillis(20_000), Span.ofMillis(100));
        try (Socket caller = connect()) {
            sendInvite(caller);
            SetUpRequest setUp = nextSetUp();
            write.close();
            callers.sendAnswer(setUp.connectionId(), setUp.tag(), RESPONSE);
            write.awaitWaiting(1);
            try (Socket newConnection = connect()) {
                assertTrue(isEnded(caller));
                assertTrue(newConnection.isConnected());
            }
        }
    }

    /** Guards against the idle timeout ending a connection whose set-up is still open (related path of review/3). */
    @Test(timeOut = 30_000)
    public void anOpenSetUpOutlastsTheIdleTimeout() throws Exception {
        open(1, Span.ofMillis(50), Span.ofMillis(20_000));
        try (Socket caller = connect()) {
            sendInvite(caller);
            SetUpRequest setUp = nextSetUp();
            while (readTimeouts.get() < 2) {
                assertEquals(endedConnections.get(), 0, "ended with an open set-up");
            }
            callers.sendRefusal(setUp.connectionId(), setUp.tag(), RESPONSE);
            assertResponseIsReceived(caller);
            assertTrue(isEnded(caller), "an idle connection has to be closed");
        }
    }

    /** Guards against answers that wait to be written and are discarded as the limit is lowered (review/3). */
    @Test(timeOut = 30_000)
    public void loweringTheLimitDiscardsNoAnswer() throws Exception {
        open(2, Span.ofMillis(20_000), Span.ofMillis(20_000));
        try (Socket caller = connect();
                Socket otherCaller = connect()) {
            sendInvite(caller);
            sendInvite(otherCaller);
            List<SetUpRequest> open = List.of(nextSetUp(), nextSetUp());
            advanceClock(Span.ofMillis(1500));
            write.close();
            open.forEach(setUp -> callers.sendAnswer(setUp.connectionId(), setUp.tag(), RESPONSE));
            write.awaitWaiting(2);
            callers.setConnectionLimit(1);
            write.open();
            assertResponseIsReceived(caller);
            assertResponseIsReceived(otherCaller);
        }
    }

    /** Waits until the reading and the writing thread have finished with what they were handling. */
    private void awaitSettled() {
        for (long startNs = System.nanoTime(); callers.hasPendingWork(); Thread.onSpinWait()) {
            assertTrue(System.nanoTime() - startNs < 10_000_000_000L, "work is still pending");
        }
    }

    /** Sends a set-up that is refused and reads the refusal; returns the connection's id. */
    private long inviteAndRefuse(Socket caller) throws Exception {
        sendInvite(caller);
        SetUpRequest setUp = nextSetUp();
        callers.sendRefusal(setUp.connectionId(), setUp.tag(), RESPONSE);
        assertResponseIsReceived(caller);
        return setUp.connectionId();
    }

    /** Guards against connections that are never idle, as they ask again after each refusal, and keep all others out (review/8). */
    @Test(timeOut = 30_000)
    public void aConnectionThatWasOnlyRefusedGivesWayThoughItIsNotIdle() throws Exception {
        open();
        try (Socket refused = connect()) {
            long refusedId = inviteAndRefuse(refused);
            try (Socket newcomer = connect()) {
                sendInvite(newcomer);
                assertTrue(nextSetUp().connectionId() != refusedId);
                assertTrue(isEnded(refused));
            }
        }
    }

    /** The twin: what has had a call is not displaced by what has not. */
    @Test(timeOut = 30_000)
    public void aConnectionThatHasHadACallDoesNotGiveWayUntilItIsIdle() throws Exception {
        open();
        try (Socket served = connect()) {
            sendInvite(served);
            SetUpRequest setUp = nextSetUp();
            callers.sendAnswer(setUp.connectionId(), setUp.tag(), RESPONSE);
            assertResponseIsReceived(served);
            send(served, "ACK", "");
            assertEquals(requests.poll(10, TimeUnit.SECONDS), "ACK " + CALL_ID);
            inviteAndRefuse(served);
            try (Socket newcomer = connect()) {
                assertTrue(isEnded(newcomer), "room was made for it");
                assertTrue(callers.send(setUp.connectionId(), RESPONSE));
            }
        }
    }

    /** A set-up that is open is answered before its connection gives way, whatever came before. */
    @Test(timeOut = 30_000)
    public void aConnectionThatWasOnlyRefusedKeepsItsOpenSetUp() throws Exception {
        open();
        try (Socket refused = connect()) {
            inviteAndRefuse(refused);
            sendInvite(refused);
            SetUpRequest open = nextSetUp();
            try (Socket newcomer = connect()) {
                assertTrue(isEnded(newcomer), "room was made for it");
                callers.sendRefusal(open.connectionId(), open.tag(), RESPONSE);
                assertResponseIsReceived(refused);
            }
        }
    }
}
