import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A switch drains, stops and is replaced by a new one under a new id. Calls still stood at it when it stopped; their
 * caller has to be released. The trouble: the new switch has the address of the one that has gone.
 */
final class AddressReuse {
    private static final int CALLS = 3;
    /** How long the switch drains; the operators' replacements give 2 to 6 s. */
    private static final long DRAIN_MS = 3000;
    /** From the end of the old process to the start of the new one. */
    private static final long GAP_MS = 500;
    /** From the end of the old process until the list tells that it is gone; the site gives 1.4 to 3.8 s. */
    private static final long NOTICE_MS = 2000;
    /** A release is due within 8 s of the end where none could be sent, with 50 ms of slack. */
    private static final long RELEASE_DUE_MS = 8050;
    /** How long the case looks on. */
    private static final long WATCH_MS = 25_000;

    private AddressReuse() {}

    public static void main(String[] arguments) {
        Stage.main("address of a switch that has gone", AddressReuse::run);
    }

    private static int run(Stage stage) throws Exception {
        Stage.Journal journal = stage.new Journal();
        Stage.Switch[] switches = new Stage.Switch[4];
        String[] instances = new String[4];
        for (int i = 0; i < switches.length; i++) {
            switches[i] = stage.newSwitch("s-" + i, i);
            instances[i] = switches[i].instance("up");
        }
        journal.add(true, instances);
        Stage.Controller controller = stage.new Controller(journal, 0, Map.of());
        controller.start();
        Map<String, String> calls = new ConcurrentHashMap<>();
        Stage.Caller caller = stage.new Caller("caller", controller.port, calls);
        Stage.Switch old = switches[1];
        for (int i = 0; i < CALLS; i++) {
            caller.invite(Stage.id(i), "label-status", 1, 3000, "9d41c07a5be2f318\r\n");
            Stage.Message answer = caller.await(Stage.id(i), 3500);
            if (answer == null || answer.status() != 200) {
                stage.note("call " + i + " does not stand: " + answer);
                return Stage.COULD_NOT_RUN;
            }
        }
        stage.note(CALLS + " calls stand at " + old.id);
        Stage.sleep(300);
        journal.add(false, old.instance("draining"));
        Stage.sleep(DRAIN_MS);
        old.die();
        long over = stage.now();
        stage.sleepUntil(over + GAP_MS);
        Stage.Switch replacement =
                Stage.TROUBLE ? stage.newSwitch("s-9", 1, old.port) : stage.newSwitch("s-9", 1);
        replacement.startedAtMs = System.currentTimeMillis();
        // Ordinary calls, which end by themselves: the state of the group changes, and the switch tells it.
        replacement.onStart = (self, line) -> self.startedFor(line, 1500);
        stage.note("s-9 has started at port " + replacement.port + ", the old switch had port " + old.port);
        stage.sleepUntil(over + NOTICE_MS);
        journal.add(false, old.instance("removed"), replacement.instance("up"));
        for (int i = 100; stage.now() < over + WATCH_MS; i++) {
            caller.invite(Stage.id(i), "label-status", 1, 3000, "9d41c07a5be2f318\r\n");
            Stage.sleep(200);
        }
        Set<String> late = new TreeSet<>();
        for (int i = 0; i < CALLS; i++) {
            Stage.Message release = caller.awaitRelease(Stage.id(i), 0);
            long after = release == null ? -1 : release.at() - over;
            stage.note("call " + Stage.id(i) + " was over at " + over + "; its caller was released "
                    + (release == null ? "never, in " + (stage.now() - over) + " ms" : "after " + after + " ms"));
            if (release == null || after > RELEASE_DUE_MS) {
                late.add(Stage.id(i));
            }
        }
        if (!controller.isAlive()) {
            stage.note("the controller has ended");
        }
        stage.note("calls that stood at s-9: " + replacement.starts.size() + "; not released in 8 s: " + late);
        return late.isEmpty() ? Stage.HELD : Stage.BROKEN;
    }
}
