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
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Framing, limits and error reports of real sockets on the loopback interface. */
public class TransportTest {
    private static final TransportLimits TIGHT_LIMITS = new TransportLimits(
            2, Span.ofMillis(700), Span.ofMillis(300), 200_000, Span.ofMillis(500), Span.ofMillis(300));
    private LinkedBlockingQueue<TransportEvent> inbox;
    private Transport transport;

    private Transport open() throws IOException {
        return open(TIGHT_LIMITS);
    }

    private Transport open(TransportLimits limits) throws IOException {
        // Each test has its own inbox: a connection of the previous test may still report its end.
        LinkedBlockingQueue<TransportEvent> ownInbox = new LinkedBlockingQueue<>();
        inbox = ownInbox;
        transport = new Transport(
                "test",
                limits,
                new TransportEventSink() {
                    @Override
                    public boolean offer(TransportEvent event) {
                        return ownInbox.offer(event);
                    }

                    @Override
                    public void put(TransportEvent event) throws InterruptedException {
                        ownInbox.put(event);
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

    private static byte[] options(int cseqNumber, String body) {
        return ("OPTIONS sip:x@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/TCP 10.9.8.7:99;branch=z9hG4bK" + cseqNumber
                        + ";rport\r\nFrom: <sip:a@h>;tag=1\r\nTo: <sip:b@h>\r\nCall-ID: c\r\nCSeq: " + cseqNumber
                        + " OPTIONS\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private TransportEvent nextEvent() throws InterruptedException {
        TransportEvent event = inbox.poll(10, TimeUnit.SECONDS);
        assertTrue(event != null, "nothing arrived");
        return event;
    }

    private long nextCseqNumber() throws InterruptedException, InvalidValueException {
        return ((TransportEvent.MessageReceived) nextEvent()).message().cseq().number();
    }

    @Test
    public void framesSeveralMessagesInOneWriteAndOneInMany() throws Exception {
        open();
        try (Socket socket = connect()) {
            byte[] first = options(1, "ab");
            byte[] second = options(2, "");
            byte[] both = new byte[first.length + second.length + 4];
            System.arraycopy("\r\n\r\n".getBytes(StandardCharsets.US_ASCII), 0, both, 0, 4);
            System.arraycopy(first, 0, both, 4, first.length);
            System.arraycopy(second, 0, both, 4 + first.length, second.length);
            socket.getOutputStream().write(both);
            assertEquals(nextCseqNumber(), 1);
            assertEquals(nextCseqNumber(), 2);
            for (byte b : options(3, "xyz")) {
                socket.getOutputStream().write(b);
                socket.getOutputStream().flush();
            }
            assertEquals(nextCseqNumber(), 3);
        }
        assertTrue(nextEvent() instanceof TransportEvent.ConnectionLost lost && lost.wasEstablished());
    }

    /** Two readers of one stream would each frame messages from their own part of it. */
    @Test
    public void immediatelyEstablishedConnectionHasOneReader() throws Exception {
        open(TransportLimits.DEFAULTS);
        List<AutoCloseable> remoteSockets = new ArrayList<>();
        try {
            for (int i = 0; i < 300; i++) {
                ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                remoteSockets.add(listener);
                assertTrue(transport.send(options(1, ""), Hop.tcp(local(listener.getLocalPort()))));
                remoteSockets.add(listener.accept());
            }
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            Map<String, Integer> readers = readerThreadsByConnection();
            while (readers.size() < 300 && System.nanoTime() < deadlineNanos) {
                readers = readerThreadsByConnection();
            }
            readers.forEach((connection, count) -> assertEquals(count, 1, connection));
            assertEquals(readers.size(), 300);
        } finally {
            for (AutoCloseable socket : remoteSockets) {
                socket.close();
            }
        }
    }

    private static Map<String, Integer> readerThreadsByConnection() {
        Map<String, Integer> readers = new TreeMap<>();
        Thread.getAllStackTraces().keySet().stream()
                .map(Thread::getName)
                .filter(name -> name.startsWith("test-") && name.contains("-in-"))
                .forEach(name -> readers.merge(name.substring(name.lastIndexOf('-')), 1, Integer::sum));
        return readers;
    }

    @Test
    public void requestSourceIsRecordedAndResponsesReturnThere() throws Exception {
        open();
        try (Socket socket = connect()) {
            socket.getOutputStream().write(options(1, ""));
            TransportEvent.MessageReceived received = (TransportEvent.MessageReceived) nextEvent();
            Request request = (Request) received.message();
            assertEquals(request.via().params().get("received"), "127.0.0.1");
            assertEquals(request.via().params().get("rport"), "" + socket.getLocalPort());
            assertTrue(transport.send("back".getBytes(StandardCharsets.US_ASCII), received.from()));
            assertEquals(new String(socket.getInputStream().readNBytes(4), StandardCharsets.US_ASCII), "back");
        }
    }

    @Test
    public void slowMessageEndsOnlyItsConnection() throws Exception {
        open();
        try (Socket slow = connect();
                Socket other = connect()) {
            slow.getOutputStream().write("OPTIONS sip:x".getBytes(StandardCharsets.US_ASCII));
            other.getOutputStream().write(options(7, ""));
            assertEquals(nextCseqNumber(), 7);
            assertTrue(((TransportEvent.ConnectionLost) nextEvent()).reason().contains("too long"));
            assertEquals(slow.getInputStream().read(), -1);
            other.getOutputStream().write(options(8, ""));
            assertEquals(nextCseqNumber(), 8);
        }
    }

    @Test
    public void idleAndExcessConnectionsAreClosed() throws Exception {
        open();
        try (Socket first = connect();
                Socket second = connect()) {
            first.getOutputStream().write(options(1, ""));
            second.getOutputStream().write(options(2, ""));
            nextCseqNumber();
            nextCseqNumber();
            try (Socket third = connect()) {
                assertEquals(third.getInputStream().read(), -1);
            }
            assertEquals((long) transport.dropCounter().counts().get("too many connections"), 1L);
            assertEquals(((TransportEvent.ConnectionLost) nextEvent()).reason(), "idle");
        }
    }

    @Test
    public void peerThatDoesNotReadIsDisconnected() throws Exception {
        open();
        try (Socket socket = connect()) {
            socket.getOutputStream().write(options(1, ""));
            Hop returnHop = ((TransportEvent.MessageReceived) nextEvent()).from();
            byte[] block = new byte[50_000];
            boolean sent = true;
            for (int i = 0; i < 2000 && sent; i++) {
                sent = transport.send(block, returnHop) && transport.connectionCount() > 0;
            }
            TransportEvent.ConnectionLost lost = (TransportEvent.ConnectionLost) nextEvent();
            assertTrue(lost.reason().contains("peer"), lost.reason());
        }
    }

    @Test
    public void unframedStreamAndUnreachablePeerAreReported() throws Exception {
        open();
        try (Socket socket = connect()) {
            socket.getOutputStream().write("OPTIONS sip:x SIP/2.0\r\nX: y\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertTrue(((TransportEvent.ConnectionLost) nextEvent()).reason().contains("Content-Length"));
        }
        int closedPort;
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedPort = listener.getLocalPort();
        }
        transport.send(options(1, ""), Hop.tcp(local(closedPort)));
        assertFalse(((TransportEvent.ConnectionLost) nextEvent()).wasEstablished());
    }

    @Test
    public void damagedDatagramsAreIgnored() throws Exception {
        open();
        try (DatagramSocket socket = new DatagramSocket(local(0))) {
            for (String text : new String[] {"", "\r\n\r\n", "garbage", "SIP/2.0 ", "\0\1\2"}) {
                byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
                socket.send(new DatagramPacket(bytes, bytes.length, local(transport.port(Hop.Protocol.UDP))));
            }
            byte[] validRequest = options(5, "");
            socket.send(new DatagramPacket(validRequest, validRequest.length, local(transport.port(Hop.Protocol.UDP))));
            assertEquals(nextCseqNumber(), 5);
        }
    }

    /** Several requests time out at once: the first closes their connection, the others must not close the next one. */
    @Test
    public void anUnansweredRequestClosesTheConnectionThatCarriedItAndNotItsSuccessor() throws Exception {
        Transport sender = open();
        try (ServerSocket silentPeer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            Hop hop = Hop.tcp((InetSocketAddress) silentPeer.getLocalSocketAddress());
            Moment sentAt = new Moment(System.nanoTime());
            sender.send(options(1, ""), hop);
            Socket accepted = silentPeer.accept();
            accepted.getInputStream().readNBytes(options(1, "").length);
            sender.requestUnanswered(hop, new Moment(sentAt.ns() - 60_000_000_000L));
            assertEquals(sender.connectionCount(), 1);
            sender.requestUnanswered(hop, new Moment(System.nanoTime()));
            assertEquals(sender.connectionCount(), 0);
            assertTrue(nextEvent() instanceof TransportEvent.ConnectionLost);
        }
    }

    /** Guards against responses that are queued when the process ends and never leave (related path of review/3). */
    @Test(timeOut = 30_000)
    public void closingWritesWhatIsQueued() throws Exception {
        open(TransportLimits.DEFAULTS);
        try (Socket socket = connect()) {
            socket.getOutputStream().write(options(1, ""));
            Hop peer = ((TransportEvent.MessageReceived) nextEvent()).from();
            byte[] message = new byte[4096];
            int messageCount = 200;
            for (int i = 0; i < messageCount; i++) {
                assertTrue(transport.send(message, peer));
            }
            Thread closer = new Thread(transport::close);
            closer.start();
            assertEquals(socket.getInputStream().readAllBytes().length, messageCount * message.length);
            closer.join();
        }
    }
}
