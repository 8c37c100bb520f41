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
 * An open-loop call generator with little overhead, for benchmarks of controllers only: it dials at a constant rate
 * over one UDP socket, holds each contact for the same time and hangs up, without transactions. It uses two threads:
 * one of its own that receives, and the one that calls {@link #run}.
 */
public final class CallGenerator implements AutoCloseable {
    /**
     * The load to generate.
     *
     * @param rate contacts a second
     * @param length how long to dial
     * @param urgentEvery every how many contacts one is urgent; 0 for none
     * @param urgentPriority Resource-Priority value of urgent contacts
     */
    public record LoadProfile(
            double rate,
            Span length,
            Span holdTime,
            String numberPrefix,
            int exchangeCount,
            int urgentEvery,
            String urgentPriority) {}

    private static final long MAX_SET_UP_MICROS = 60_000_000;

    private final DatagramSocket socket;
    private final InetSocketAddress controller;
    private final String host;
    private final String idPrefix;
    private final LoadProfile profile;
    private final int callCount;
    private final AtomicLongArray inviteSentAt;
    private final AtomicReferenceArray<String> toHeaders;
    private final Histogram setUpTimes = new ConcurrentHistogram(MAX_SET_UP_MICROS, 3);
    private final LongAdder established = new LongAdder();
    private final LongAdder refused = new LongAdder();
    private final LongAdder urgentRefused = new LongAdder();

    /** Binds the local address; {@code idPrefix} makes Call-IDs and branches unique among generators. */
    public CallGenerator(
            InetSocketAddress localAddress, InetSocketAddress controller, LoadProfile profile, String idPrefix)
            throws IOException {
        this.controller = controller;
        this.profile = profile;
        this.idPrefix = idPrefix;
        socket = new DatagramSocket(localAddress);
        socket.setReceiveBufferSize(8 << 20);
        InetSocketAddress boundAddress = (InetSocketAddress) socket.getLocalSocketAddress();
        host = boundAddress.getAddress().getHostAddress() + ":" + boundAddress.getPort();
        callCount = (int) Math.ceil(profile.rate() * profile.length().ns() / 1e9);
        inviteSentAt = new AtomicLongArray(callCount);
        toHeaders = new AtomicReferenceArray<>(callCount);
        Thread thread = new Thread(null, this::receive, "dialler-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** Set-up times from INVITE to 200 in microseconds. */
    public Histogram setUpTimes() {
        return setUpTimes;
    }

    /** Contacts to dial in all. */
    public int dialled() {
        return callCount;
    }

    /** Contacts that were established. */
    public long established() {
        return established.sum();
    }

    /** Contacts that got a final refusal. */
    public long refused() {
        return refused.sum();
    }

    /** Urgent contacts that got a final refusal. */
    public long urgentRefused() {
        return urgentRefused.sum();
    }

    /** Dials all contacts, hangs up the established ones, and waits a second for late responses. */
    public void run() throws IOException, InterruptedException {
        ArrayDeque<Integer> activeCalls = new ArrayDeque<>();
        long start = System.nanoTime();
        double gapNanos = 1e9 / profile.rate();
        int nextNumber = 0;
        while (nextNumber < callCount || !activeCalls.isEmpty()) {
            long now = System.nanoTime();
            boolean idle = true;
            if (nextNumber < callCount && now >= start + (long) (nextNumber * gapNanos)) {
                inviteSentAt.set(nextNumber, now);
                send(createInvite(nextNumber));
                activeCalls.add(nextNumber++);
                idle = false;
            }
            if (!activeCalls.isEmpty()
                    && now - inviteSentAt.get(activeCalls.peek())
                            >= profile.holdTime().ns()) {
                int number = activeCalls.poll();
                if (toHeaders.get(number) != null) {
                    send(createInDialogRequest("BYE", number, 2, "by" + number));
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

    private boolean isUrgent(int number) {
        return profile.urgentEvery() > 0 && number % profile.urgentEvery() == 0;
    }

    private String requestUri(int number) {
        // Shifted by one after each round; otherwise all urgent contacts would go to the same exchange.
        int exchange = 1 + (number + number / profile.exchangeCount()) % profile.exchangeCount();
        return "sip:" + profile.numberPrefix() + String.format("%02d%05d", exchange, number % 100_000) + "@"
                + controller.getAddress().getHostAddress();
    }

    private String createInvite(int number) {
        String uri = requestUri(number);
        return "INVITE " + uri + " SIP/2.0\r\n" + commonHeaders(number, "iv" + number, 1, "INVITE", "<" + uri + ">")
                + "Contact: <sip:c@" + host + ">\r\nExpires: 4\r\n"
                + (isUrgent(number) ? "Resource-Priority: " + profile.urgentPriority() + "\r\n" : "")
                + "Content-Length: 0\r\n\r\n";
    }

    private String createInDialogRequest(String method, int number, int sequence, String branchSuffix) {
        return method + " sip:" + controller.getAddress().getHostAddress() + ":" + controller.getPort() + " SIP/2.0\r\n"
                + commonHeaders(number, branchSuffix, sequence, method, toHeaders.get(number))
                + "Content-Length: 0\r\n\r\n";
    }

    private String commonHeaders(int number, String branchSuffix, int sequence, String method, String toValue) {
        return "Via: SIP/2.0/UDP " + host + ";branch=z9hG4bK" + idPrefix + branchSuffix
                + ";rport\r\nMax-Forwards: 70\r\nFrom: <sip:c@"
                + host + ">;tag=" + number + "\r\nTo: " + toValue + "\r\nCall-ID: " + idPrefix + "-" + number
                + "@d\r\nCSeq: "
                + sequence + " " + method + "\r\n";
    }

    private void receive() {
        byte[] buffer = new byte[4096];
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        while (!socket.isClosed()) {
            try {
                packet.setLength(buffer.length);
                socket.receive(packet);
                handleMessage(new RawMessage(buffer, packet.getLength()));
            } catch (IOException e) {
                if (socket.isClosed()) {
                    return;
                }
            }
        }
    }

    private void handleMessage(RawMessage message) throws IOException {
        if (!message.isResponse()) {
            if (!message.method().equals("ACK")) {
                send(message.createResponse("200 OK", "d", ""));
            }
            return;
        }
        int status = message.status();
        if (status < 200 || !message.headerValue("CSeq").endsWith("INVITE")) {
            return;
        }
        int number = Integer.parseInt(RawMessage.between(message.headerValue("Call-ID"), "-", "@"));
        boolean firstFinalResponse = toHeaders.compareAndSet(number, null, message.headerValue("To"));
        if (status >= 300) {
            toHeaders.set(number, message.headerValue("To"));
            send(createInDialogRequest("ACK", number, 1, "iv" + number));
            toHeaders.set(number, null);
            refused.increment();
            if (isUrgent(number)) {
                urgentRefused.increment();
            }
            return;
        }
        if (firstFinalResponse) {
            setUpTimes.recordValue(Math.min(MAX_SET_UP_MICROS, (System.nanoTime() - inviteSentAt.get(number)) / 1000));
            established.increment();
        }
        send(createInDialogRequest("ACK", number, 1, "ak" + number));
    }

    @Override
    public void close() {
        socket.close();
    }
}
