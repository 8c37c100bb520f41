package martenslip.sip.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import martenslip.control.Span;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What connections have read and not handed on, while whoever takes their messages has no room. */
public class ReadBudgetTest {
    private static final int CONNECTIONS = 6;
    private static final int INITIAL_BUFFER_BYTES = 1024;
    private static final int MAX_MESSAGE_BYTES = 16 * 1024;
    private static final int QUIET_MS = 300;

    private final List<Socket> sockets = new ArrayList<>();
    private ServerSocket listener;
    private CountDownLatch room;
    private Semaphore received;
    private AtomicInteger waiting;

    @BeforeMethod
    public void listen() throws IOException {
        listener = new ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress());
        room = new CountDownLatch(1);
        received = new Semaphore(0);
        waiting = new AtomicInteger();
    }

    @AfterMethod
    public void close() throws IOException {
        room.countDown();
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.clear();
        listener.close();
    }

    /** Opens connections that share the budget; their messages find no room until {@link #room} is open. */
    private void openConnections(ReadBudget budget, byte[] input) throws IOException {
        TransportLimits limits = new TransportLimits(
                CONNECTIONS,
                Span.ofMillis(20_000),
                Span.ofMillis(20_000),
                Span.ofMillis(10_000),
                1 << 20,
                Span.ofMillis(3000),
                Span.ofMillis(500),
                UnsentBudget.UNLIMITED,
                budget);
        ConnectionThreadPool threadPool = new ConnectionThreadPool("test", 2);
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket client = new Socket(InetAddress.getLoopbackAddress(), listener.getLocalPort());
            sockets.add(client);
            Socket socket = listener.accept();
            sockets.add(socket);
            new Connection(
                            i + 1,
                            socket,
                            (InetSocketAddress) socket.getRemoteSocketAddress(),
                            true,
                            limits,
                            new BlockingListener(),
                            new ContentLengthFramer(MAX_MESSAGE_BYTES, INITIAL_BUFFER_BYTES, true),
                            threadPool)
                    .start("test");
            client.getOutputStream().write(input);
        }
    }

    private final class BlockingListener implements Connection.Listener {
        @Override
        public void messageReceived(Connection connection, byte[] message) throws InterruptedException {
            waiting.incrementAndGet();
            room.await();
            received.release();
        }

        @Override
        public void ended(Connection connection, String reason) {
            // The tests end the connections.
        }
    }

    private static byte[] message(int bodyBytes) {
        return ("INVITE sip:a@net SIP/2.0\r\nCall-ID: a\r\nContent-Length: " + bodyBytes + "\r\n\r\n"
                        + "v".repeat(bodyBytes))
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] burst(int count, int bodyBytes) {
        byte[] message = message(bodyBytes);
        byte[] burst = new byte[count * message.length];
        for (int i = 0; i < count; i++) {
            System.arraycopy(message, 0, burst, i * message.length, message.length);
        }
        return burst;
    }

    private static void awaitValue(AtomicInteger value, int expected) throws InterruptedException {
        for (int i = 0; i < 500 && value.get() < expected; i++) {
            Thread.sleep(10);
        }
        Thread.sleep(QUIET_MS);
        assertEquals(value.get(), expected);
    }

    /**
     * Guards against review/6: the share for reading ahead was given back at the end of the reading, while what was read
     * still waited to be handed on, so each of hundreds of connections came to hold 128 KiB.
     */
    @Test(timeOut = 30_000)
    public void aBurstReadAheadIsCountedUntilItIsHandedOn() throws Exception {
        ReadBudget budget = new ReadBudget(1 << 20, 1 << 20, 2 * ReadBudget.MAX_READ_AHEAD_BYTES);
        openConnections(budget, burst(200, 200));
        awaitValue(waiting, CONNECTIONS);
        assertEquals(budget.beginReadAhead(), false, "a third burst may be read ahead");
        room.countDown();
        assertTrue(received.tryAcquire(CONNECTIONS * 200, 10, TimeUnit.SECONDS));
        for (int i = 0; i < 500 && !budget.beginReadAhead(); i++) {
            Thread.sleep(10);
        }
        budget.endReadAhead();
    }

    /** Guards against large messages of many connections that are copied and parsed at the same time (review/6). */
    @Test(timeOut = 30_000)
    public void largeMessagesAreHandedOnWithinTheirShare() throws Exception {
        int twoMessages = 2 * 4 * (MAX_MESSAGE_BYTES + 4096);
        openConnections(new ReadBudget(1 << 20, twoMessages, 0), message(12_000));
        for (int i = 0; i < 500 && waiting.get() < 2; i++) {
            Thread.sleep(10);
        }
        Thread.sleep(QUIET_MS);
        assertTrue(waiting.get() >= 2 && waiting.get() <= 3, "handed on at once: " + waiting);
        room.countDown();
        assertTrue(received.tryAcquire(CONNECTIONS, 10, TimeUnit.SECONDS));
    }

    /** Small messages need no share, so they are handed on while large ones wait. */
    @Test(timeOut = 30_000)
    public void smallMessagesDoNotWaitForTheShareOfLargeOnes() throws Exception {
        ReadBudget budget = new ReadBudget(MAX_MESSAGE_BYTES + 4096, 1, 0);
        assertTrue(budget.tryReserveBuffer(MAX_MESSAGE_BYTES + 4096));
        openConnections(budget, message(300));
        awaitValue(waiting, CONNECTIONS);
    }

    /** A connection waits for a large buffer, is served once there is room, and gives the buffer back. */
    @Test(timeOut = 30_000)
    public void aLargeMessageWaitsForItsBuffer() throws Exception {
        int oneBuffer = MAX_MESSAGE_BYTES + 4096;
        ReadBudget budget = new ReadBudget(oneBuffer, 1 << 20, 0);
        assertTrue(budget.tryReserveBuffer(oneBuffer));
        openConnections(budget, message(12_000));
        Thread.sleep(QUIET_MS);
        assertEquals(waiting.get(), 0);
        room.countDown();
        budget.releaseBuffer(oneBuffer);
        assertTrue(received.tryAcquire(CONNECTIONS, 10, TimeUnit.SECONDS));
        assertTrue(budget.reserveBuffer(oneBuffer, TimeUnit.SECONDS.toNanos(10)));
    }
}
