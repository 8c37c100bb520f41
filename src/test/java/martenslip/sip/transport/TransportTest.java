package martenslip.sip.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import martenslip.control.Span;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

public class TransportTest {
    private static final TransportLimits TIGHT = new TransportLimits(
            2, Span.ofMillis(700), Span.ofMillis(300), 200_000, Span.ofMillis(500), Span.ofMillis(300));
    private LinkedBlockingQueue<TransportEvent> inbox;
    private Transport transport;

    private Transport open() throws IOException {
        return open(TIGHT);
    }

    private Transport open(TransportLimits bounds) throws IOException {
        // Of its own for each test: a connection of the one before may still tell its end.
        LinkedBlockingQueue<TransportEvent> own = new LinkedBlockingQueue<>();
        inbox = own;
        transport = new Transport(
                "test",
                bounds,
                new TransportEventSink() {
                    @Override
                    public boolean offer(TransportEvent arrival) {
                        return own.offer(arrival);
                    }

                    @Override
                    public void put(TransportEvent arrival) throws InterruptedException {
                        own.put(arrival);
                    }
                },
                MessageInterceptor.PASS_THROUGH);
        transport.openUdp(local(0));
        transport.openTcp(local(0));
        return transport;
    }

    @AfterMethod
    public void close() {
        transport.close();
    }

    private static InetSocketAddress local(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(local(transport.port(Hop.Protocol.TCP)));
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static byte[] options(int number, String body) {
        return ("OPTIONS sip:x@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/TCP 10.9.8.7:99;branch=z9hG4bK" + number
                        + ";rport\r\nFrom: <sip:a@h>;tag=1\r\nTo: <sip:b@h>\r\nCall-ID: c\r\nCSeq: " + number
                        + " OPTIONS\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private TransportEvent next() throws InterruptedException {
        TransportEvent arrival = inbox.poll(10, TimeUnit.SECONDS);
        assertTrue(arrival != null, "nothing arrived");
        return arrival;
    }

    private long number() throws InterruptedException, InvalidValueException {
        return ((TransportEvent.MessageReceived) next()).message().cseq().number();
    }

    @Test
    public void severalMessagesInOneWriteAndOneInMany() throws Exception {
        open();
        try (Socket socket = connect()) {
            byte[] one = options(1, "ab");
            byte[] two = options(2, "");
            byte[] both = new byte[one.length + two.length + 4];
            System.arraycopy("\r\n\r\n".getBytes(StandardCharsets.US_ASCII), 0, both, 0, 4);
            System.arraycopy(one, 0, both, 4, one.length);
            System.arraycopy(two, 0, both, 4 + one.length, two.length);
            socket.getOutputStream().write(both);
            assertEquals(number(), 1);
            assertEquals(number(), 2);
            for (byte b : options(3, "xyz")) {
                socket.getOutputStream().write(b);
                socket.getOutputStream().flush();
            }
            assertEquals(number(), 3);
        }
        assertTrue(next() instanceof TransportEvent.ConnectionLost broken && broken.wasEstablished());
    }

    /** Two readers of one stream would each cut its messages out of their own part of it. */
    @Test
    public void aConnectionThatIsUpAtOnceHasOneReader() throws Exception {
        open(TransportLimits.DEFAULTS);
        List<AutoCloseable> far = new ArrayList<>();
        try {
            for (int i = 0; i < 300; i++) {
                ServerSocket one = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                far.add(one);
                assertTrue(transport.send(options(1, ""), Hop.tcp(local(one.getLocalPort()))));
                far.add(one.accept());
            }
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            Map<String, Integer> readers = readers();
            while (readers.size() < 300 && System.nanoTime() < end) {
                readers = readers();
            }
            readers.forEach((connection, count) -> assertEquals(count, 1, connection));
            assertEquals(readers.size(), 300);
        } finally {
            for (AutoCloseable one : far) {
                one.close();
            }
        }
    }

    private static Map<String, Integer> readers() {
        Map<String, Integer> readers = new TreeMap<>();
        Thread.getAllStackTraces().keySet().stream()
                .map(Thread::getName)
                .filter(name -> name.startsWith("test-") && name.contains("-in-"))
                .forEach(name -> readers.merge(name.substring(name.lastIndexOf('-')), 1, Integer::sum));
        return readers;
    }

    @Test
    public void whereARequestCameFromIsNotedAndAnswersGoBackThere() throws Exception {
        open();
        try (Socket socket = connect()) {
            socket.getOutputStream().write(options(1, ""));
            TransportEvent.MessageReceived received = (TransportEvent.MessageReceived) next();
            Request request = (Request) received.message();
            assertEquals(request.via().params().get("received"), "127.0.0.1");
            assertEquals(request.via().params().get("rport"), "" + socket.getLocalPort());
            assertTrue(transport.send("back".getBytes(StandardCharsets.US_ASCII), received.from()));
            assertEquals(new String(socket.getInputStream().readNBytes(4), StandardCharsets.US_ASCII), "back");
        }
    }

    @Test
    public void aMessageThatArrivesTooSlowlyEndsItsConnectionOnly() throws Exception {
        open();
        try (Socket slow = connect();
                Socket other = connect()) {
            slow.getOutputStream().write("OPTIONS sip:x".getBytes(StandardCharsets.US_ASCII));
            other.getOutputStream().write(options(7, ""));
            assertEquals(number(), 7);
            assertTrue(((TransportEvent.ConnectionLost) next()).reason().contains("too long"));
            assertEquals(slow.getInputStream().read(), -1);
            other.getOutputStream().write(options(8, ""));
            assertEquals(number(), 8);
        }
    }

    @Test
    public void idleConnectionsAndThoseOverTheBoundAreClosed() throws Exception {
        open();
        try (Socket one = connect();
                Socket two = connect()) {
            one.getOutputStream().write(options(1, ""));
            two.getOutputStream().write(options(2, ""));
            number();
            number();
            try (Socket three = connect()) {
                assertEquals(three.getInputStream().read(), -1);
            }
            assertEquals((long) transport.dropCounter().counts().get("too many connections"), 1L);
            assertEquals(((TransportEvent.ConnectionLost) next()).reason(), "idle");
        }
    }

    @Test
    public void aPeerThatDoesNotReadIsCutOff() throws Exception {
        open();
        try (Socket socket = connect()) {
            socket.getOutputStream().write(options(1, ""));
            Hop back = ((TransportEvent.MessageReceived) next()).from();
            byte[] block = new byte[50_000];
            boolean sent = true;
            for (int i = 0; i < 2000 && sent; i++) {
                sent = transport.send(block, back) && transport.connectionCount() > 0;
            }
            TransportEvent.ConnectionLost broken = (TransportEvent.ConnectionLost) next();
            assertTrue(broken.reason().contains("peer"), broken.reason());
        }
    }

    @Test
    public void anUnframedStreamAndAnUnreachablePeerAreTold() throws Exception {
        open();
        try (Socket socket = connect()) {
            socket.getOutputStream().write("OPTIONS sip:x SIP/2.0\r\nX: y\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertTrue(((TransportEvent.ConnectionLost) next()).reason().contains("Content-Length"));
        }
        int nobody;
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = taken.getLocalPort();
        }
        transport.send(options(1, ""), Hop.tcp(local(nobody)));
        assertFalse(((TransportEvent.ConnectionLost) next()).wasEstablished());
    }

    @Test
    public void damagedDatagramsEndNothing() throws Exception {
        open();
        try (DatagramSocket socket = new DatagramSocket(local(0))) {
            for (String text : new String[] {"", "\r\n\r\n", "garbage", "SIP/2.0 ", "\0\1\2"}) {
                byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
                socket.send(new DatagramPacket(bytes, bytes.length, local(transport.port(Hop.Protocol.UDP))));
            }
            byte[] good = options(5, "");
            socket.send(new DatagramPacket(good, good.length, local(transport.port(Hop.Protocol.UDP))));
            assertEquals(number(), 5);
        }
    }
}
