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

public class CallerConnectionsTest {
    private static final TransportLimits TWO = new TransportLimits(
            2,
            Span.ofMillis(5000),
            Span.ofMillis(20_000),
            Span.ofMillis(1500),
            100_000,
            Span.ofMillis(3000),
            Span.ofMillis(500));
    private final LinkedBlockingQueue<SetUpRequest> heard = new LinkedBlockingQueue<>();
    private CountDownLatch go;
    private volatile boolean full;
    private AtomicInteger broken;
    private ServerSocket listener;
    private CallerConnections callers;
    private InetSocketAddress at;

    @BeforeMethod
    public void open() throws IOException {
        heard.clear();
        full = false;
        go = new CountDownLatch(1);
        broken = new AtomicInteger();
        listener = new ServerSocket() {
            @Override
            public Socket accept() throws IOException {
                if (broken.get() > 0) {
                    broken.decrementAndGet();
                    throw new SocketException("Too many open files");
                }
                return super.accept();
            }
        };
        callers = new CallerConnections(
                new ContactSettings(List.of("dear"), 10, Span.ofMillis(9000), Span.ofMillis(20)),
                TWO,
                new ConnectionThreadPool("test", 4),
                new DropCounter(),
                new CallerConnections.Listener() {
                    @Override
                    public boolean setUpReceived(SetUpRequest asked) {
                        return !full && heard.add(asked);
                    }

                    @Override
                    public void requestReceived(long line, Request request) {
                        // Not asked here.
                    }

                    @Override
                    public void releaseAcknowledged(String tag) throws InterruptedException {
                        // The deciding thread has no room: the reader waits.
                        go.await();
                    }

                    @Override
                    public void connectionEnded(long line) {
                        // Counted by the lines themselves.
                    }

                    @Override
                    public boolean isReady() {
                        return true;
                    }
                },
                listener);
        at = new InetSocketAddress(
                InetAddress.getLoopbackAddress(),
                callers.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    }

    @AfterMethod
    public void close() throws IOException {
        go.countDown();
        callers.close();
    }

    private Socket line() throws IOException {
        Socket socket = new Socket(at.getAddress(), at.getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void say(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void invite(Socket socket, int number) throws IOException {
        say(
                socket,
                "INVITE sip:00000000000000aa@net SIP/2.0\r\nCall-ID: " + String.format("%016x", number)
                        + "\r\nCSeq: 1 INVITE\r\nCall-Kind: dear\r\nAnswer-Within: 900\r\nRouting-Data: dest:1\r\n"
                        + "Content-Length: 0\r\n\r\n");
    }

    private SetUpRequest next() throws InterruptedException {
        SetUpRequest asked = heard.poll(10, TimeUnit.SECONDS);
        assertTrue(asked != null, "no set-up came");
        return asked;
    }

    private static boolean ended(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    @Test
    public void aQuietLineMakesRoomAndOneThatIsOwedAnAnswerDoesNot() throws Exception {
        try (Socket quiet = line();
                Socket owed = line()) {
            invite(owed, 1);
            long waiting = next().connectionId();
            try (Socket third = line()) {
                invite(third, 2);
                next();
                assertTrue(ended(quiet));
                assertTrue(callers.send(waiting, "x".getBytes()));
            }
        }
    }

    /** On the crowd's day readers came late and lines were ended with a set-up in them that nobody had read. */
    @Test
    public void aLineOfWhichSomethingWaitsToBeReadIsNotEnded() throws Exception {
        try (Socket unread = line()) {
            say(unread, "SIP/2.0 200 OK\r\nCall-ID: 0000000000000009\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n");
            invite(unread, 1);
            try (Socket quiet = line();
                    Socket third = line()) {
                assertTrue(ended(quiet));
                invite(third, 2);
                assertEquals(next().tag(), String.format("%016x", 2));
                go.countDown();
                assertEquals(next().tag(), String.format("%016x", 1));
            }
        }
    }

    @Test
    public void whereAllAreOwedAnAnswerOnlyTheNewOneIsEnded() throws Exception {
        try (Socket one = line();
                Socket two = line()) {
            invite(one, 1);
            invite(two, 2);
            next();
            next();
            try (Socket third = line()) {
                assertTrue(ended(third));
                assertEquals(callers.connectionCount(), 2);
            }
        }
    }

    /** What comes while the connections are ended has an owner: it is read, handed up and answered before its own is. */
    @Test
    public void hangingUpWaitsForWhatItsReaderIsAmidOf() throws Exception {
        try (Socket unread = line();
                Socket quiet = line()) {
            say(unread, "SIP/2.0 200 OK\r\nCall-ID: 0000000000000009\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n");
            invite(unread, 1);
            say(quiet, "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: t\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n");
            assertTrue(quiet.getInputStream().read() == 'S');
            while (callers.connectionCount() < 2) {
                Thread.onSpinWait();
            }
            Thread ends = new Thread(() -> callers.closeGracefully(Span.ofMillis(20_000)));
            ends.start();
            while (quiet.getInputStream().read() >= 0) {
                // The rest of its answer, then the end.
            }
            assertEquals(heard.size(), 0);
            go.countDown();
            SetUpRequest asked = next();
            assertTrue(callers.send(asked.connectionId(), "bye".getBytes(StandardCharsets.US_ASCII)));
            callers.contactAnswered(asked.connectionId(), asked.tag());
            assertEquals(new String(unread.getInputStream().readNBytes(3), StandardCharsets.US_ASCII), "bye");
            assertTrue(ended(unread));
            ends.join(10_000);
            assertTrue(!ends.isAlive() && listener.isClosed());
        }
    }

    /** Where there is no room for it its caller hears so at once, and its reader goes on to what comes next. */
    @Test
    public void aSetUpThatFindsNoRoomIsRefusedByItsReader() throws Exception {
        full = true;
        try (Socket socket = line()) {
            invite(socket, 1);
            byte[] status = socket.getInputStream().readNBytes(11);
            assertEquals(new String(status, StandardCharsets.US_ASCII), "SIP/2.0 503");
            full = false;
            invite(socket, 2);
            assertEquals(next().tag(), String.format("%016x", 2));
        }
    }

    @Test
    public void theReaderMarksWhoCancelsAndWhoLeavesBeforeAnybodyIsTold() throws Exception {
        try (Socket socket = line()) {
            invite(socket, 1);
            invite(socket, 2);
            SetUpRequest cancelled = next();
            SetUpRequest left = next();
            assertTrue(!cancelled.cancellation().isCancelled());
            say(
                    socket,
                    "CANCEL sip:00000000000000aa@net SIP/2.0\r\nCall-ID: " + cancelled.tag()
                            + "\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n");
            waits(cancelled);
            assertTrue(!left.cancellation().isCancelled());
            socket.close();
            waits(left);
        }
    }

    private static void waits(SetUpRequest asked) {
        for (long begun = System.nanoTime(); !asked.cancellation().isCancelled(); Thread.onSpinWait()) {
            assertTrue(System.nanoTime() - begun < 10_000_000_000L, "never marked");
        }
    }

    /** A list that grows needs descriptors: quiet callers give theirs, one that is owed an answer keeps its own. */
    @Test
    public void fewerAllowedEndsQuietOnesAtOnce() throws Exception {
        try (Socket owed = line();
                Socket quiet = line()) {
            invite(owed, 1);
            SetUpRequest asked = next();
            while (callers.connectionCount() < 2) {
                Thread.onSpinWait();
            }
            for (long begun = System.nanoTime(); callers.connectionCount() > 1; ) {
                // It counts as quiet once it has been so for longer than a reader may be late.
                callers.setConnectionLimit(1);
                assertTrue(System.nanoTime() - begun < 10_000_000_000L, "none was ended");
            }
            assertTrue(ended(quiet));
            assertTrue(callers.send(asked.connectionId(), "x".getBytes(StandardCharsets.US_ASCII)));
        }
    }

    /** No descriptor to be had: accept fails at once and again, the caller waits. Room is made, and nothing spins. */
    @Test
    public void acceptThatFailsMakesRoomAndDoesNotSpin() throws Exception {
        try (Socket quiet = line()) {
            while (callers.connectionCount() < 1) {
                Thread.onSpinWait();
            }
            // Under the 5 s after which one that says nothing is ended in any case.
            quiet.setSoTimeout(3000);
            int often = 60;
            broken.set(often);
            long begun = System.nanoTime();
            try (Socket second = line()) {
                assertTrue(ended(quiet), "the quiet one's descriptor is the one to be had");
                invite(second, 1);
                next();
                long each = (System.nanoTime() - begun) / often;
                assertTrue(each > 2_000_000, "a try each " + each + " ns");
            }
        }
    }
}
