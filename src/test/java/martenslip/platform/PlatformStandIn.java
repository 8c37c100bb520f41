package martenslip.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import martenslip.platform.json.Json;

/**
 * A small platform on loopback, written from the protocol's documentation: switches, a journal service and callers'
 * connections.
 */
final class PlatformStandIn implements AutoCloseable {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int MAX_BIND_ATTEMPTS = 100_000;
    private static final long REPORT_INTERVAL_NS = 100_000_000;
    private static final byte[] ECHOED_LINE =
            "{\"verb\":\"ECHOED\",\"tag\":\"\",\"opts\":{},\"rc\":1}\n".getBytes(StandardCharsets.UTF_8);
    private static final int USUAL_CIRCUITS = 9;

    private final List<AutoCloseable> closeables = new CopyOnWriteArrayList<>();

    static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static <T> T pollOrFail(LinkedBlockingQueue<T> queue, String expectation) throws InterruptedException {
        T received = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (received == null) {
            throw new AssertionError("nothing received: " + expectation);
        }
        return received;
    }

    private ServerSocket listen(int port, CdsTrainingRun.ConnectionHandler connectionHandler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(loopback(port), 64);
        closeables.add(listener);
        CdsTrainingRun.acceptConnections(listener, socket -> {
            closeables.add(socket);
            connectionHandler.handle(socket);
        });
        return listener;
    }

    /** A message that a switch stand-in received, with the socket it came by. */
    record ReceivedMessage(Socket socket, String verb, String tag, String description, long remainingMs) {
        ReceivedMessage(Socket socket, String verb, String tag, String description) {
            this(socket, verb, tag, description, -1);
        }

        void reply(String line) throws IOException {
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        }

        void started(String description) throws IOException {
            reply("{\"verb\":\"STARTED\",\"tag\":\"" + tag + "\",\"opts\":{},\"blob\":\"" + description + "\"}");
        }

        void finish(int q850Cause, String note) throws IOException {
            reply("{\"verb\":\"FINISH\",\"tag\":\"" + tag + "\",\"opts\":{\"note\":\"" + note + "\"},\"rc\":"
                    + q850Cause + "}");
        }
    }

    /** A switch: reports its load on each connection and keeps the messages it receives. */
    final class SwitchStandIn {
        final LinkedBlockingQueue<ReceivedMessage> receivedMessages = new LinkedBlockingQueue<>();
        final List<Socket> connections = new CopyOnWriteArrayList<>();
        /** Lines written on each further connection, after the load report and {@link #owedLinesDelayMs}. */
        final List<String> owedLines = new CopyOnWriteArrayList<>();

        /** When {@link #serveAll} answered each call; the first time counts. */
        final Map<String, Long> servedNsByTag = new ConcurrentHashMap<>();

        /** Calls that {@link #serveAll} was asked to set up twice. */
        final Set<String> repeatedTags = ConcurrentHashMap.newKeySet();

        volatile long owedLinesDelayMs;
        /** The circuits of the group, all of them reported as free. */
        volatile int circuits = USUAL_CIRCUITS;
        /** What is written on a connection once the controller has ended its side. */
        final Map<Socket, String> linesAtEnd = new ConcurrentHashMap<>();
        /** The description of the answers of {@link #serveAll}. */
        volatile String description = "m=audio";
        /** Whether the reports tell of the calls that stand; otherwise all circuits are reported as free. */
        volatile boolean reportsHeldCircuits;
        /** The calls that {@link #serveAll} has answered and that were not released. */
        final Set<String> standingTags = ConcurrentHashMap.newKeySet();
        /** Whether a test (ECHO) is answered, also on mute connections. */
        volatile boolean answersTests;
        /** Connections on which no state is reported any more, while what comes on them is read. */
        final Set<Socket> muteConnections = ConcurrentHashMap.newKeySet();

        private volatile boolean isReporting;
        private volatile boolean isSilent;
        private final ServerSocket listener;

        SwitchStandIn(int port) throws IOException {
            listener = listen(port, socket -> {
                connections.add(socket);
                socket.getOutputStream().write(loadLine());
                writeOwedLines(socket);
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    java.util.Map<?, ?> message =
                            (java.util.Map<?, ?>) Json.parse(line.getBytes(StandardCharsets.UTF_8));
                    if (answersTests && "ECHO".equals(message.get("verb"))) {
                        socket.getOutputStream().write(ECHOED_LINE);
                    }
                    receivedMessages.add(new ReceivedMessage(
                            socket,
                            (String) message.get("verb"),
                            (String) message.get("tag"),
                            (String) message.get("blob"),
                            remainingMs(message)));
                }
                String lineAtEnd = linesAtEnd.remove(socket);
                if (lineAtEnd != null) {
                    socket.getOutputStream().write(lineAtEnd.getBytes(StandardCharsets.UTF_8));
                }
            });
        }

        private static void reset(Socket connection) throws IOException {
            try {
                connection.setSoLinger(true, 0);
                connection.close();
            } catch (SocketException e) {
                // The controller has closed it already.
                return;
            }
        }

        /** Sends the state of the group on every connection from now on, as a group does whose state changes. */
        void startReporting() {
            isReporting = true;
            Thread reporter = new Thread(() -> {
                while (isReporting && !listener.isClosed()) {
                    for (Socket connection : connections) {
                        reportLoad(connection);
                    }
                    LockSupport.parkNanos(REPORT_INTERVAL_NS);
                }
            });
            reporter.setDaemon(true);
            reporter.start();
        }

        void stopReporting() {
            isReporting = false;
        }

        void sendOnOpenConnection(String line) throws IOException {
            Socket open = connections.stream()
                    .filter(connection -> !connection.isClosed())
                    .findFirst()
                    .orElseThrow();
            open.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
        }

        private byte[] loadLine() {
            int free = reportsHeldCircuits ? Math.max(0, circuits - standingTags.size()) : circuits;
            return ("{\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{\"load\":\"x0:" + free + ";x1:" + circuits + "\"}}\n")
                    .getBytes(StandardCharsets.UTF_8);
        }

        /** Answers every set-up and acknowledges every release from now on, until its process ends. */
        void serveAll() {
            Thread server = new Thread(() -> {
                try {
                    while (!listener.isClosed()) {
                        ReceivedMessage message = receivedMessages.take();
                        try {
                            if (!isSilent) {
                                serve(message);
                            }
                        } catch (IOException e) {
                            connections.remove(message.socket());
                        }
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            server.setDaemon(true);
            server.start();
        }

        private void serve(ReceivedMessage message) throws IOException {
            switch (message.verb()) {
                case "START" -> {
                    if (servedNsByTag.putIfAbsent(message.tag(), System.nanoTime()) != null) {
                        repeatedTags.add(message.tag());
                    }
                    standingTags.add(message.tag());
                    message.started(description);
                }
                case "FINISH" -> {
                    standingTags.remove(message.tag());
                    message.reply("{\"verb\":\"FINISHED\",\"tag\":\"" + message.tag() + "\",\"opts\":{}}");
                }
                default -> {}
            }
        }

        private void reportLoad(Socket connection) {
            if (muteConnections.contains(connection)) {
                return;
            }
            try {
                connection.getOutputStream().write(loadLine());
            } catch (IOException e) {
                connections.remove(connection);
            }
        }

        /** A release is sent on the next connection opened, as the protocol has it. */
        void oweRelease(String tag, int q850Cause) {
            owedLines.add("{\"verb\":\"FINISH\",\"tag\":\"" + tag + "\",\"opts\":{},\"rc\":" + q850Cause + "}\n");
        }

        private void writeOwedLines(Socket socket) throws IOException {
            if (owedLines.isEmpty()) {
                return;
            }
            try {
                Thread.sleep(owedLinesDelayMs);
            } catch (InterruptedException e) {
                return;
            }
            socket.getOutputStream().write(String.join("", owedLines).getBytes(StandardCharsets.UTF_8));
        }

        private static long remainingMs(java.util.Map<?, ?> message) {
            return message.get("opts") instanceof java.util.Map<?, ?> opts
                            && opts.get("left") instanceof String remainingMs
                    ? Long.parseLong(remainingMs)
                    : -1;
        }

        int port() {
            return listener.getLocalPort();
        }

        /** The next message with this verb; others are skipped. */
        ReceivedMessage next(String verb) throws InterruptedException {
            ReceivedMessage next = pollOrFail(receivedMessages, verb);
            return next.verb.equals(verb) ? next : next(verb);
        }

        /** Accepts no further connection and closes all but one. */
        void refuseConnections(Socket keptConnection) throws IOException {
            listener.close();
            for (Socket connection : connections) {
                if (connection != keptConnection) {
                    connection.close();
                }
            }
        }

        void stop() throws IOException {
            stopListening();
            resetConnections();
        }

        /** Refuses further connections; the open ones stay. */
        void stopListening() throws IOException {
            listener.close();
        }

        /** The machine disappears: its open connections carry nothing more from it. */
        void fallSilent() {
            isSilent = true;
            stopReporting();
            answersTests = false;
        }

        void resetConnections() throws IOException {
            for (Socket connection : connections) {
                reset(connection);
            }
        }
    }

    /** A journal service: sends its events to each connection from the first on. */
    final class JournalStandIn {
        final LinkedBlockingQueue<Long> requestedPositions = new LinkedBlockingQueue<>();
        private final List<String> events = new CopyOnWriteArrayList<>();
        private final ServerSocket listener;
        volatile String brokenEvent;
        /** Accepts the request and sends nothing, not even a response header. */
        volatile boolean isSilent;
        /** How long each request waits for its response header. */
        volatile long headerDelayMs;
        /** The next request gets a chunked stream that falls silent after one comment. */
        volatile boolean fallsSilentInChunks;

        JournalStandIn() throws IOException {
            listener = listen(0, socket -> {
                BufferedReader reader = new BufferedReader(new InputStreamReader(socket.getInputStream()));
                long position = -1;
                for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
                    if (line.startsWith("Last-Event-ID: ")) {
                        position = Long.parseLong(line.substring(15));
                    }
                }
                requestedPositions.add(position);
                while (isSilent) {
                    try {
                        Thread.sleep(5);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                try {
                    Thread.sleep(headerDelayMs);
                } catch (InterruptedException e) {
                    return;
                }
                if (fallsSilentInChunks) {
                    fallsSilentInChunks = false;
                    write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n: still here\n\n\r\n");
                    reader.readLine();
                    return;
                }
                write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
                for (int eventIndex = 0; !socket.isClosed(); ) {
                    for (; eventIndex < events.size(); eventIndex++) {
                        write(socket, "id: " + (eventIndex + 1) + "\ndata: " + events.get(eventIndex) + "\n\n");
                    }
                    String brokenEventText = brokenEvent;
                    if (brokenEventText != null) {
                        brokenEvent = null;
                        write(socket, brokenEventText);
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

        /** Adds an event to the journal; its position in the list is its number. */
        void addEvent(String data) {
            events.add(data);
        }

        int port() {
            return listener.getLocalPort();
        }

        /** The position that the next request asked for, -1 for none. */
        long nextRequestedPosition() throws InterruptedException {
            return pollOrFail(requestedPositions, "a request to the journal");
        }
    }

    static String switchListEvent(long position, boolean reset, String... instances) {
        return "{\"pos\":" + position + ",\"hosts\":{\"generation\":1,\"reset\":" + reset + ",\"instances\":["
                + String.join(",", instances) + "]}}";
    }

    static String instanceJson(String id, int port, int cell, String lifecycle) {
        return instanceJson(id, port, cell, lifecycle, 0);
    }

    /** A switch as the list names it; {@code startedAtMs} is 0 unless it started late. */
    static String instanceJson(String id, int port, int cell, String lifecycle, long startedAtMs) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port
                + "\",\"zone\":\"east\",\"machineType\":" + "\"std\",\"cell\":" + cell + ",\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1,\"startedAtMs\":" + startedAtMs + "}";
    }

    /** The first event of a journal: these switches are up, each with its place in the list as id and number. */
    static String initialList(List<SwitchStandIn> switches) {
        String[] instances = new String[switches.size()];
        for (int i = 0; i < instances.length; i++) {
            instances[i] = instanceJson("s-" + i, switches.get(i).port(), i, "up");
        }
        return switchListEvent(1, true, instances);
    }

    static String configuration(int journalPort, String... switchListEvents) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"seed\":\"00000000000000aa\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":64},\"journal\":\"127.0.0.1:" + journalPort + "\",\"known\":{\"pos\":"
                + switchListEvents.length + ",\"entries\":[" + String.join(",", switchListEvents)
                + "]},\"settings\":{\"classes\":[{\"name\":"
                + "\"cheap\",\"aim-ns\":1000000000,\"hard-limit-ns\":9000000000,\"worth\":1},{\"name\":\"dear\","
                + "\"aim-ns\":1000000000,\"hard-limit-ns\":9000000000,\"worth\":8}],\"zones\":[\"east\"],\"me\":0,"
                + "\"family-info\":{\"mean-hold-ns\":[10000000000,5000000000],\"widths\":[1,1],\"home-no\":0,"
                + "\"release-ns\":200000000,\"class-cells\":[]},\"guarantees\":{\"warm-within-ns\":1000000000,"
                + "\"cold-share\":0.3,\"answer-slack-ns\":20000000},\"policy-limits\":{\"send-cap\":5,\"cancel\":true,"
                + "\"peers\":false,\"max-open\":50,\"retry-after\":true,\"max-retry-after-ns\":700000000},"
                + "\"report\":{\"fields\":[\"spare\",\"total\",\"allowed\"]},\"round-ns\":5000000}}";
    }

    /** Writes the text to a temporary file. */
    static Path writeTemporary(String configuration) throws IOException {
        Path file = Files.createTempFile("configuration", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(file, configuration);
        return file;
    }

    /** A caller's connection. */
    final class CallerConnection {
        final Socket socket = new Socket();
        private final InputStream input;

        CallerConnection(InetSocketAddress address) throws IOException {
            socket.connect(address, 5000);
            socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
            socket.setTcpNoDelay(true);
            input = socket.getInputStream();
            closeables.add(socket);
        }

        CallerConnection send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return this;
        }

        CallerConnection invite(String callId, String skill, int patienceMs, String body) throws IOException {
            return send(message(
                    "INVITE",
                    callId,
                    "Call-Kind: " + skill + "\r\nAnswer-Within: " + patienceMs
                            + "\r\nRouting-Data: dest:1;width:1;via:-1\r\n",
                    body));
        }

        /** Answers a BYE of the controller. */
        CallerConnection acknowledgeRelease(String callId) throws IOException {
            return send("SIP/2.0 200 OK\r\nCall-ID: " + callId + "\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n");
        }

        static String message(String method, String callId, String extraHeaders, String body) {
            return method + " sip:00000000000000bb@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + callId
                    + "\r\nCSeq: 1 " + method + "\r\n" + extraHeaders + "Content-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
        }

        /** The next message as a whole, or null where the connection has ended. */
        String next() throws IOException {
            StringBuilder head = new StringBuilder();
            try {
                while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                    int character = input.read();
                    if (character < 0) {
                        return null;
                    }
                    head.append((char) character);
                }
            } catch (java.net.SocketException e) {
                return null;
            }
            int lengthStart = head.indexOf("Content-Length: ") + 16;
            int length = Integer.parseInt(head.substring(lengthStart, head.indexOf("\r\n", lengthStart)));
            return head + new String(input.readNBytes(length), StandardCharsets.UTF_8);
        }
    }

    /**
     * Evaluates the condition on the decision thread until it holds, then waits for everything that was queued before
     * that: a position is known as soon as its event is queued, not when the event is handled.
     */
    static void awaitCondition(ControllerService service, BooleanSupplier condition) throws InterruptedException {
        long startedNs = System.nanoTime();
        while (!isTrueOnDecisionThread(service, condition)) {
            if (System.nanoTime() - startedNs > TIMEOUT_SECONDS * 1_000_000_000L) {
                throw new IllegalStateException("the condition was not met in time");
            }
        }
        isTrueOnDecisionThread(service, () -> true);
    }

    private static boolean isTrueOnDecisionThread(ControllerService service, BooleanSupplier condition)
            throws InterruptedException {
        AtomicBoolean result = new AtomicBoolean();
        CountDownLatch evaluated = new CountDownLatch(1);
        service.runOnDecisionThread(() -> {
            result.set(condition.getAsBoolean());
            evaluated.countDown();
        });
        evaluated.await();
        return result.get();
    }

    /**
     * Opens a caller's connection and sends OPTIONS until one is answered 200: only then are the states of the groups
     * known.
     */
    static CallerConnection connectReadyCaller(PlatformStandIn platform, ControllerService service) throws IOException {
        CallerConnection connection = platform.new CallerConnection(service.listenAddress());
        // Limited by time, not by a count: on a busy machine two thousand requests were answered within half a second,
        // before the service's threads had begun.
        for (long startedNs = System.nanoTime(); System.nanoTime() - startedNs < 10_000_000_000L; ) {
            connection.send(
                    "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: t\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n");
            if (connection.next().startsWith("SIP/2.0 200")) {
                return connection;
            }
        }
        throw new AssertionError("the controller was not ready in time");
    }

    /**
     * Starts another switch's process at the address of one that has stopped listening; the port is free a moment after
     * the close of the old listener.
     */
    SwitchStandIn startSwitchAtAddressOf(SwitchStandIn oldSwitch) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                SwitchStandIn newSwitch = new SwitchStandIn(oldSwitch.port());
                newSwitch.answersTests = true;
                newSwitch.startReporting();
                return newSwitch;
            } catch (BindException e) {
                if (attempt == MAX_BIND_ATTEMPTS) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }

    List<SwitchStandIn> startSwitches(int count) throws IOException {
        List<SwitchStandIn> switches = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            switches.add(new SwitchStandIn(0));
        }
        return switches;
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
    }
}
