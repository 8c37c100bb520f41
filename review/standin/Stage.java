import java.io.BufferedReader;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the platform on loopback, written from the operators' protocol page: switches, the journal service and
 * callers. Controllers are separate processes, started with the command {@code run} of the deploy file.
 */
final class Stage implements AutoCloseable {
    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** The part of a case that judges: returns one of the exit codes. */
    interface Play {
        int run(Stage stage) throws Exception;
    }

    static void main(String name, Play play) {
        int code = COULD_NOT_RUN;
        try (Stage stage = new Stage(name)) {
            Runtime.getRuntime().addShutdownHook(new Thread(stage::endProcesses));
            daemon(() -> stage.giveUpAfter(MAX_DURATION_MS));
            try {
                code = play.run(stage);
            } catch (Exception e) {
                stage.note("the case could not run: " + e);
                for (StackTraceElement element : e.getStackTrace()) {
                    stage.note("  " + element);
                }
            }
            stage.note("verdict " + code + (code == HELD ? " (held)" : code == BROKEN ? " (broken)" : " (not run)"));
        } catch (Exception e) {
            System.err.println(e);
            code = COULD_NOT_RUN;
        }
        System.exit(code);
    }

    /** A case ends by itself in less than the 120 s that it may take. */
    private static final long MAX_DURATION_MS = 110_000;

    private final PrintWriter record;
    private final long startMs = System.currentTimeMillis();
    private final List<Closeable> closeables = new CopyOnWriteArrayList<>();
    private final List<Controller> controllers = new CopyOnWriteArrayList<>();
    final Path root;
    final Path temporary;

    private Stage(String name) throws IOException {
        root = Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("record", "record.txt"))), true);
        temporary = Files.createTempDirectory("review");
        note(name + ", TROUBLE=" + (TROUBLE ? 1 : 0));
    }

    /** Milliseconds since the case began. */
    long now() {
        return System.currentTimeMillis() - startMs;
    }

    synchronized void note(String text) {
        String line = String.format("%7d %s", now(), text.replace("\r\n", "|").replace('\n', '|'));
        record.println(line);
        System.out.println(line);
    }

    /** Only into the record. */
    synchronized void trace(String text) {
        record.println(String.format("%7d %s", now(), text.replace("\r\n", "|").replace('\n', '|')));
    }

    static void sleep(long ms) throws InterruptedException {
        if (ms > 0) {
            Thread.sleep(ms);
        }
    }

    void sleepUntil(long moment) throws InterruptedException {
        sleep(moment - now());
    }

    static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(loopback(0));
            return socket.getLocalPort();
        }
    }

    private static Thread daemon(Runnable body) {
        Thread thread = new Thread(null, body, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Handler {
        void handle(Socket socket) throws Exception;
    }

    private ServerSocket listen(int port, int backlog, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(loopback(port), backlog);
        daemon(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> {
                        try (socket) {
                            handler.handle(socket);
                        } catch (Exception e) {
                            trace("a stand-in's connection ended: " + e);
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        closeables.add(listener);
        return listener;
    }

    private void giveUpAfter(long ms) {
        try {
            sleep(ms);
        } catch (InterruptedException e) {
            return;
        }
        note("the case took too long; verdict " + COULD_NOT_RUN);
        endProcesses();
        Runtime.getRuntime().halt(COULD_NOT_RUN);
    }

    private void endProcesses() {
        for (Controller controller : controllers) {
            controller.process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        for (Controller controller : controllers) {
            controller.end();
        }
        for (Closeable closeable : closeables) {
            closeable.close();
        }
        try (var files = Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
        record.close();
    }

    // ---- switches

    /** One line from a controller to a switch. */
    record Line(Link link, String verb, String tag, String blob, String left, long at) {}

    /** One connection of a controller to a switch. */
    final class Link {
        final Socket socket;
        final Switch owner;
        /** Of no further use: what the switch sends never arrives, though the connection stays open. */
        volatile boolean mute;

        Link(Socket socket, Switch owner) {
            this.socket = socket;
            this.owner = owner;
        }

        synchronized boolean send(String line) {
            if (mute) {
                trace(owner.id + " sends in vain " + line);
                return true;
            }
            try {
                socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
                trace(owner.id + " sends " + line);
                return true;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** The text of a field; the escapes in it stay as they are. */
    private static String field(String json, String name) {
        int start = json.indexOf("\"" + name + "\":");
        if (start < 0) {
            return null;
        }
        start += name.length() + 3;
        boolean quoted = json.charAt(start) == '"';
        int end = start + 1;
        while (quoted ? json.charAt(end) != '"' : "+-.0123456789".indexOf(json.charAt(end)) >= 0) {
            end += json.charAt(end) == '\\' ? 2 : 1;
        }
        return json.substring(quoted ? start + 1 : start, end);
    }

    /**
     * A switch. It reports the state of its group first on each connection and then whenever it changes, on at most four
     * connections; it takes set-ups, and keeps calls until they are released. What a case changes is in {@link #onStart}.
     */
    final class Switch implements Closeable {
        final String id;
        final int cell;
        final int port;
        final List<Link> links = new CopyOnWriteArrayList<>();
        final List<Line> starts = new CopyOnWriteArrayList<>();
        final List<Line> finishes = new CopyOnWriteArrayList<>();
        /** Set-ups that have reached the switch and have no end, and calls that stand: the link they came on. */
        final Map<String, Link> open = new ConcurrentHashMap<>();

        final Map<String, Link> standing = new ConcurrentHashMap<>();
        /** Releases that the controllers have not heard: said again on the next connection. */
        final Map<String, Integer> owed = new LinkedHashMap<>();

        volatile int size = 200;
        volatile long startedAtMs;
        /** Called for each START, on the reading thread of its connection; the default answers it. */
        volatile BiConsumer<Switch, Line> onStart = (self, line) -> self.started(line);

        private ServerSocket listener;

        Switch(String id, int cell, int port) throws IOException {
            this.id = id;
            this.cell = cell;
            this.port = port;
            begin();
            daemon(() -> {
                for (int told = -1; ; ) {
                    try {
                        sleep(20);
                    } catch (InterruptedException e) {
                        return;
                    }
                    if (told != free()) {
                        told = free();
                        links.stream().limit(4).forEach(this::sendState);
                    }
                }
            });
        }

        private int free() {
            return Math.max(0, size - standing.size() - open.size());
        }

        /** The process of the switch starts: it knows no call. */
        void begin() throws IOException {
            listener = listen(port, 128, socket -> {
                Link link = new Link(socket, this);
                sendState(link);
                links.add(link);
                synchronized (owed) {
                    owed.forEach((tag, cause) -> sendRelease(link, tag, cause));
                }
                try {
                    BufferedReader reader =
                            new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                        received(link, text);
                    }
                } finally {
                    links.remove(link);
                    open.values().removeIf(other -> other == link);
                }
            });
        }

        /** The process of the switch dies: its connections are reset and its calls cut. */
        void die() throws IOException {
            note(id + " dies; calls that stood there: " + standing.size());
            listener.close();
            for (Link link : links) {
                link.socket.setSoLinger(true, 0);
                link.socket.close();
            }
            links.clear();
            open.clear();
            standing.clear();
            synchronized (owed) {
                owed.clear();
            }
        }

        private void sendState(Link link) {
            try {
                synchronized (link) {
                    if (link.mute) {
                        return;
                    }
                    link.socket
                            .getOutputStream()
                            .write(("{\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{\"load\":\"x0:" + free() + ";x1:" + size
                                            + "\"}}\n")
                                    .getBytes(StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                links.remove(link);
            }
        }

        private void received(Link link, String text) {
            Line line = new Line(
                    link, field(text, "verb"), field(text, "tag"), field(text, "blob"), field(text, "left"), now());
            trace(id + " gets " + (text.length() > 300 ? text.substring(0, 300) + "..." : text));
            switch (String.valueOf(line.verb)) {
                case "START" -> {
                    open.put(line.tag, link);
                    starts.add(line);
                    onStart.accept(this, line);
                }
                case "FINISH" -> {
                    finishes.add(line);
                    open.remove(line.tag);
                    standing.remove(line.tag);
                    link.send("{\"verb\":\"FINISHED\",\"tag\":\"" + line.tag + "\",\"opts\":{}}");
                }
                case "FINISHED" -> {
                    synchronized (owed) {
                        owed.remove(line.tag);
                    }
                }
                case "ECHO" -> link.send("{\"verb\":\"ECHOED\",\"tag\":\"" + line.tag + "\",\"opts\":{},\"rc\":1}");
                default -> note(id + " got something else: " + text);
            }
        }

        /** The call stands. */
        boolean started(Line line) {
            if (open.remove(line.tag) == null) {
                return false;
            }
            standing.put(line.tag, line.link);
            return line.link.send("{\"verb\":\"STARTED\",\"tag\":\"" + line.tag + "\",\"opts\":{},\"blob\":\"" + line.blob
                    + " via " + id + "\"}");
        }

        /** The call stands, and ends by itself after this time. */
        void startedFor(Line line, long holdMs) {
            if (started(line)) {
                daemon(() -> {
                    try {
                        sleep(holdMs);
                    } catch (InterruptedException e) {
                        return;
                    }
                    if (standing.containsKey(line.tag)) {
                        release(line.tag, 16);
                    }
                });
            }
        }

        void refuse(Line line, int cause, String noteText) {
            open.remove(line.tag);
            line.link.send("{\"verb\":\"FINISH\",\"tag\":\"" + line.tag + "\",\"opts\":{\"note\":\"" + noteText
                    + "\"},\"rc\":" + cause + "}");
        }

        /** A call that stands is over: told on its connection, else on any open one, and on the next one as well. */
        void release(String tag, int cause) {
            Link link = standing.remove(tag);
            synchronized (owed) {
                owed.put(tag, cause);
            }
            if (link == null || !links.contains(link) || !sendRelease(link, tag, cause)) {
                for (Link other : links) {
                    if (sendRelease(other, tag, cause)) {
                        return;
                    }
                }
            }
        }

        private boolean sendRelease(Link link, String tag, int cause) {
            return link.send("{\"verb\":\"FINISH\",\"tag\":\"" + tag + "\",\"opts\":{},\"rc\":" + cause + "}");
        }

        String instance(String lifecycle) {
            return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port
                    + "\",\"zone\":\"kochi\",\"machineType\":\"single-core\",\"cell\":" + cell + ",\"lifecycle\":\""
                    + lifecycle + "\",\"weight\":1,\"startedAtMs\":" + startedAtMs + "}";
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Link link : links) {
                link.socket.close();
            }
        }
    }

    Switch newSwitch(String id, int cell) throws IOException {
        return newSwitch(id, cell, freePort());
    }

    Switch newSwitch(String id, int cell, int port) throws IOException {
        Switch created = new Switch(id, cell, port);
        closeables.add(created);
        return created;
    }

    // ---- the journal service

    /** The journal service: events by number, a comment each second. */
    final class Journal {
        private final List<String> events = new ArrayList<>();
        private final ServerSocket listener;
        /** How long the service takes to answer a request. */
        volatile long answerAfterMs;

        Journal() throws IOException {
            listener = listen(0, 128, this::serve);
        }

        int port() {
            return listener.getLocalPort();
        }

        synchronized int last() {
            return events.size();
        }

        /** Adds an event, which counts as told from now on. */
        synchronized long add(boolean full, String... instances) {
            events.add("{\"pos\":" + (events.size() + 1) + ",\"hosts\":{\"generation\":" + (events.size() + 1)
                    + ",\"reset\":" + full + ",\"instances\":[" + String.join(",", instances) + "]}}");
            note("journal has event " + events.size() + ": " + events.get(events.size() - 1));
            notifyAll();
            return now();
        }

        synchronized String known() {
            return "{\"pos\":" + events.size() + ",\"entries\":[" + String.join(",", events) + "]}";
        }

        private void serve(Socket socket) throws Exception {
            BufferedReader reader = new BufferedReader(new InputStreamReader(socket.getInputStream()));
            int position = 0;
            for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
                if (line.startsWith("Last-Event-ID: ")) {
                    position = Integer.parseInt(line.substring(15).trim());
                }
            }
            trace("journal is asked for events after " + position + " from " + socket.getRemoteSocketAddress());
            sleep(answerAfterMs);
            write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
            trace("journal answers " + socket.getRemoteSocketAddress());
            for (long commentAt = now() + 1000; ; ) {
                StringBuilder text = new StringBuilder();
                synchronized (this) {
                    if (position >= events.size()) {
                        wait(Math.max(1, commentAt - now()));
                    }
                    for (; position < events.size(); position++) {
                        text.append("id: ").append(position + 1).append("\ndata: ").append(events.get(position));
                        text.append("\n\n");
                    }
                }
                if (now() >= commentAt) {
                    text.append(": here\n\n");
                    commentAt += 1000;
                }
                write(socket, text.toString());
            }
        }

        private static void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    // ---- controllers

    /** A controller's process, started as the deploy file says. */
    final class Controller {
        final int port;
        final Path file;
        final Path log;
        private Process process;
        private final Map<String, String> settings = new LinkedHashMap<>();
        private final Journal journal;
        private final int cell;
        int sockets = 1024;
        private boolean wasEnded;

        Controller(Journal journal, int cell, Map<String, String> changedSettings) throws IOException {
            this.journal = journal;
            this.cell = cell;
            port = freePort();
            file = temporary.resolve("config-" + port + ".json");
            log = temporary.resolve("log-" + port + ".txt");
            settings.putAll(changedSettings);
        }

        private String setting(String name, String usual) {
            return settings.getOrDefault(name, usual);
        }

        void writeConfiguration() throws IOException {
            String settings = setting("site", "kerala-helpdesks").equals("rider-hub-lines") ? riderHub() : kerala();
            Files.writeString(
                    file,
                    "{\"name\":\"n" + cell + "\",\"listen\":\"127.0.0.1:" + port
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                            + sockets + "},\"peers\":[],\"journal\":\"127.0.0.1:" + journal.port() + "\",\"known\":"
                            + journal.known() + ",\"settings\":{" + settings
                            + ",\"zones\":[\"kochi\",\"kozhikode\"],\"kinds\":[\"single-core\"],\"me\":" + cell
                            + ",\"my-zone\":0,\"n-instances\":4,\"discovery\":\"automatic\",\"round-ns\":5000000}}");
        }

        private static String classSetting(String name, double aimMs, double patienceMs, double worth) {
            return "{\"name\":\"" + name + "\",\"aim-ns\":" + Math.round(aimMs * 1e6) + ",\"hard-limit-ns\":"
                    + Math.round(patienceMs * 1e6) + ",\"worth\":" + worth
                    + ",\"effect\":\"read_like\",\"stream\":true}";
        }

        /** The names and the figures of the site kerala-helpdesks. */
        private String kerala() {
            return "\"classes\":[" + classSetting("label-status", 1200, 9000, 1) + ","
                    + classSetting("pickup-slot", 1200, 6000, 8)
                    + "],\"family-info\":{\"mean-hold-ns\":[11200000000,5600000000],\"widths\":[1,1],\"home-no\":" + cell
                    + ",\"topology\":\"meshed\",\"release-ns\":500000000,\"retransmit-ns\":800000000,"
                    + "\"class-cells\":[]},\"guarantees\":{\"warm-within-ns\":14000000000,\"cold-share\":0.29,"
                    + "\"fall-multiple\":3.0,\"fall-ns\":1500000000,\"drain-grace-ns\":2000000000,"
                    + "\"answer-slack-ns\":20000000},\"policy-limits\":{\"send-cap\":5,\"cancel\":true,\"peers\":"
                    + "false,\"probes\":false,\"max-open\":20000,\"retry-after\":true,\"max-retry-after-ns\":"
                    + "2000000000,\"parallel-tries\":false,\"connect-timeout-ns\":500000000,\"conn-idle-ns\":"
                    + setting("conn-idle-ns", "600000000000")
                    + "},\"report\":{\"fields\":[\"spare\",\"total\",\"allowed\"]}";
        }

        /** The names and the figures of the site rider-hub-lines; no peers and no probes are needed here. */
        private String riderHub() {
            return "\"classes\":[" + classSetting("pickup-query", 1500, 9000, 1) + ","
                    + classSetting("item-video-check", 2500, 9000, 2) + "," + classSetting("doorstep-hold", 1200, 6000, 8)
                    + "],\"family-info\":{\"mean-hold-ns\":[10600000000,10600000000,5300000000],\"widths\":[1,4,1],"
                    + "\"home-no\":" + cell
                    + ",\"topology\":\"meshed\",\"release-ns\":300000000,\"retransmit-ns\":800000000,"
                    + "\"class-cells\":[]},\"guarantees\":{\"warm-within-ns\":15000000000,\"cold-share\":0.28,"
                    + "\"fall-multiple\":2.0,\"fall-ns\":1000000000,\"drain-grace-ns\":500000000,"
                    + "\"answer-slack-ns\":20000000},\"policy-limits\":{\"send-cap\":5,\"cancel\":true,\"peers\":"
                    + "false,\"probes\":false,\"max-open\":20000,\"retry-after\":true,\"max-retry-after-ns\":"
                    + "2000000000,\"parallel-tries\":false,\"connect-timeout-ns\":500000000,\"conn-idle-ns\":"
                    + setting("conn-idle-ns", "600000000000")
                    + "},\"report\":{\"fields\":[\"spare\",\"total\",\"depth\",\"allowed\"]}";
        }

        /** Starts the process and waits until it passes the front's test. */
        void start() throws Exception {
            writeConfiguration();
            String deploy = Files.readString(root.resolve("deploy/balancer.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"\\s*$").matcher(deploy);
            if (!run.find()) {
                throw new IOException("the deploy file has no run");
            }
            Path own = Files.createTempDirectory(temporary, "tmp");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1).replace("\\\"", "\""));
            builder.directory(root.toFile());
            builder.environment().put("ROUTER_NAME", "n" + cell);
            builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("ROUTER_CONFIG", file.toString());
            builder.environment().put("TMPDIR", own.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            wasEnded = false;
            if (!controllers.contains(this)) {
                controllers.add(this);
            }
            note("controller n" + cell + " starts at port " + port + ", process " + process.pid());
            for (long deadline = now() + 30_000; now() < deadline; sleep(20)) {
                if (!process.isAlive()) {
                    throw new IOException("the controller ended at its start: " + process.exitValue());
                }
                try (Caller test = new Caller("front", port)) {
                    if (test.options()) {
                        note("controller n" + cell + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    continue;
                }
            }
            throw new IOException("the controller is not ready");
        }

        boolean isAlive() {
            return process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        void signal(String name) throws Exception {
            note("SIG" + name + " to controller n" + cell);
            wasEnded |= name.equals("KILL") || name.equals("TERM");
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        void kill() throws Exception {
            signal("KILL");
            process.waitFor(10, TimeUnit.SECONDS);
        }

        /** Whether the process has ended though nobody ended it. */
        boolean hasCrashed() {
            return !wasEnded && !process.isAlive();
        }

        List<String> logLines(String part) throws IOException {
            List<String> found = new ArrayList<>();
            for (String line : Files.readAllLines(log)) {
                if (line.contains(part)) {
                    found.add(line);
                }
            }
            return found;
        }

        private void end() throws IOException {
            try {
                process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            trace("---- log of controller n" + cell);
            for (String line : Files.readAllLines(log)) {
                if (!line.contains(" settings: ")) {
                    trace(line.length() > 500 ? line.substring(0, 500) : line);
                }
            }
        }
    }

    // ---- callers

    /** A message that a caller received. */
    record Message(String startLine, String callId, String cseq, Map<String, String> headers, String body, long at) {
        int status() {
            return startLine.startsWith("SIP/2.0 ") ? Integer.parseInt(startLine.substring(8, 11)) : 0;
        }
    }

    /** One connection of one caller. It answers releases: 200 for a call of this caller, else 481. */
    final class Caller implements Closeable {
        final String name;
        final Socket socket = new Socket();
        final List<Message> received = new CopyOnWriteArrayList<>();
        /** When each set-up was sent whole. */
        final Map<String, Long> sentAt = new ConcurrentHashMap<>();
        /** The calls that this caller knows, shared by the connections of one caller. */
        final Map<String, String> calls;

        volatile long endedAt = -1;
        volatile boolean acknowledges = true;
        /** Whether a release of a call that this caller does not know is answered (481). */
        volatile boolean answersUnknown = true;

        Caller(String name, int port) throws IOException {
            this(name, port, new ConcurrentHashMap<>());
        }

        Caller(String name, int port, Map<String, String> calls) throws IOException {
            this.name = name;
            this.calls = calls;
            socket.connect(loopback(port), 2000);
            socket.setTcpNoDelay(true);
            closeables.add(this);
            daemon(this::read);
        }

        private void read() {
            try {
                InputStream input = new java.io.BufferedInputStream(socket.getInputStream());
                for (Message message = next(input); message != null; message = next(input)) {
                    received.add(message);
                    trace(name + " gets " + message.startLine + " Call-ID " + message.callId + " " + message.headers
                            + (message.body.length() > 80 ? "" : " " + message.body));
                    synchronized (received) {
                        received.notifyAll();
                    }
                    if (message.startLine.startsWith("BYE ")) {
                        boolean known = calls.remove(message.callId) != null;
                        note(name + " gets a release of " + message.callId
                                + (known ? ", answers 200" : answersUnknown ? ", answers 481" : ", knows no such call"));
                        if (!known && !answersUnknown) {
                            continue;
                        }
                        send("SIP/2.0 " + (known ? "200 OK" : "481 Call/Transaction Does Not Exist")
                                + "\r\nVia: SIP/2.0/TCP controller\r\nCall-ID: " + message.callId + "\r\nCSeq: "
                                + message.cseq + "\r\nContent-Length: 0\r\n\r\n");
                    } else if (message.status() >= 200 && message.cseq.endsWith("INVITE")) {
                        if (message.status() == 200) {
                            calls.put(message.callId, "stands");
                        }
                        if (acknowledges) {
                            send(request("ACK", message.callId, "", ""));
                        }
                    }
                }
            } catch (IOException e) {
                trace(name + "'s connection: " + e.getMessage());
            }
            endedAt = now();
            synchronized (received) {
                received.notifyAll();
            }
        }

        private Message next(InputStream input) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                int character = input.read();
                if (character < 0) {
                    return null;
                }
                head.append((char) character);
            }
            String[] lines = head.toString().trim().split("\r\n");
            Map<String, String> headers = new HashMap<>();
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                headers.put(lines[i].substring(0, colon).trim(), lines[i].substring(colon + 1).trim());
            }
            int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
            String body = new String(input.readNBytes(length), StandardCharsets.UTF_8);
            return new Message(
                    lines[0],
                    headers.getOrDefault("Call-ID", ""),
                    headers.getOrDefault("CSeq", ""),
                    headers,
                    body,
                    now());
        }

        static String request(String method, String callId, String extraHeaders, String body) {
            return method + " sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + callId
                    + "\r\nCSeq: 1 " + method + "\r\n" + extraHeaders + "Content-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
        }

        synchronized void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Sends a set-up to exchange {@code dest}. */
        void invite(String callId, String skill, int dest, int withinMs, String body) throws IOException {
            invite(callId, skill, "dest:" + dest + ";width:1;via:-1", withinMs, body);
        }

        void invite(String callId, String skill, String routingData, int withinMs, String body) throws IOException {
            send(request(
                    "INVITE",
                    callId,
                    "Call-Kind: " + skill + "\r\nAnswer-Within: " + withinMs + "\r\nRouting-Data: " + routingData
                            + "\r\n",
                    body));
            sentAt.put(callId, now());
            trace(name + " sent INVITE " + callId + " " + routingData + ", " + body.length() + " characters");
        }

        /** Names a call that stands at a switch. */
        void nameCall(String callId, String skill, String switchId) throws IOException {
            calls.put(callId, "stands");
            send(request(
                    "INVITE",
                    callId,
                    "Call-Kind: " + skill + "\r\nAnswer-Within: 6000\r\nRouting-Data: dest:1;width:1;via:-1;at:"
                            + switchId + "\r\n",
                    "9d41c07a5be2f318\r\n"));
            note(name + " names " + callId + " at " + switchId);
        }

        boolean options() throws IOException, InterruptedException {
            send(request("OPTIONS", "ping", "", "").replace("7f3a9c21e0b4d655", "ping"));
            Message answer = await("ping", 2000);
            return answer != null && answer.status() == 200;
        }

        /** The final answer or the next message for this id; null if none comes in time. */
        Message await(String callId, long ms) throws InterruptedException {
            long deadline = now() + ms;
            while (true) {
                synchronized (received) {
                    for (Message message : received) {
                        if (message.callId.equals(callId) && message.status() >= 200) {
                            return message;
                        }
                    }
                    if (now() >= deadline || endedAt >= 0) {
                        return null;
                    }
                    received.wait(Math.max(1, Math.min(50, deadline - now())));
                }
            }
        }

        Message awaitRelease(String callId, long ms) throws InterruptedException {
            long deadline = now() + ms;
            while (true) {
                synchronized (received) {
                    for (Message message : received) {
                        if (message.callId.equals(callId) && message.startLine.startsWith("BYE ")) {
                            return message;
                        }
                    }
                    if (now() >= deadline || endedAt >= 0) {
                        return null;
                    }
                    received.wait(Math.max(1, Math.min(50, deadline - now())));
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String id(long number) {
        return String.format("%016x", 0x9b1f03aa00000000L + number);
    }
}
