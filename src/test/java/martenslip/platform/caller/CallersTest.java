package martenslip.platform.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import martenslip.control.Span;
import martenslip.platform.desk.SetUp;
import martenslip.platform.desk.Terms;
import martenslip.sip.message.Request;
import martenslip.sip.transport.Bounds;
import martenslip.sip.transport.Drops;
import martenslip.sip.transport.Writers;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CallersTest {
    private static final Bounds TWO = new Bounds(2, Span.ofMillis(5000), Span.ofMillis(20_000), Span.ofMillis(1500),
            100_000, Span.ofMillis(3000), Span.ofMillis(500));
    private final LinkedBlockingQueue<SetUp> heard = new LinkedBlockingQueue<>();
    private CountDownLatch go;
    private volatile boolean full;
    private Callers callers;
    private InetSocketAddress at;

    @BeforeMethod
    public void open() throws IOException {
        heard.clear();
        full = false;
        go = new CountDownLatch(1);
        callers = new Callers(new Terms(List.of("dear"), 10, Span.ofMillis(9000), Span.ofMillis(20)), TWO,
                new Writers("test", 4), new Drops(), new Callers.Heard() {
                    @Override
                    public boolean setUp(SetUp asked) {
                        return !full && heard.add(asked);
                    }

                    @Override
                    public void request(long line, Request request) {
                        // Not asked here.
                    }

                    @Override
                    public void releaseHeard(String tag) throws InterruptedException {
                        // The deciding thread has no room: the reader waits.
                        go.await();
                    }

                    @Override
                    public void over(long line) {
                        // Counted by the lines themselves.
                    }

                    @Override
                    public boolean ready() {
                        return true;
                    }
                });
        at = new InetSocketAddress(InetAddress.getLoopbackAddress(),
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
        say(socket, "INVITE sip:00000000000000aa@net SIP/2.0\r\nCall-ID: " + String.format("%016x", number)
                + "\r\nCSeq: 1 INVITE\r\nCall-Kind: dear\r\nAnswer-Within: 900\r\nRouting-Data: dest:1\r\n"
                + "Content-Length: 0\r\n\r\n");
    }

    private SetUp next() throws InterruptedException {
        SetUp asked = heard.poll(10, TimeUnit.SECONDS);
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
        try (Socket quiet = line(); Socket owed = line()) {
            invite(owed, 1);
            long waiting = next().line();
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
            try (Socket quiet = line(); Socket third = line()) {
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
        try (Socket one = line(); Socket two = line()) {
            invite(one, 1);
            invite(two, 2);
            next();
            next();
            try (Socket third = line()) {
                assertTrue(ended(third));
                assertEquals(callers.count(), 2);
            }
        }
    }
}
