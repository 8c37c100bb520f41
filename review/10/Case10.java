import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** The journal service is slow to answer; a switch drains, and its process stops 8 s later. */
public final class Case10 {
    /** The journal service's answer to a request begins this long after the request; its time-out is 2 s. */
    private static final int SLOW_MS = 1800;
    /** An event counts as told 4 s after it is in the journal service at the latest; the least favourable reading. */
    private static final int TOLD_MS = 4000;
    private static final int GRACE_MS = 500;
    private static final int SLACK_MS = 50;
    private static final int DRAIN_MS = 8000;

    /** The settings of the small deployment with the names and times of rider-hub-lines. */
    private static final String SETTINGS = Lab.SETTINGS
            .replace("label-status", "pickup-query")
            .replace("pickup-slot", "doorstep-hold")
            .replace("\"drain-grace-ns\":2000000000", "\"drain-grace-ns\":500000000")
            .replace("\"release-ns\":500000000", "\"release-ns\":300000000")
            .replace("\"fall-multiple\":3.0,\"fall-ns\":1500000000", "\"fall-multiple\":2.0,\"fall-ns\":1000000000");

    public static void main(String[] arguments) {
        Lab.main(arguments[0], 90, lab -> {
            Lab.Journal journal = lab.new Journal();
            Lab.Switch home = lab.new Switch("s-0", 0);
            Lab.Switch one = lab.new Switch("s-1", 1);
            Lab.Switch two = lab.new Switch("s-2", 2);
            journal.list(true, home.entry("up", 0), one.entry("up", 0), two.entry("up", 0));
            if (lab.trouble) {
                journal.slowMs = SLOW_MS;
                lab.note("the journal service answers each request after " + SLOW_MS + " ms");
            }
            lab.configure(journal, 256, 192, SETTINGS);
            lab.startController();
            Lab.Client client = lab.client("client");
            AtomicBoolean stop = new AtomicBoolean();
            Lab.Client.Line line = client.open();
            Thread traffic = new Thread(() -> {
                try {
                    while (!stop.get()) {
                        String tag = line.invite("pickup-query", 1, 3000);
                        lab.await(3500, () -> client.answers.containsKey(tag));
                        Lab.sleep(180);
                    }
                } catch (Exception e) {
                    lab.note("client: " + e);
                }
            });
            traffic.setDaemon(true);
            traffic.start();
            Lab.sleep(8000);
            int before = one.starts.size();
            journal.list(false, one.entry("draining", 0));
            Lab.sleep(TOLD_MS + GRACE_MS + SLACK_MS);
            int atLimit = one.starts.size();
            lab.note("the grace is over; set-ups at s-1 before the drain " + before + ", since " + (atLimit - before));
            Lab.sleep(DRAIN_MS - TOLD_MS - GRACE_MS - SLACK_MS);
            int after = one.starts.size() - atLimit;
            List<String> lateCalls = List.copyOf(one.starts.subList(atLimit, atLimit + after));
            one.die();
            journal.list(false, one.entry("removed", 0));
            stop.set(true);
            Lab.sleep(1500);
            long cut = lateCalls.stream().filter(tag -> String.valueOf(client.releaseCauses.get(tag)).endsWith("=41")).count();
            lab.note("set-ups that reached the draining s-1 after the grace: " + after + ", of these calls cut when it stopped: "
                    + cut);
            return before < 10 ? Lab.COULD_NOT_RUN : after > 0 ? Lab.BROKEN : Lab.HELD;
        });
    }
}
