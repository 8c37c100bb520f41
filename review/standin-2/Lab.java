import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small platform on loopback for the cases of the second review, written from the operators' protocol page only: one
 * controller process (the deploy file's run command), switches, the journal service, clients. All times of the record are
 * milliseconds since the start of the script.
 */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long startNs = System.nanoTime();
    private final PrintWriter record;
    private final Path temporary;
    private final List<AutoCloseable> closeables = new CopyOnWriteArrayList<>();
    private final AtomicLong lastTag = new AtomicLong(System.nanoTime() << 16);
    final int controllerPort;
    private Process controller;
    private Path configuration;
    private String listenHost = "127.0.0.1";

    /** A script's body; it returns one of the exit codes. */
    interface Script {
        int run(Lab lab) throws Exception;
    }

    /** Runs a script and ends the JVM with its exit code; the time limit ends it with 2. */
    static void main(String caseFolder, int limitSeconds, Script script) {
        int code = COULD_NOT_RUN;
        try (Lab lab = new Lab(Path.of(caseFolder))) {
            Thread watchdog = new Thread(() -> {
                try {
                    Thread.sleep(limitSeconds * 1000L);
                    lab.note("the script took too long");
                    lab.close();
                } catch (Exception e) {
                    lab.note("watchdog: " + e);
                }
                Runtime.getRuntime().halt(COULD_NOT_RUN);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            Runtime.getRuntime().addShutdownHook(new Thread(lab::killController));
            try {
                code = script.run(lab);
            } catch (Exception | AssertionError e) {
                lab.note("could not run: " + e);
            }
            lab.note("exit " + code + " (" + (code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "could not run") + "), TROUBLE="
                    + (lab.trouble ? 1 : 0));
        } catch (Exception e) {
            System.err.println("could not run: " + e);
        }
        System.exit(code);
    }

    private Lab(Path caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        temporary = Files.createTempDirectory("review-2-");
        controllerPort = freePort();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    double elapsedMs() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    synchronized void note(String text) {
        String line = String.format(Locale.ROOT, "%10.1f  %s", elapsedMs(), text);
        record.println(line);
        if (System.getenv("LAB_ECHO") != null) {
            System.err.println(line);
        }
    }

    String nextTag() {
        return String.format("%016x", lastTag.incrementAndGet());
    }

    static void sleep(long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms));
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    boolean await(long ms, Condition condition) throws Exception {
        long end = System.nanoTime() + ms * 1_000_000;
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(2);
        }
        return true;
    }

    private static void daemon(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    // ---- the controller

    /** Settings of a small deployment, in the form of the simulator's first message as nested JSON. */
    static final String SETTINGS = "{\"classes\":[{\"name\":\"label-status\",\"aim-ns\":1200000000,\"hard-limit-ns\":9000000000,"
            + "\"effect\":\"read_like\",\"group\":\"all\",\"late-share\":0.25,\"memory-span-ns\":5000000000,\"stream\":true,\"worth\":1.0},"
            + "{\"name\":\"pickup-slot\",\"aim-ns\":1200000000,\"hard-limit-ns\":6000000000,\"effect\":\"read_like\",\"group\":\"all\","
            + "\"late-share\":0.25,\"memory-span-ns\":5000000000,\"stream\":true,\"worth\":8.0}],"
            + "\"zones\":[\"kochi\",\"kozhikode\"],\"me\":0,\"my-zone\":0,\"n-instances\":4,\"discovery\":\"automatic\","
            + "\"family-info\":{\"topology\":\"meshed\",\"home-no\":0,\"mean-hold-ns\":[11200000000,5600000000],\"widths\":[1,1],"
            + "\"release-ns\":500000000,\"retransmit-ns\":800000000,\"gives-wait\":false,\"class-cells\":[]},"
            + "\"guarantees\":{\"answer-slack-ns\":20000000,\"ask-within-ns\":10000000000,\"cold-share\":0.29,"
            + "\"drain-grace-ns\":2000000000,\"fall-multiple\":3.0,\"fall-ns\":1500000000,\"warm-within-ns\":14000000000},"
            + "\"policy-limits\":{\"cancel\":true,\"conn-idle-ns\":600000000000,\"connect-timeout-ns\":500000000,"
            + "\"max-open\":20000,\"max-retry-after-ns\":2000000000,\"parallel-tries\":false,\"peers\":false,\"probes\":false,"
            + "\"retry-after\":true,\"send-cap\":5},"
            + "\"report\":{\"fields\":[\"spare\",\"total\",\"allowed\"],\"how\":\"inline\"},\"round-ns\":5000000,"
            + "\"workload\":\"trunks\"}";

    void configure(Journal journal, int sockets, int memoryMb) throws IOException {
        configure(journal, sockets, memoryMb, SETTINGS);
    }

    void configure(Journal journal, int sockets, int memoryMb, String settings) throws IOException {
        String text = "{\"name\":\"n0\",\"listen\":\"" + listenHost + ":" + controllerPort
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets
                + "},\"journal\":\"127.0.0.1:" + journal.port() + "\",\"known\":{\"pos\":" + journal.events.size()
                + ",\"entries\":[" + String.join(",", journal.events) + "]},\"settings\":" + settings + "}";
        configuration = temporary.resolve("config.json");
        Path written = temporary.resolve("config.json.new");
        Files.writeString(written, text);
        Files.move(written, configuration, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    private static String runCommand() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy", "balancer.toml")));
        if (!matcher.find()) {
            throw new IOException("the deploy file has no run command");
        }
        return matcher.group(1).replace("\\\"", "\"");
    }

    private int starts;

    /** Starts the controller by the deploy file's run command and waits until it passes the front's test. */
    void startController() throws Exception {
        Path own = Files.createDirectory(temporary.resolve("tmp-" + ++starts));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        builder.environment().put("ROUTER_CONFIG", configuration.toString());
        builder.environment().put("ROUTER_NAME", "n0");
        builder.environment().put("ROUTER_LISTEN", listenHost + ":" + controllerPort);
        builder.environment().put("TMPDIR", own.toString());
        File log = temporary.resolve("controller-" + starts + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        controller = builder.start();
        note("controller started");
        Client front = new Client("front");
        boolean ready = await(30_000, () -> {
            if (!controller.isAlive()) {
                throw new IOException("the controller ended at its start, exit " + controller.exitValue());
            }
            try {
                Client.Line line = front.open();
                String test = nextTag();
                line.send(message("OPTIONS sip:ping@net", test, "1 OPTIONS", "", ""));
                boolean passed = await(1000, () -> "200".equals(front.answers.get(test)));
                line.close();
                return passed;
            } catch (IOException e) {
                Thread.sleep(30);
                return false;
            }
        });
        if (!ready) {
            throw new IOException("the controller was not ready within 30 s");
        }
        note("controller passes the front's test");
    }

    long pid() {
        return controller.pid();
    }

    boolean controllerIsAlive() {
        return controller.isAlive();
    }

    int controllerExit() {
        return controller.exitValue();
    }

    void signal(String name) throws Exception {
        note("SIG" + name + " to the controller");
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + controller.pid()).start().waitFor();
    }

    void awaitControllerEnd(int seconds) throws InterruptedException {
        controller.waitFor(seconds, TimeUnit.SECONDS);
    }

    /** Copies those lines of the controller's log into the record that contain one of these words. */
    void quoteLog(int most, String... words) throws IOException {
        for (int i = 1; i <= starts; i++) {
            List<String> lines = Files.readAllLines(temporary.resolve("controller-" + i + ".log"), StandardCharsets.ISO_8859_1);
            lines.stream()
                    .filter(line -> Stream.of(words).anyMatch(line::contains))
                    .limit(most)
                    .forEach(line -> note("  controller's log: " + line));
        }
    }

    long statusKb(String field) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc", Long.toString(controller.pid()), "status"))) {
                if (line.startsWith(field + ":")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (IOException | NumberFormatException e) {
            return -1;
        }
        return -1;
    }

    long descriptors() {
        try (Stream<Path> files = Files.list(Path.of("/proc", Long.toString(controller.pid()), "fd"))) {
            return files.count();
        } catch (IOException e) {
            return -1;
        }
    }

    // ---- messages of the protocol page

    static String message(String requestLine, String callId, String cseq, String headers, String body) {
        return requestLine + " SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + callId + "\r\nCSeq: " + cseq + "\r\n" + headers
                + "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    static String setUp(String tag, String number, String kind, int withinMs, String routing, String body) {
        return message("INVITE sip:" + number + "@net", tag, "1 INVITE",
                "Call-Kind: " + kind + "\r\nAnswer-Within: " + withinMs + "\r\nRouting-Data: " + routing + "\r\n", body);
    }

    static String response(int status, String callId, String cseq) {
        return "SIP/2.0 " + status + (status == 200 ? " OK" : " No") + "\r\nVia: SIP/2.0/TCP controller\r\nCall-ID: " + callId + "\r\nCSeq: " + cseq
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    static String descriptionFor(String tag) {
        return "v=0 answer for " + tag + "\r\nc=IN IP4 127.0.0.9\r\n";
    }

    // ---- clients

    /** One sound client with its calls; any number of connections. */
    final class Client {
        final String name;
        final List<Line> lines = new CopyOnWriteArrayList<>();
        /** Status of the final answer by id. */
        final Map<String, String> answers = new ConcurrentHashMap<>();
        final Map<String, Double> answeredAtMs = new ConcurrentHashMap<>();
        final Map<String, String> descriptions = new ConcurrentHashMap<>();
        final Set<String> ownCalls = ConcurrentHashMap.newKeySet();
        /** When each own call was released by the controller, and with what cause. */
        final Map<String, Double> releasedAtMs = new ConcurrentHashMap<>();
        final Map<String, String> releaseCauses = new ConcurrentHashMap<>();
        final Set<String> foreignReleases = ConcurrentHashMap.newKeySet();
        final List<String> secondAnswers = new CopyOnWriteArrayList<>();
        final Set<String> openSetUps = ConcurrentHashMap.newKeySet();
        /** Set-ups whose connection ended before the answer. */
        final Set<String> lostWithLine = ConcurrentHashMap.newKeySet();
        volatile boolean quiet;

        Client(String name) {
            this.name = name;
        }

        void say(String text) {
            if (!quiet) {
                note(name + ": " + text);
            }
        }

        Line open() throws IOException {
            Line line = new Line(new Socket());
            line.start();
            return line;
        }

        final class Line {
            final Socket socket;
            final OutputStream out;
            final Set<String> open = ConcurrentHashMap.newKeySet();
            volatile boolean ended;
            volatile double endedAtMs;
            volatile boolean endedByUs;

            Line(Socket socket) throws IOException {
                this.socket = socket;
                socket.connect(new InetSocketAddress(listenHost, controllerPort), 5000);
                socket.setTcpNoDelay(true);
                out = socket.getOutputStream();
                closeables.add(socket);
                lines.add(this);
            }

            void start() {
                daemon(name + "-in", this::read);
            }

            synchronized void send(String text) throws IOException {
                out.write(text.getBytes(StandardCharsets.UTF_8));
            }

            /** Sends a set-up; returns its id. */
            String invite(String kind, int dest, int withinMs) throws IOException {
                return invite(nextTag(), kind, withinMs, "dest:" + dest + ";width:1;via:-1");
            }

            String invite(String tag, String kind, int withinMs, String routing) throws IOException {
                ownCalls.add(tag);
                openSetUps.add(tag);
                open.add(tag);
                send(setUp(tag, "7f3a9c21e0b4d655", kind, withinMs, routing, "offer of " + tag + "\r\n"));
                say("INVITE " + tag + " " + routing);
                return tag;
            }

            void name(String tag, String switchId) throws IOException {
                ownCalls.add(tag);
                send(setUp(tag, "7f3a9c21e0b4d655", "label-status", 9000, "dest:1;width:1;via:-1;at:" + switchId, "again\r\n"));
                say("INVITE " + tag + " at:" + switchId);
            }

            void bye(String tag) throws IOException {
                ownCalls.remove(tag);
                send(message("BYE sip:7f3a9c21e0b4d655@net", tag, "2 BYE", "Reason: Q.850;cause=16\r\n", ""));
                say("BYE " + tag);
            }

            void cancel(String tag) throws IOException {
                send(message("CANCEL sip:7f3a9c21e0b4d655@net", tag, "1 CANCEL", "", ""));
                say("CANCEL " + tag);
            }

            void close() {
                endedByUs = true;
                try {
                    socket.close();
                } catch (IOException e) {
                    say("not closed: " + e);
                }
            }

            void reset() throws IOException {
                endedByUs = true;
                say("resets its connection");
                socket.setSoLinger(true, 0);
                socket.close();
            }

            private void read() {
                String reason = "ended";
                try {
                    InputStream in = new BufferedInputStream(socket.getInputStream(), 2048);
                    while (true) {
                        StringBuilder head = new StringBuilder();
                        while (head.length() < 4 || head.charAt(head.length() - 1) != '\n'
                                || head.charAt(head.length() - 3) != '\n') {
                            int c = in.read();
                            if (c < 0) {
                                throw new IOException("end of stream");
                            }
                            head.append((char) c);
                        }
                        int length = Integer.parseInt(field(head, "Content-Length"));
                        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                        handle(head, body);
                    }
                } catch (IOException | RuntimeException e) {
                    reason = e.getMessage();
                }
                ended = true;
                endedAtMs = elapsedMs();
                lines.remove(this);
                lostWithLine.addAll(open);
                if (!endedByUs) {
                    say("connection ended: " + reason + (open.isEmpty() ? "" : ", open set-ups " + open.size()));
                }
            }

            private String field(StringBuilder head, String name) {
                Matcher matcher = Pattern.compile("(?mi)^" + name + ": *(.*?)\r?$").matcher(head);
                return matcher.find() ? matcher.group(1) : "0";
            }

            private void handle(StringBuilder head, String body) throws IOException {
                String callId = field(head, "Call-ID");
                String cseq = field(head, "CSeq");
                if (head.indexOf("SIP/2.0 ") == 0) {
                    String status = head.substring(8, 11);
                    if (cseq.endsWith("OPTIONS") || cseq.endsWith("INVITE")) {
                        if (status.startsWith("1")) {
                            return;
                        }
                        if (answers.putIfAbsent(callId, status) != null) {
                            secondAnswers.add(callId);
                            say("second answer " + status + " to " + callId);
                        } else {
                            answeredAtMs.put(callId, elapsedMs());
                            descriptions.put(callId, body);
                        }
                        open.remove(callId);
                        openSetUps.remove(callId);
                    }
                    if (cseq.endsWith("INVITE")) {
                        say(status + " to INVITE " + callId);
                        if (!status.equals("200")) {
                            ownCalls.remove(callId);
                        }
                        send(message("ACK sip:7f3a9c21e0b4d655@net", callId, "1 ACK", "", ""));
                    }
                    return;
                }
                if (head.indexOf("BYE ") == 0) {
                    if (ownCalls.remove(callId)) {
                        releasedAtMs.put(callId, elapsedMs());
                        releaseCauses.put(callId, field(head, "Reason"));
                        say("BYE for own call " + callId + " (" + field(head, "Reason") + "), answers 200");
                        send(response(200, callId, cseq));
                    } else if (releasedAtMs.containsKey(callId)) {
                        send(response(200, callId, cseq));
                    } else {
                        foreignReleases.add(callId);
                        say("BYE for a call that is not its own, " + callId + ", answers 481");
                        send(response(481, callId, cseq));
                    }
                }
            }
        }
    }

    Client client(String name) {
        return new Client(name);
    }

    // ---- switches

    /** A sound switch: answers, keeps calls, owes releases until they are heard. */
    final class Switch {
        final String id;
        final int cell;
        final Map<String, Line> standing = new ConcurrentHashMap<>();
        final Map<String, Integer> owed = new ConcurrentHashMap<>();
        final Map<String, Double> releasedAtMs = new ConcurrentHashMap<>();
        final List<String> starts = new CopyOnWriteArrayList<>();
        final List<Line> lines = new CopyOnWriteArrayList<>();
        final Set<String> finishedByController = ConcurrentHashMap.newKeySet();
        volatile long answerDelayMs = 5;
        volatile boolean answers = true;
        volatile boolean reports = true;
        volatile int circuits = 150;
        volatile boolean quiet;
        volatile int longestLine;
        /** Whether the switch closes on a line it cannot read because it is over 16 KiB. */
        volatile int closedOnLongLine;
        volatile boolean stopped;
        /** One way between the controller and this switch, both ways alike. */
        volatile long oneWayMs;
        private ServerSocket listener;
        final int port;

        Switch(String id, int cell) throws IOException {
            this(id, cell, 0);
        }

        Switch(String id, int cell, int wantedPort) throws IOException {
            this.id = id;
            this.cell = cell;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress("127.0.0.1", wantedPort), 128);
            port = listener.getLocalPort();
            closeables.add(listener);
            daemon("switch-" + id, this::accept);
            daemon("load-" + id, this::report);
        }

        void say(String text) {
            if (!quiet) {
                note(id + ": " + text);
            }
        }

        String entry(String state, long startedAtMs) {
            return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port
                    + "\",\"zone\":\"kochi\",\"machineType\":\"single-core\",\"cell\":" + cell + ",\"lifecycle\":\"" + state
                    + "\",\"weight\":1,\"startedAtMs\":" + startedAtMs + "}";
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    closeables.add(socket);
                    socket.setTcpNoDelay(true);
                    Line line = new Line(socket);
                    lines.add(line);
                    daemon("switch-in-" + id, line::read);
                }
            } catch (IOException e) {
                return;
            }
        }

        private void report() {
            try {
                while (!stopped) {
                    Thread.sleep(300);
                    if (reports) {
                        for (Line line : lines) {
                            line.trySend(load());
                        }
                    }
                }
            } catch (InterruptedException e) {
                return;
            }
        }

        private String load() {
            int held = standing.size();
            return "{\"verb\":\"LOAD\",\"tag\":\"0000000000000000\",\"opts\":{\"load\":\"x0:" + Math.max(0, circuits - held) + ";x1:"
                    + circuits + ";qps:200\"}}";
        }

        /** The call has come to its end at the switch. */
        void release(String tag, int cause) {
            Line line = standing.remove(tag);
            if (line == null) {
                return;
            }
            owed.put(tag, cause);
            releasedAtMs.put(tag, elapsedMs());
            say("FINISH " + tag + " cause " + cause);
            if (!line.trySend(finish(tag, cause))) {
                for (Line other : lines) {
                    if (other.trySend(finish(tag, cause))) {
                        break;
                    }
                }
            }
        }

        private String finish(String tag, int cause) {
            return "{\"verb\":\"FINISH\",\"tag\":\"" + tag + "\",\"opts\":{},\"rc\":" + cause + "}";
        }

        /** The process dies: its connections are reset, its calls are cut. */
        void die() throws IOException {
            say("process dies with " + standing.size() + " calls");
            stopped = true;
            listener.close();
            standing.clear();
            owed.clear();
            for (Line line : lines) {
                line.reset();
            }
        }

        final class Line {
            final Socket socket;
            private final OutputStream out;

            Line(Socket socket) throws IOException {
                this.socket = socket;
                out = socket.getOutputStream();
            }

            private final java.util.concurrent.BlockingQueue<Delayed> onItsWay = new java.util.concurrent.LinkedBlockingQueue<>();
            private boolean carries;

            private record Delayed(long atNs, String text) {}

            synchronized void send(String text) throws IOException {
                if (oneWayMs == 0) {
                    out.write((text + "\n").getBytes(StandardCharsets.UTF_8));
                    return;
                }
                if (!carries) {
                    carries = true;
                    daemon("network", this::carry);
                }
                onItsWay.add(new Delayed(System.nanoTime() + oneWayMs * 1_000_000, text));
            }

            /** The network from the switch to the controller. */
            private void carry() {
                try {
                    while (!socket.isClosed()) {
                        Delayed next = onItsWay.take();
                        Thread.sleep(Math.max(0, (next.atNs - System.nanoTime()) / 1_000_000));
                        out.write((next.text + "\n").getBytes(StandardCharsets.UTF_8));
                    }
                } catch (IOException | InterruptedException e) {
                    return;
                }
            }

            /** Returns false where the connection has ended. */
            boolean trySend(String text) {
                if (!lines.contains(this)) {
                    return false;
                }
                try {
                    send(text);
                    return true;
                } catch (IOException e) {
                    lines.remove(this);
                    return false;
                }
            }

            void reset() {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    say("not reset: " + e);
                }
                lines.remove(this);
            }

            void read() {
                try {
                    send(load());
                    for (Map.Entry<String, Integer> release : owed.entrySet()) {
                        send(finish(release.getKey(), release.getValue()));
                    }
                    BufferedReader reader =
                            new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                    if (oneWayMs > 0) {
                        readLate(reader);
                        return;
                    }
                    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                        int bytes = text.getBytes(StandardCharsets.UTF_8).length + 1;
                        longestLine = Math.max(longestLine, bytes);
                        if (bytes > 16 * 1024) {
                            closedOnLongLine++;
                            say("a line of " + bytes + " bytes: cannot be read, closes the connection");
                            socket.close();
                            break;
                        }
                        handle(text);
                    }
                } catch (IOException e) {
                    lines.remove(this);
                }
                lines.remove(this);
            }

            /** The network from the controller to the switch; the end of the stream takes as long as a message. */
            private void readLate(BufferedReader reader) {
                java.util.concurrent.BlockingQueue<Delayed> coming = new java.util.concurrent.LinkedBlockingQueue<>();
                daemon("network", () -> {
                    String text;
                    do {
                        try {
                            text = reader.readLine();
                        } catch (IOException e) {
                            text = null;
                        }
                        coming.add(new Delayed(System.nanoTime() + oneWayMs * 1_000_000, text));
                    } while (text != null);
                });
                try {
                    while (true) {
                        Delayed next = coming.take();
                        Thread.sleep(Math.max(0, (next.atNs - System.nanoTime()) / 1_000_000));
                        if (next.text == null) {
                            break;
                        }
                        handle(next.text);
                    }
                } catch (IOException | InterruptedException e) {
                    say("network: " + e);
                }
                lines.remove(this);
            }

            private void handle(String text) throws IOException {
                String verb = textOf(text, "verb");
                String tag = textOf(text, "tag");
                switch (verb) {
                    case "START" -> {
                        starts.add(tag);
                        say("START " + tag + " left " + textOf(text, "left"));
                        if (answers) {
                            daemon("answer", () -> answer(tag));
                        }
                    }
                    case "FINISH" -> {
                        finishedByController.add(tag);
                        standing.remove(tag);
                        say("FINISH from the controller for " + tag);
                        send("{\"verb\":\"FINISHED\",\"tag\":\"" + tag + "\",\"opts\":{}}");
                    }
                    case "FINISHED" -> {
                        if (owed.remove(tag) != null) {
                            say("FINISHED for " + tag);
                        }
                    }
                    case "ECHO" -> send("{\"verb\":\"ECHOED\",\"tag\":\"" + tag + "\",\"opts\":{},\"rc\":1}");
                    default -> say("unknown " + text);
                }
            }

            private void answer(String tag) {
                try {
                    Thread.sleep(answerDelayMs);
                    if (finishedByController.contains(tag)) {
                        return;
                    }
                    standing.put(tag, this);
                    String description = descriptionFor(tag).replace("\r\n", "\\r\\n");
                    if (trySend("{\"verb\":\"STARTED\",\"tag\":\"" + tag + "\",\"opts\":{},\"blob\":\"" + description + "\"}")) {
                        say("STARTED " + tag);
                    } else {
                        standing.remove(tag);
                    }
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    static String textOf(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":\"((?:[^\"\\\\]|\\\\.)*?)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    // ---- the journal service

    final class Journal {
        final List<String> events = new CopyOnWriteArrayList<>();
        final ServerSocket listener;
        volatile boolean stopped;
        /** How long after a request the answer to it begins. */
        volatile long slowMs;

        Journal() throws IOException {
            listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            closeables.add(listener);
            daemon("journal", () -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        closeables.add(socket);
                        daemon("journal-out", () -> serve(socket));
                    }
                } catch (IOException e) {
                    return;
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        void list(boolean reset, String... entries) {
            int position = events.size() + 1;
            events.add("{\"pos\":" + position + ",\"hosts\":{\"generation\":" + position + ",\"reset\":" + reset
                    + ",\"instances\":[" + String.join(",", entries) + "]}}");
            note("journal event " + position + ": " + String.join(",", entries));
        }

        private void serve(Socket socket) {
            try (socket) {
                BufferedReader reader = new BufferedReader(new InputStreamReader(socket.getInputStream()));
                int position = 0;
                for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
                    if (line.toLowerCase(Locale.ROOT).startsWith("last-event-id: ")) {
                        position = Integer.parseInt(line.substring(15).trim());
                    }
                }
                note("journal: GET after event " + position);
                Thread.sleep(slowMs);
                OutputStream out = socket.getOutputStream();
                out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                        .getBytes(StandardCharsets.UTF_8));
                long lastComment = 0;
                while (!stopped) {
                    for (; position < events.size(); position++) {
                        out.write(("id: " + (position + 1) + "\ndata: " + events.get(position) + "\n\n")
                                .getBytes(StandardCharsets.UTF_8));
                    }
                    if (System.nanoTime() - lastComment > 900_000_000L) {
                        lastComment = System.nanoTime();
                        out.write(": here\n\n".getBytes(StandardCharsets.UTF_8));
                    }
                    Thread.sleep(20);
                }
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }

    private void killController() {
        Process started = controller;
        if (started != null) {
            started.destroyForcibly();
        }
    }

    @Override
    public synchronized void close() throws Exception {
        if (controller != null) {
            controller.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }
        for (AutoCloseable closeable : closeables) {
            try {
                closeable.close();
            } catch (Exception e) {
                continue;
            }
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
