package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import martenslip.platform.PlatformStandIn.CallerConnection;
import martenslip.platform.PlatformStandIn.SwitchStandIn;
import martenslip.sip.message.MessageParser;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against report 9d16c4, pictures (b) and (c), with the program in a process of its own under the deploy file's
 * bounds: callers that write slowly, by halves or at full speed must neither cost others their answers nor take memory
 * without end.
 */
public class HostileCallersTest {
    /** The smallest limit of the report. */
    private static final int MEMORY_LIMIT_MB = 144;

    private static final int SOCKET_LIMIT = 384;
    private static final int HOSTILE_CONNECTIONS = 300;
    private static final int FAST_CONNECTIONS = 20;
    private static final int USUAL_CALLERS = 6;
    private static final int CALL_INTERVAL_MS = 30;
    private static final int PATIENCE_MS = 1500;
    /** Half a second after its time an answer is lost; 50 ms of slack. */
    private static final int LOST_AFTER_MS = PATIENCE_MS + 550;

    private static final int MAX_MESSAGE_BYTES = 16 * 1024;
    private static final int PHASE_MS = Integer.getInteger("martenslip.hostile.phase-ms", 1500);
    private static final int LOG_LINES = 40;
    /** Long enough to fill the heap, and for calls without an ACK to be released. */
    private static final int FLOOD_MS = 8000;

    private static final int CALM_MS = 500;
    /** How long after the end of a flood usual callers are to be served as before. */
    private static final int SETTLE_MS = 2000;

    /** What the hostile callers do. */
    private enum Picture {
        NOTHING,
        HEADS_OF_SHORT_FIELDS,
        HALF_MESSAGES,
        BYTE_BY_BYTE,
        LARGE_SET_UPS,
        HEADS_OF_MANY_VALUES,
        LARGE_RELEASES,
        ANSWERS_LEFT_UNREAD,
        REQUESTS_OF_UNKNOWN_CALLS,
        UNSOUND_SET_UPS,
        NAMINGS_AT_UNKNOWN_SWITCHES,
        NAMINGS_AT_A_KNOWN_SWITCH,
        ALL_AT_ONCE,
        SET_UPS_ON_MANY_CONNECTIONS,
        LARGE_SET_UPS_ON_MANY_CONNECTIONS;

        /** Whether the callers send set-ups at full speed on hundreds of connections. */
        boolean isFlood() {
            return this == SET_UPS_ON_MANY_CONNECTIONS || this == LARGE_SET_UPS_ON_MANY_CONNECTIONS;
        }
    }

    private List<SwitchStandIn> switches;
    private final List<Socket> hostileSockets = new CopyOnWriteArrayList<>();

    private PlatformStandIn platform;
    private ControllerProcess process;
    private Deque<String> lastLogLines;
    private final AtomicInteger lastCallId = new AtomicInteger();

    @BeforeMethod
    public void startProcess() throws Exception {
        platform = new PlatformStandIn();
        switches = platform.startSwitches(3);
        PlatformStandIn.JournalStandIn journal = platform.new JournalStandIn();
        for (SwitchStandIn switchStandIn : switches) {
            switchStandIn.circuits = 400;
            switchStandIn.startReporting();
            switchStandIn.serveAll();
        }
        String initialList = PlatformStandIn.initialList(switches);
        journal.addEvent(initialList);
        process = new ControllerProcess();
        String configuration = PlatformStandIn.configuration(journal.port(), initialList)
                .replace("\"memory_mb\":192,\"sockets\":64", "\"memory_mb\":144,\"sockets\":" + SOCKET_LIMIT)
                .replace("\"max-open\":50", "\"max-open\":20000");
        process.launchAsDeployed(PlatformStandIn.writeTemporary(process.configured(configuration)));
        process.awaitLogLine("ready");
        lastLogLines = process.followLog(LOG_LINES);
    }

    @AfterMethod
    public void stopProcess() throws Exception {
        process.close();
        platform.close();
    }

    private String nextCallId() {
        return String.format("%016x", lastCallId.incrementAndGet());
    }

    /** One usual caller: one call after the other on one connection, each released by the caller. */
    private final class UsualCaller extends Thread {
        private final AtomicBoolean isStopped;
        private final AtomicLong worstMs;
        private final AtomicInteger served = new AtomicInteger();
        private final List<String> lost = new ArrayList<>();

        UsualCaller(AtomicBoolean isStopped, AtomicLong worstMs) {
            this.isStopped = isStopped;
            this.worstMs = worstMs;
            setDaemon(true);
            start();
        }

        @Override
        public void run() {
            try {
                CallerConnection connection = platform.new CallerConnection(process.listenAddress());
                connection.socket.setSoTimeout(LOST_AFTER_MS);
                while (!isStopped.get()) {
                    call(connection);
                    Thread.sleep(CALL_INTERVAL_MS);
                }
            } catch (IOException | InterruptedException e) {
                lost.add("the caller ended: " + e);
            }
        }

        private void call(CallerConnection connection) throws IOException {
            String callId = nextCallId();
            long sentNs = System.nanoTime();
            connection.invite(callId, "dear", PATIENCE_MS, "v=0\r\n");
            String answer = nextOf(connection, callId, "INVITE");
            if (answer == null) {
                throw new IOException("the connection ended with " + callId + " open");
            }
            worstMs.accumulateAndGet((System.nanoTime() - sentNs) / 1_000_000, Math::max);
            connection.send(CallerConnection.message("ACK", callId, "", ""));
            if (answer.startsWith("SIP/2.0 200 ")) {
                served.incrementAndGet();
                connection.send(CallerConnection.message("BYE", callId, "Reason: Q.850;cause=16\r\n", ""));
                nextOf(connection, callId, "BYE");
            }
        }

        /** Releases of hostile callers' calls may come here too; nobody knows them. */
        private String nextOf(CallerConnection connection, String callId, String method) throws IOException {
            String message = connection.next();
            while (message != null && !(message.contains(callId) && message.contains("CSeq: 1 " + method))) {
                message = connection.next();
            }
            return message;
        }
    }

    /** One hostile connection; it is opened again whenever it is closed. */
    private final class HostileCaller extends Thread {
        private final AtomicBoolean isStopped;
        private final Picture picture;
        private final AtomicLong messages;

        HostileCaller(AtomicBoolean isStopped, Picture picture, AtomicLong messages) {
            super(null, null, "hostile", 128 * 1024);
            this.isStopped = isStopped;
            this.picture = picture;
            this.messages = messages;
            setDaemon(true);
            start();
        }

        @Override
        public void run() {
            while (!isStopped.get()) {
                try (Socket socket = new Socket()) {
                    hostileSockets.add(socket);
                    socket.connect(process.listenAddress(), 2000);
                    if (picture != Picture.ANSWERS_LEFT_UNREAD) {
                        drainInput(socket);
                    }
                    misbehave(socket);
                } catch (IOException | InterruptedException e) {
                    // Closed by the controller, as it may be.
                    continue;
                }
            }
        }

        private void drainInput(Socket socket) {
            Thread reader = new Thread(
                    null,
                    () -> {
                        try {
                            socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
                        } catch (IOException e) {
                            // The connection has ended.
                        }
                    },
                    "hostile-in",
                    128 * 1024);
            reader.setDaemon(true);
            reader.start();
        }

        private void misbehave(Socket socket) throws IOException, InterruptedException {
            switch (picture) {
                case HEADS_OF_SHORT_FIELDS -> hold(socket, headOfShortFields());
                case HALF_MESSAGES ->
                    hold(
                            socket,
                            setUp(nextCallId(), "dest:1", MAX_MESSAGE_BYTES).substring(0, 8000));
                case BYTE_BY_BYTE -> dribble(socket, setUp(nextCallId(), "dest:1", MAX_MESSAGE_BYTES));
                case SET_UPS_ON_MANY_CONNECTIONS -> flood(socket, 20, () -> setUp(nextCallId(), "dest:1", 300));
                case LARGE_SET_UPS, LARGE_SET_UPS_ON_MANY_CONNECTIONS ->
                    flood(socket, 1, () -> setUp(nextCallId(), "dest:1", MAX_MESSAGE_BYTES - 64));
                case HEADS_OF_MANY_VALUES -> flood(socket, 1, this::setUpWithManyValues);
                case LARGE_RELEASES ->
                    flood(
                            socket,
                            1,
                            () -> CallerConnection.message(
                                    "BYE", nextCallId(), "", "v".repeat(MAX_MESSAGE_BYTES - 256)));
                case ANSWERS_LEFT_UNREAD ->
                    flood(socket, 20, () -> CallerConnection.message("OPTIONS", nextCallId(), "", ""));
                case REQUESTS_OF_UNKNOWN_CALLS ->
                    flood(
                            socket,
                            20,
                            () -> CallerConnection.message("OPTIONS", nextCallId(), "", "")
                                    + CallerConnection.message("BYE", nextCallId(), "", ""));
                case UNSOUND_SET_UPS -> flood(socket, 4, () -> setUp(nextCallId(), "dest:x", 300));
                case NAMINGS_AT_UNKNOWN_SWITCHES ->
                    flood(socket, 20, () -> setUp(nextCallId(), "at:s-" + nextCallId(), 300));
                case NAMINGS_AT_A_KNOWN_SWITCH -> flood(socket, 20, () -> setUp(nextCallId(), "at:s-1", 300));
                default -> throw new IllegalStateException("not one connection's: " + picture);
            }
        }

        private void hold(Socket socket, String text) throws IOException, InterruptedException {
            write(socket, text);
            while (!isStopped.get()) {
                Thread.sleep(100);
                write(socket, "a");
            }
        }

        private void dribble(Socket socket, String text) throws IOException, InterruptedException {
            for (int i = 0; i < text.length() && !isStopped.get(); i++) {
                write(socket, text.substring(i, i + 1));
                Thread.sleep(100);
            }
        }

        private void flood(Socket socket, int batch, java.util.function.Supplier<String> message) throws IOException {
            while (!isStopped.get()) {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < batch; i++) {
                    text.append(message.get());
                }
                write(socket, text.toString());
                messages.addAndGet(batch - 1);
            }
        }

        private void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            messages.incrementAndGet();
        }

        private String setUpWithManyValues() {
            String values = "Via: " + "a,".repeat((MessageParser.MAX_LINE_BYTES - 10) / 2) + "a\r\n";
            return setUp(nextCallId(), "dest:1", 300).replaceFirst("\r\n", "\r\n" + values);
        }

        private String headOfShortFields() {
            StringBuilder head = new StringBuilder("INVITE sip:00000000000000bb@net SIP/2.0\r\n");
            while (head.length() < MAX_MESSAGE_BYTES - 200) {
                head.append("a:\r\n");
            }
            return head.toString();
        }

        /** A set-up of this size in all. */
        private String setUp(String callId, String routingData, int size) {
            String headers = "Call-Kind: cheap\r\nAnswer-Within: 1000\r\nRouting-Data: " + routingData + "\r\n";
            int headBytes =
                    CallerConnection.message("INVITE", callId, headers, "").length() + 4;
            return CallerConnection.message("INVITE", callId, headers, "v".repeat(Math.max(0, size - headBytes)));
        }
    }

    private void startHostileCallers(Picture picture, AtomicBoolean isStopped, AtomicLong messages) {
        int connections = switch (picture) {
            case NOTHING, ALL_AT_ONCE -> 0;
            case HEADS_OF_SHORT_FIELDS,
                    HALF_MESSAGES,
                    BYTE_BY_BYTE,
                    SET_UPS_ON_MANY_CONNECTIONS,
                    LARGE_SET_UPS_ON_MANY_CONNECTIONS -> HOSTILE_CONNECTIONS;
            case LARGE_SET_UPS, HEADS_OF_MANY_VALUES, LARGE_RELEASES, ANSWERS_LEFT_UNREAD -> FAST_CONNECTIONS;
            default -> 1;
        };
        for (int i = 0; i < connections; i++) {
            new HostileCaller(isStopped, picture, messages);
        }
    }

    @DataProvider
    public Object[][] pictures() {
        List<Object[]> rows = new ArrayList<>();
        for (Picture picture : Picture.values()) {
            if (!picture.isFlood()) {
                rows.add(new Object[] {picture});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    @DataProvider
    public Object[][] floods() {
        return Arrays.stream(Picture.values())
                .filter(Picture::isFlood)
                .map(picture -> new Object[] {picture})
                .toArray(Object[][]::new);
    }

    private static int servedBy(List<UsualCaller> callers) {
        return callers.stream().mapToInt(caller -> caller.served.get()).sum();
    }

    /**
     * Guards against review/6: what was read of a flood filled the heap, nobody was answered, and the calls that the flood
     * left without an ACK kept usual callers from being served for as long as it lasted and after it.
     */
    @Test(dataProvider = "floods", timeOut = 120_000)
    public void usualCallersAreServedDuringAndAfterAFlood(Picture picture) throws Exception {
        switches.forEach(standIn -> standIn.reportsHeldCircuits = true);
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicBoolean isFloodOver = new AtomicBoolean();
        AtomicLong worstMs = new AtomicLong();
        AtomicLong messages = new AtomicLong();
        List<UsualCaller> callers = new ArrayList<>();
        for (int i = 0; i < USUAL_CALLERS; i++) {
            callers.add(new UsualCaller(isOver, worstMs));
        }
        Thread.sleep(CALM_MS);
        int servedBefore = servedBy(callers);
        startHostileCallers(picture, isFloodOver, messages);
        Thread.sleep(FLOOD_MS);
        isFloodOver.set(true);
        for (Socket socket : hostileSockets) {
            socket.close();
        }
        int servedAtEnd = servedBy(callers);
        Thread.sleep(SETTLE_MS);
        int servedSettled = servedBy(callers);
        Thread.sleep(CALM_MS);
        int servedAfter = servedBy(callers) - servedSettled;
        isOver.set(true);
        List<String> lost = new ArrayList<>();
        for (UsualCaller caller : callers) {
            caller.join(LOST_AFTER_MS * 2);
            lost.addAll(caller.lost);
        }
        long peakMb = process.isAlive() ? process.peakMemoryMb() : -1;
        System.out.println("hostile callers: " + picture + ": served " + servedBefore + " before, "
                + (servedAtEnd - servedBefore) + " during, " + servedAfter + " after, worst " + worstMs + " ms, peak "
                + peakMb + " MB, hostile writes " + messages);
        lastLogLines.stream().filter(line -> line.contains(" counts: ")).forEach(System.out::println);
        assertTrue(process.isAlive(), "the process has ended: " + lastLogLines);
        assertEquals(lost, List.of(), "usual callers' losses; " + lastLogLines);
        assertTrue(peakMb < MEMORY_LIMIT_MB, "peak memory " + peakMb + " MB");
        assertTrue(servedAtEnd - servedBefore > servedBefore, "served during the flood");
        assertTrue(servedAfter > servedBefore / 2, "served after the flood");
    }

    @Test(dataProvider = "pictures", timeOut = 120_000)
    public void usualCallersAreServedAndMemoryIsBounded(Picture picture) throws Exception {
        AtomicBoolean isStopped = new AtomicBoolean();
        AtomicLong worstMs = new AtomicLong();
        AtomicLong messages = new AtomicLong();
        List<UsualCaller> callers = new ArrayList<>();
        for (int i = 0; i < USUAL_CALLERS; i++) {
            callers.add(new UsualCaller(isStopped, worstMs));
        }
        Thread.sleep(500);
        if (picture == Picture.ALL_AT_ONCE) {
            for (Picture part : Picture.values()) {
                if (part.isFlood()) {
                    continue;
                }
                startHostileCallers(part, isStopped, messages);
            }
        } else {
            startHostileCallers(picture, isStopped, messages);
        }
        Thread.sleep(PHASE_MS);
        isStopped.set(true);
        List<String> lost = new ArrayList<>();
        int served = 0;
        for (UsualCaller caller : callers) {
            caller.join(LOST_AFTER_MS * 2);
            lost.addAll(caller.lost);
            served += caller.served.get();
        }
        boolean isAlive = process.isAlive();
        long peakMb = isAlive ? process.peakMemoryMb() : -1;
        System.out.println("hostile callers: " + picture + ": served " + served + ", worst " + worstMs + " ms, peak "
                + peakMb + " MB, hostile writes " + messages);
        lastLogLines.stream().filter(line -> line.contains(" counts: ")).forEach(System.out::println);
        assertTrue(isAlive, "the process has ended: " + lastLogLines);
        assertEquals(lost, List.of(), "usual callers' losses; " + lastLogLines);
        assertTrue(peakMb < MEMORY_LIMIT_MB, "peak memory " + peakMb + " MB");
        assertTrue(served > 0, "served");
    }
}
