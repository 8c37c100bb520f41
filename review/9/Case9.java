import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** A restart; the usual client names its calls; bad clients on many connections name calls that no switch knows. */
public final class Case9 {
    private static final int CALLS = 60;
    private static final int BAD_CONNECTIONS = 240;
    private static final int NAMINGS_EACH = 40;

    private static String hex() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], 110, lab -> {
            Lab.Journal journal = lab.new Journal();
            Lab.Switch[] switches = new Lab.Switch[4];
            String[] entries = new String[4];
            for (int i = 0; i < entries.length; i++) {
                switches[i] = lab.new Switch("s-" + i, i);
                entries[i] = switches[i].entry("up", 0);
            }
            journal.list(true, entries);
            lab.configure(journal, 1024, 192);
            lab.startController();
            Lab.Client usual = lab.client("usual");
            Lab.Client.Line line = usual.open();
            List<String> calls = new ArrayList<>();
            for (int i = 0; i < CALLS; i++) {
                calls.add(line.invite("label-status", 1, 3000));
                Lab.sleep(40);
            }
            if (!lab.await(4000, () -> calls.stream().allMatch(tag -> "200".equals(usual.answers.get(tag))))) {
                lab.note("not all calls stand before the restart");
                return Lab.COULD_NOT_RUN;
            }
            Lab.sleep(300);
            lab.signal("KILL");
            lab.awaitControllerEnd(10);
            lab.startController();
            Lab.Client.Line again = usual.open();
            for (String tag : calls) {
                again.name(tag, "s-1");
            }
            Lab.sleep(500);
            if (lab.trouble) {
                lab.note(BAD_CONNECTIONS + " connections of bad clients, " + NAMINGS_EACH
                        + " namings of unknown ids on each");
                for (int i = 0; i < BAD_CONNECTIONS; i++) {
                    Lab.Client bad = lab.client("bad-" + i);
                    bad.quiet = true;
                    Lab.Client.Line badLine = bad.open();
                    StringBuilder text = new StringBuilder();
                    for (int k = 0; k < NAMINGS_EACH; k++) {
                        text.append(Lab.setUp(hex(), hex(), "label-status", 9000, "dest:2;width:1;via:-1;at:s-2", "x\r\n"));
                    }
                    try {
                        badLine.send(text.toString());
                    } catch (IOException e) {
                        lab.note("bad-" + i + ": " + e);
                    }
                }
            }
            Lab.sleep(2000);
            for (String tag : calls) {
                switches[1].release(tag, 16);
                Lab.sleep(20);
            }
            // Within 1 s of the switch's release; 8 s where no release could be sent; 50 ms of slack.
            lab.await(8050, () -> calls.stream().allMatch(usual.releasedAtMs::containsKey));
            List<String> never = calls.stream().filter(tag -> !usual.releasedAtMs.containsKey(tag)).toList();
            lab.note("calls that ended at the switch: " + calls.size() + "; never released towards their client: "
                    + never.size() + " " + never);
            lab.note("the usual client's connection is " + (again.ended ? "ended" : "open") + "; controller alive "
                    + lab.controllerIsAlive());
            lab.quoteLog(6, "named-given-up:", "early-release:");
            return never.isEmpty() && lab.controllerIsAlive() ? Lab.HELD : Lab.BROKEN;
        });
    }
}
