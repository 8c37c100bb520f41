package martenslip.proof;

import java.io.PrintStream;
import java.util.List;

/** What a capture shows of one rule; {@code judged} is how many cases could have broken it. */
public record Verdict(int rule, String name, long judged, List<String> broken) {
    private static final int MOST_LINES = 20;

    public boolean kept() {
        return broken.isEmpty();
    }

    public void print(PrintStream out) {
        out.println("rule " + rule + ": " + (kept() ? "kept" : "broken") + " (" + name + ", " + judged + " cases"
                + (kept() ? "" : ", " + broken.size() + " broken") + ")");
        broken.stream().limit(MOST_LINES).forEach(line -> out.println("  " + line));
    }
}
