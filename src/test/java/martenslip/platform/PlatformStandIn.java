package martenslip.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import martenslip.platform.json.Json;

/** A small platform on loopback, written from the protocol's page: switches, a journal service, callers' lines. */
final class PlatformStandIn implements AutoCloseable {
    private static final int WAIT_S = 10;
    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();

    static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static <T> T within(LinkedBlockingQueue<T> queue, String what) throws InterruptedException {
        T next = queue.poll(WAIT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing came: " + what);
        }
        return next;
    }

    private ServerSocket serve(int port, CdsTrainingRun.ConnectionHandler served) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(loopback(port), 64);
        open.add(listener);
        CdsTrainingRun.each(listener, socket -> {
            open.add(socket);
            served.by(socket);
        });
        return listener;
    }

    /** A line of a switch with the socket it came by. */
    record ReceivedMessage(Socket by, String verb, String tag, String description, long left) {
        ReceivedMessage(Socket by, String verb, String tag, String description) {
            this(by, verb, tag, description, -1);
        }

        void answer(String line) throws IOException {
            by.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        }

        void started(String description) throws IOException {
            answer("{\"verb\":\"STARTED\",\"tag\":\"" + tag + "\",\"opts\":{},\"blob\":\"" + description + "\"}");
        }

        void finish(int cause, String note) throws IOException {
            answer("{\"verb\":\"FINISH\",\"tag\":\"" + tag + "\",\"opts\":{\"note\":\"" + note + "\"},\"rc\":" + cause
                    + "}");
        }
    }

    final class SwitchStandIn {
        final LinkedBlockingQueue<ReceivedMessage> said = new LinkedBlockingQueue<>();
        final List<Socket> links = new CopyOnWriteArrayList<>();
        private final ServerSocket listener;

        SwitchStandIn(int port) throws IOException {
            listener = serve(port, socket -> {
                links.add(socket);
                socket.getOutputStream()
                        .write("{\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{\"load\":\"x0:9;x1:9\"}}\n"
                                .getBytes(StandardCharsets.UTF_8));
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    java.util.Map<?, ?> map = (java.util.Map<?, ?>) Json.read(line.getBytes(StandardCharsets.UTF_8));
                    said.add(new ReceivedMessage(
                            socket,
                            (String) map.get("verb"),
                            (String) map.get("tag"),
                            (String) map.get("blob"),
                            left(map)));
                }
            });
        }

        private static long left(java.util.Map<?, ?> line) {
            return line.get("opts") instanceof java.util.Map<?, ?> opts && opts.get("left") instanceof String left
                    ? Long.parseLong(left)
                    : -1;
        }

        int port() {
            return listener.getLocalPort();
        }

        /** The next line of this type; others are passed over. */
        ReceivedMessage next(String verb) throws InterruptedException {
            ReceivedMessage next = within(said, verb);
            return next.verb.equals(verb) ? next : next(verb);
        }

        /** Takes no further connection and ends all but one. */
        void deaf(Socket but) throws IOException {
            listener.close();
            for (Socket link : links) {
                if (link != but) {
                    link.close();
                }
            }
        }

        void stop() throws IOException {
            listener.close();
            for (Socket link : links) {
                link.setSoLinger(true, 0);
                link.close();
            }
        }
    }

    final class JournalStandIn {
        final LinkedBlockingQueue<Long> askedFrom = new LinkedBlockingQueue<>();
        private final List<String> events = new CopyOnWriteArrayList<>();
        private final ServerSocket listener;
        volatile String broken;
        /** It takes the question and says nothing, not even that. */
        volatile boolean silent;

        JournalStandIn() throws IOException {
            listener = serve(0, socket -> {
                BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
                long from = -1;
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                    if (line.startsWith("Last-Event-ID: ")) {
                        from = Long.parseLong(line.substring(15));
                    }
                }
                askedFrom.add(from);
                while (silent) {
                    try {
                        Thread.sleep(5);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
                for (int at = 0; !socket.isClosed(); ) {
                    for (; at < events.size(); at++) {
                        write(socket, "id: " + (at + 1) + "\ndata: " + events.get(at) + "\n\n");
                    }
                    String spoilt = broken;
                    if (spoilt != null) {
                        broken = null;
                        write(socket, spoilt);
                        return;
                    }
                    write(socket, ": still here\n\n");
                    try {
                        Thread.sleep(50);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
        }

        private void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        /** Tells the list from now on; the number of the event is its place. */
        void tell(String data) {
            events.add(data);
        }

        int port() {
            return listener.getLocalPort();
        }

        long asked() throws InterruptedException {
            return within(askedFrom, "the feed was asked for");
        }
    }

    static String event(long position, boolean whole, String... lines) {
        return "{\"pos\":" + position + ",\"hosts\":{\"generation\":1,\"reset\":" + whole + ",\"instances\":["
                + String.join(",", lines) + "]}}";
    }

    static String line(String id, int port, int number, String state) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port
                + "\",\"zone\":\"east\",\"machineType\":" + "\"std\",\"cell\":" + number + ",\"lifecycle\":\"" + state
                + "\",\"weight\":1,\"startedAtMs\":0}";
    }

    static String configuration(int journal, String... events) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"seed\":\"00000000000000aa\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":64},\"journal\":\"127.0.0.1:" + journal + "\",\"known\":{\"pos\":"
                + events.length + ",\"entries\":[" + String.join(",", events)
                + "]},\"settings\":{\"classes\":[{\"name\":"
                + "\"cheap\",\"aim-ns\":1000000000,\"hard-limit-ns\":9000000000,\"worth\":1},{\"name\":\"dear\","
                + "\"aim-ns\":1000000000,\"hard-limit-ns\":9000000000,\"worth\":8}],\"zones\":[\"east\"],\"me\":0,"
                + "\"family-info\":{\"mean-hold-ns\":[10000000000,5000000000],\"widths\":[1,1],\"home-no\":0,"
                + "\"release-ns\":200000000,\"class-cells\":[]},\"guarantees\":{\"warm-within-ns\":1000000000,"
                + "\"cold-share\":0.3,\"answer-slack-ns\":20000000},\"policy-limits\":{\"send-cap\":5,\"cancel\":true,"
                + "\"peers\":false,\"max-open\":50,\"retry-after\":true,\"max-retry-after-ns\":700000000},"
                + "\"report\":{\"fields\":[\"spare\",\"total\",\"allowed\"]},\"round-ns\":5000000}}";
    }

    static Path written(String configuration) throws IOException {
        Path file = Files.createTempFile("configuration", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(file, configuration);
        return file;
    }

    /** A caller's line. */
    final class CallerConnection {
        final Socket socket = new Socket();
        private final InputStream in;

        CallerConnection(InetSocketAddress at) throws IOException {
            socket.connect(at, 5000);
            socket.setSoTimeout(WAIT_S * 1000);
            socket.setTcpNoDelay(true);
            in = socket.getInputStream();
            open.add(socket);
        }

        CallerConnection say(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return this;
        }

        CallerConnection invite(String tag, String kind, int withinMs, String body) throws IOException {
            return say(message(
                    "INVITE",
                    tag,
                    "Call-Kind: " + kind + "\r\nAnswer-Within: " + withinMs
                            + "\r\nRouting-Data: dest:1;width:1;via:-1\r\n",
                    body));
        }

        static String message(String method, String tag, String more, String body) {
            return method + " sip:00000000000000bb@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + tag
                    + "\r\nCSeq: 1 " + method + "\r\n" + more + "Content-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
        }

        /** The next message whole, or null where the line has ended. */
        String next() throws IOException {
            StringBuilder head = new StringBuilder();
            try {
                while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                    int one = in.read();
                    if (one < 0) {
                        return null;
                    }
                    head.append((char) one);
                }
            } catch (java.net.SocketException e) {
                return null;
            }
            int at = head.indexOf("Content-Length: ") + 16;
            int length = Integer.parseInt(head.substring(at, head.indexOf("\r\n", at)));
            return head + new String(in.readNBytes(length), StandardCharsets.UTF_8);
        }
    }

    /**
     * Looks until it holds, each time on the deciding thread, and once more has everything that was queued before it
     * held go first: a position is known as soon as its event is queued, not when it is decided about.
     */
    static void awaits(ControllerService serve, BooleanSupplier held) throws InterruptedException {
        long begun = System.nanoTime();
        while (!looked(serve, held)) {
            if (System.nanoTime() - begun > WAIT_S * 1_000_000_000L) {
                throw new IllegalStateException("it never held");
            }
        }
        looked(serve, () -> true);
    }

    private static boolean looked(ControllerService serve, BooleanSupplier held) throws InterruptedException {
        AtomicBoolean holds = new AtomicBoolean();
        CountDownLatch looked = new CountDownLatch(1);
        serve.turn(() -> {
            holds.set(held.getAsBoolean());
            looked.countDown();
        });
        looked.await();
        return holds.get();
    }

    /** A caller's line on which a test has passed: only then are the states of the groups there. */
    static CallerConnection ready(PlatformStandIn world, ControllerService serve) throws IOException {
        CallerConnection line = world.new CallerConnection(serve.listens());
        // By the clock: two thousand tests were over in half a second on a busy machine, before the threads had begun.
        for (long begun = System.nanoTime(); System.nanoTime() - begun < 10_000_000_000L; ) {
            line.say("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: t\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n");
            if (line.next().startsWith("SIP/2.0 200")) {
                return line;
            }
        }
        throw new AssertionError("never ready");
    }

    List<SwitchStandIn> machines(int count) throws IOException {
        List<SwitchStandIn> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new SwitchStandIn(0));
        }
        return all;
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
    }
}
