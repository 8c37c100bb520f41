import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Calls stand at a switch, and more are set up there, two a second. The trouble: one answer of the switch never arrives,
 * and the connection that it was sent on, one of the two to that switch, is of no further use from then on, though it
 * stays open. What has stood must be released when it is over.
 */
final class MuteConnection {
    private static final int CALLS = 3;
    private static final int WITHIN_MS = 1500;
    /** From the lost answer to the ends of the calls: the set-up's time has run out well before. */
    private static final long PAUSE_MS = 6000;
    /** A release is due within 8 s of the end where none could be sent, with 50 ms of slack. */
    private static final long RELEASE_DUE_MS = 8050;
    /** How long the case looks on after the ends of the calls. */
    private static final long WATCH_MS = 25_000;

    private MuteConnection() {}

    public static void main(String[] arguments) {
        Stage.main("a connection to a switch of no further use", MuteConnection::run);
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
        Stage.Caller caller = stage.new Caller("caller", controller.port);
        Stage.Switch peer = switches[1];
        for (int i = 0; i < CALLS; i++) {
            caller.invite(Stage.id(i), "pickup-slot", 1, WITHIN_MS, "9d41c07a5be2f318\r\n");
            Stage.Message answer = caller.await(Stage.id(i), 2000);
            if (answer == null || answer.status() != 200) {
                stage.note("call " + i + " does not stand: " + answer);
                return Stage.COULD_NOT_RUN;
            }
        }
        Stage.Link link = peer.starts.get(0).link();
        stage.note(CALLS + " calls stand at " + peer.id + ", which has " + peer.links.size() + " connections");
        // Further calls end by themselves.
        peer.onStart = (self, line) -> self.startedFor(line, 1500);
        Stage.sleep(500);
        if (Stage.TROUBLE) {
            stage.note("from now on nothing that " + peer.id + " sends on one of its connections arrives");
            link.mute = true;
        }
        long over = 0;
        int next = 100;
        for (long begin = stage.now(); over == 0 || stage.now() < over + WATCH_MS; next++) {
            if (over == 0 && stage.now() > begin + PAUSE_MS) {
                over = stage.now();
                for (int i = 0; i < CALLS; i++) {
                    peer.release(Stage.id(i), 16);
                }
                stage.note(peer.id + " has released its " + CALLS + " calls");
            }
            caller.invite(Stage.id(next), "pickup-slot", 1, WITHIN_MS, "9d41c07a5be2f318\r\n");
            Stage.sleep(500);
        }
        Stage.sleep(WITHIN_MS + 550);
        Map<Integer, Integer> answers = new TreeMap<>();
        for (int i = 100; i < next; i++) {
            Stage.Message answer = caller.await(Stage.id(i), 0);
            answers.merge(answer == null ? 0 : answer.status(), 1, Integer::sum);
        }
        Set<String> late = new TreeSet<>();
        for (int i = 0; i < CALLS; i++) {
            Stage.Message release = caller.awaitRelease(Stage.id(i), 0);
            stage.note("call " + Stage.id(i) + " was over at " + over + "; its caller was released "
                    + (release == null
                            ? "never, in " + (stage.now() - over) + " ms"
                            : "after " + (release.at() - over) + " ms"));
            if (release == null || release.at() - over > RELEASE_DUE_MS) {
                late.add(Stage.id(i));
            }
        }
        stage.note("not released in 8 s: " + late + "; answers to the other set-ups, by status: " + answers
                + "; connections to " + peer.id + ": " + peer.links.size());
        return late.isEmpty() && !controller.hasCrashed() ? Stage.HELD : Stage.BROKEN;
    }
}
