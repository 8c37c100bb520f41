package martenslip.standin;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.atomic.LongAdder;
import martenslip.control.Span;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * A caller that costs little: it dials at a steady rate over one datagram socket, holds each contact for the same
 * span and hangs up, without transactions. For measuring controllers only. Two threads; {@link #run} is one of them.
 */
public final class CallGenerator implements AutoCloseable {
    /** Every so many a contact is of the urgent skill; 0 for none. */
    public record LoadProfile(
            double rate, Span length, Span hold, String prefix, int exchanges, int urgentEvery, String urgent) {}

    private final DatagramSocket socket;
    private final InetSocketAddress controller;
    private final String host;
    private final String mark;
    private final LoadProfile plan;
    private final int most;
    private final AtomicLongArray sentAt;
    private final AtomicReferenceArray<String> to;
    private final Histogram setUpTimes = new ConcurrentHistogram(60_000_000, 3);
    private final LongAdder established = new LongAdder();
    private final LongAdder refused = new LongAdder();
    private final LongAdder urgentRefused = new LongAdder();

    public CallGenerator(InetSocketAddress from, InetSocketAddress controller, LoadProfile plan, String mark)
            throws IOException {
        this.controller = controller;
        this.plan = plan;
        this.mark = mark;
        socket = new DatagramSocket(from);
        socket.setReceiveBufferSize(8 << 20);
        InetSocketAddress at = (InetSocketAddress) socket.getLocalSocketAddress();
        host = at.getAddress().getHostAddress() + ":" + at.getPort();
        most = (int) Math.ceil(plan.rate() * plan.length().ns() / 1e9);
        sentAt = new AtomicLongArray(most);
        to = new AtomicReferenceArray<>(most);
        Thread thread = new Thread(null, this::receive, "dialler-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** From INVITE to 200, in microseconds. */
    public Histogram setUpTimes() {
        return setUpTimes;
    }

    public int dialled() {
        return most;
    }

    public long established() {
        return established.sum();
    }

    public long refused() {
        return refused.sum();
    }

    public long urgentRefused() {
        return urgentRefused.sum();
    }

    /** Dials all, hangs up all that stood, and waits a second for what is late. */
    public void run() throws IOException, InterruptedException {
        ArrayDeque<Integer> holding = new ArrayDeque<>();
        long begin = System.nanoTime();
        double gap = 1e9 / plan.rate();
        int next = 0;
        while (next < most || !holding.isEmpty()) {
            long now = System.nanoTime();
            boolean idle = true;
            if (next < most && now >= begin + (long) (next * gap)) {
                sentAt.set(next, now);
                send(invite(next));
                holding.add(next++);
                idle = false;
            }
            if (!holding.isEmpty()
                    && now - sentAt.get(holding.peek()) >= plan.hold().ns()) {
                int done = holding.poll();
                if (to.get(done) != null) {
                    send(within("BYE", done, 2, "by" + done));
                }
                idle = false;
            }
            if (idle) {
                TimeUnit.MICROSECONDS.sleep(100);
            }
        }
        TimeUnit.SECONDS.sleep(1);
    }

    private void send(String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        socket.send(new DatagramPacket(bytes, bytes.length, controller));
    }

    private boolean urgent(int number) {
        return plan.urgentEvery() > 0 && number % plan.urgentEvery() == 0;
    }

    private String uri(int number) {
        // Turned on by one each round, or each urgent one would go to the same exchange.
        int exchange = 1 + (number + number / plan.exchanges()) % plan.exchanges();
        return "sip:" + plan.prefix() + String.format("%02d%05d", exchange, number % 100_000) + "@"
                + controller.getAddress().getHostAddress();
    }

    private String invite(int number) {
        String uri = uri(number);
        return "INVITE " + uri + " SIP/2.0\r\n" + common(number, "iv" + number, 1, "INVITE", "<" + uri + ">")
                + "Contact: <sip:c@" + host + ">\r\nExpires: 4\r\n"
                + (urgent(number) ? "Resource-Priority: " + plan.urgent() + "\r\n" : "") + "Content-Length: 0\r\n\r\n";
    }

    private String within(String method, int number, int sequence, String branch) {
        return method + " sip:" + controller.getAddress().getHostAddress() + ":" + controller.getPort() + " SIP/2.0\r\n"
                + common(number, branch, sequence, method, to.get(number)) + "Content-Length: 0\r\n\r\n";
    }

    private String common(int number, String branch, int sequence, String method, String toValue) {
        return "Via: SIP/2.0/UDP " + host + ";branch=z9hG4bK" + mark + branch
                + ";rport\r\nMax-Forwards: 70\r\nFrom: <sip:c@"
                + host + ">;tag=" + number + "\r\nTo: " + toValue + "\r\nCall-ID: " + mark + "-" + number
                + "@d\r\nCSeq: "
                + sequence + " " + method + "\r\n";
    }

    private void receive() {
        byte[] room = new byte[4096];
        DatagramPacket packet = new DatagramPacket(room, room.length);
        while (!socket.isClosed()) {
            try {
                packet.setLength(room.length);
                socket.receive(packet);
                response(new RawMessage(room, packet.getLength()));
            } catch (IOException e) {
                if (socket.isClosed()) {
                    return;
                }
            }
        }
    }

    private void response(RawMessage message) throws IOException {
        if (!message.response()) {
            if (!message.method().equals("ACK")) {
                send(message.answer("200 OK", "d", ""));
            }
            return;
        }
        int status = message.status();
        if (status < 200 || !message.value("CSeq").endsWith("INVITE")) {
            return;
        }
        int number = Integer.parseInt(RawMessage.between(message.value("Call-ID"), "-", "@"));
        boolean first = to.compareAndSet(number, null, message.value("To"));
        if (status >= 300) {
            to.set(number, message.value("To"));
            send(within("ACK", number, 1, "iv" + number));
            to.set(number, null);
            refused.increment();
            if (urgent(number)) {
                urgentRefused.increment();
            }
            return;
        }
        if (first) {
            setUpTimes.recordValue(Math.min(60_000_000, (System.nanoTime() - sentAt.get(number)) / 1000));
            established.increment();
        }
        send(within("ACK", number, 1, "ak" + number));
    }

    @Override
    public void close() {
        socket.close();
    }
}
