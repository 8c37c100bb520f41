package martenslip.platform;

import static martenslip.platform.PlatformStandIn.instanceJson;
import static martenslip.platform.PlatformStandIn.switchListEvent;
import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.LongStream;
import martenslip.platform.PlatformStandIn.CallerConnection;
import martenslip.platform.PlatformStandIn.SwitchStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Seeded trials: switches' processes are replaced at their addresses again and again, in every form that the protocol
 * allows, while calls are set up at them. Each call must be released once it is over, within 8 s, and no call of a living
 * process may be cut. By hand: {@code mvn test -Dtest=ReplacementSoakTest -DargLine=-Dmartenslip.soak.seeds=1-50}.
 */
public class ReplacementSoakTest {
    private static final String SEEDS = System.getProperty("martenslip.soak.seeds", "4-5");
    private static final int REPLACEMENTS = 4;
    private static final int CELLS = 3;
    /** A release is due 8 s after the end where the switch could send none, with 50 ms of slack. */
    private static final long RELEASE_DUE_MS = 8050;

    private static final int PATIENCE_MS = 1500;
    /** From the end of a process until the list tells of it. */
    private static final int MAX_NOTICE_MS = 1200;

    /** A process of a switch, and what stands there. */
    private static final class SwitchProcess {
        final String id;
        final int cell;
        final SwitchStandIn standIn;
        volatile long endedMs;

        SwitchProcess(String id, int cell, SwitchStandIn standIn) {
            this.id = id;
            this.cell = cell;
            this.standIn = standIn;
        }
    }

    private PlatformStandIn platform;
    private PlatformStandIn.JournalStandIn journal;
    private ControllerProcess process;
    private Random random;
    private final List<String> events = new ArrayList<>();
    private SwitchProcess[] currentByCell;
    private int lastSwitch;
    private int lastProcess;
    private int lastPosition;
    private int lastCall;
    /** The process whose answer each call's 200 brought: the call stands there. */
    private final Map<String, SwitchProcess> processByCall = new ConcurrentHashMap<>();

    /** The description of each call's 200, which tells the process. */
    private final Map<String, String> descriptionByCall = new ConcurrentHashMap<>();
    /** When each call's release was read. */
    private final Map<String, Long> releasedMsByCall = new ConcurrentHashMap<>();

    private final Map<String, String> answers = new ConcurrentHashMap<>();
    private volatile boolean isStopped;

    @DataProvider
    public Object[][] seeds() {
        String[] range = SEEDS.split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]))
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    @BeforeMethod
    public void reset() throws IOException {
        platform = new PlatformStandIn();
        journal = platform.new JournalStandIn();
        events.clear();
        processByCall.clear();
        descriptionByCall.clear();
        releasedMsByCall.clear();
        answers.clear();
        lastSwitch = 0;
        lastPosition = 0;
        lastCall = 0;
        isStopped = false;
    }

    @AfterMethod
    public void stopProcess() throws Exception {
        isStopped = true;
        process.close();
        platform.close();
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private SwitchStandIn prepared(SwitchStandIn standIn) {
        standIn.description = "m=" + ++lastProcess;
        standIn.answersTests = true;
        standIn.circuits = 200;
        standIn.startReporting();
        standIn.serveAll();
        return standIn;
    }

    private String instance(SwitchProcess switchProcess, String state, long startedAtMs) {
        return instanceJson(switchProcess.id, switchProcess.standIn.port(), switchProcess.cell, state, startedAtMs);
    }

    private void tell(boolean full, String... instances) {
        String event = switchListEvent(++lastPosition, full, instances);
        events.add("list " + event);
        journal.addEvent(event);
    }

    private CallerConnection start(long seed) throws Exception {
        random = new Random(seed);
        currentByCell = new SwitchProcess[CELLS];
        String[] instances = new String[CELLS];
        for (int cell = 0; cell < CELLS; cell++) {
            currentByCell[cell] = new SwitchProcess(
                    "s-" + lastSwitch++,
                    cell,
                    prepared(platform.startSwitches(1).get(0)));
            instances[cell] = instance(currentByCell[cell], "up", 0);
        }
        tell(true, instances);
        process = new ControllerProcess();
        process.launch(PlatformStandIn.writeTemporary(process.configured(
                PlatformStandIn.configuration(journal.port(), switchListEvent(1, true, instances)))));
        process.awaitLogLine("ready");
        process.followLog(200);
        CallerConnection caller = platform.new CallerConnection(process.listenAddress());
        caller.socket.setSoTimeout(100);
        Thread reader = new Thread(() -> readMessages(caller));
        reader.setDaemon(true);
        reader.start();
        return caller;
    }

    private void readMessages(CallerConnection caller) {
        while (!isStopped) {
            try {
                String message = caller.next();
                if (message == null) {
                    return;
                }
                String callId =
                        message.substring(message.indexOf("Call-ID: ") + 9).substring(0, 16);
                if (message.startsWith("BYE ")) {
                    releasedMsByCall.putIfAbsent(callId, nowMs());
                    caller.acknowledgeRelease(callId);
                } else if (message.contains(" INVITE")) {
                    answers.put(callId, message.substring(0, 11));
                    descriptionByCall.put(callId, message.substring(message.indexOf("\r\n\r\n") + 4));
                    caller.send(CallerConnection.message("ACK", callId, "", ""));
                }
            } catch (SocketTimeoutException e) {
                continue;
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Sends one set-up; the stand-ins know at which process it stands. */
    private void call(CallerConnection caller) throws Exception {
        String callId = String.format("%016x", ++lastCall);
        caller.send(CallerConnection.message(
                "INVITE",
                callId,
                "Call-Kind: dear\r\nAnswer-Within: " + PATIENCE_MS + "\r\nRouting-Data: dest:" + (1 + random.nextInt(2))
                        + ";width:1;via:-1\r\n",
                "v=0\r\n"));
        Thread.sleep(5 + random.nextInt(40));
    }

    private void callFor(CallerConnection caller, long durationMs) throws Exception {
        for (long endMs = nowMs() + durationMs; nowMs() < endMs; ) {
            call(caller);
        }
    }

    /** One replacement in a form drawn from the seed. */
    private void replaceOne(CallerConnection caller) throws Exception {
        SwitchProcess old = currentByCell[1 + random.nextInt(CELLS - 1)];
        boolean silent = random.nextBoolean();
        boolean sameId = random.nextInt(3) == 0;
        boolean twoEvents = random.nextBoolean() && !sameId;
        boolean startUnknown = random.nextInt(4) == 0 && !sameId;
        long startMs = System.currentTimeMillis();
        int startToEndMs = random.nextInt(600);
        int gapMs = random.nextInt(3) == 0 ? random.nextInt(300) : 0;
        int noticeMs = random.nextInt(MAX_NOTICE_MS);
        if (!sameId && random.nextBoolean()) {
            tell(false, instance(old, "draining", 0));
        }
        callFor(caller, startToEndMs);
        old.standIn.stopListening();
        SwitchStandIn standIn = null;
        if (gapMs == 0) {
            standIn = prepared(platform.startSwitchAtAddressOf(old.standIn));
        }
        old.endedMs = nowMs();
        if (silent) {
            old.standIn.fallSilent();
        } else {
            old.standIn.resetConnections();
        }
        if (standIn == null) {
            callFor(caller, gapMs);
            standIn = prepared(platform.startSwitchAtAddressOf(old.standIn));
        }
        SwitchProcess next = new SwitchProcess(sameId ? old.id : "s-" + lastSwitch++, old.cell, standIn);
        events.add((silent ? "silent " : "reset ") + old.id + " -> " + next.id + ", started " + startToEndMs
                + " ms before the end" + (startUnknown ? " (not told)" : "") + ", gap " + gapMs + ", notice "
                + noticeMs + (twoEvents ? ", two events" : ""));
        callFor(caller, noticeMs);
        String nextInstance = instance(next, "up", startUnknown ? 0 : startMs);
        if (sameId) {
            tell(false, nextInstance);
        } else if (twoEvents) {
            tell(false, instance(old, "removed", 0));
            callFor(caller, random.nextInt(600));
            tell(false, nextInstance);
        } else {
            tell(false, instance(old, "removed", 0), nextInstance);
        }
        currentByCell[old.cell] = next;
        callFor(caller, 300 + random.nextInt(700));
    }

    private void noteWhereCallsStand(Collection<SwitchProcess> processes) {
        Map<String, SwitchProcess> processByDescription = new TreeMap<>();
        processes.forEach(switchProcess -> processByDescription.put(switchProcess.standIn.description, switchProcess));
        descriptionByCall.forEach((callId, description) -> {
            if (hasStood(callId)) {
                processByCall.put(callId, processByDescription.get(description));
            }
        });
    }

    /** The calls that more than one process has answered: one of the answers was lost with its connection. */
    private static long answeredTwice(Collection<SwitchProcess> processes) {
        Map<String, Integer> answers = new TreeMap<>();
        Set.copyOf(processes)
                .forEach(switchProcess -> switchProcess
                        .standIn
                        .servedNsByTag
                        .keySet()
                        .forEach(tag -> answers.merge(tag, 1, Integer::sum)));
        return answers.values().stream().filter(count -> count > 1).count();
    }

    private boolean isAnyReleaseMissing() {
        return processByCall.entrySet().stream()
                .anyMatch(entry -> entry.getValue().endedMs != 0
                        && hasStood(entry.getKey())
                        && !releasedMsByCall.containsKey(entry.getKey()));
    }

    private boolean hasStood(String callId) {
        return answers.getOrDefault(callId, "").startsWith("SIP/2.0 200");
    }

    @Test(dataProvider = "seeds", timeOut = 90_000)
    public void everyCallIsReleasedOnceItIsOverAndNoneBefore(long seed) throws Exception {
        CallerConnection caller = start(seed);
        List<SwitchProcess> processes = new ArrayList<>(List.of(currentByCell));
        callFor(caller, 500);
        for (int i = 0; i < REPLACEMENTS; i++) {
            replaceOne(caller);
            processes.addAll(List.of(currentByCell));
        }
        long lastEndMs =
                processes.stream().mapToLong(ended -> ended.endedMs).max().orElseThrow();
        noteWhereCallsStand(processes);
        while (nowMs() < lastEndMs + RELEASE_DUE_MS && isAnyReleaseMissing()) {
            Thread.sleep(20);
        }
        noteWhereCallsStand(processes);
        Map<String, String> broken = new TreeMap<>();
        long worstMs = 0;
        int cut = 0;
        for (Map.Entry<String, SwitchProcess> entry : processByCall.entrySet()) {
            String callId = entry.getKey();
            SwitchProcess stoodAt = entry.getValue();
            if (!hasStood(callId)) {
                continue;
            }
            Long releasedMs = releasedMsByCall.get(callId);
            if (stoodAt.endedMs == 0) {
                cut += releasedMs == null ? 0 : 1;
                continue;
            }
            if (releasedMs == null || releasedMs - stoodAt.endedMs > RELEASE_DUE_MS) {
                broken.put(callId, "stood at a process of " + stoodAt.id + ", released: " + releasedMs);
            } else {
                worstMs = Math.max(worstMs, releasedMs - stoodAt.endedMs);
            }
        }
        System.out.println("replacement soak: seed " + seed + ", calls " + processByCall.size() + ", released "
                + releasedMsByCall.size() + ", worst " + worstMs + " ms, never or late " + broken.size()
                + ", cut while they stood " + cut
                + ", answered by two processes " + answeredTwice(processes));
        assertEquals(broken, Map.of(), "calls that were over and not released in time: " + broken + "; " + events);
        assertEquals(cut, 0, "calls cut while their process lived; " + events);
    }
}
