package martenslip.verification;

import java.io.PrintStream;
import java.util.List;

/** What a capture shows of one rule; {@code judged} is how many cases could have broken it. */
public record RuleResult(int rule, String name, long caseCount, List<String> violations) {
    private static final int MAX_PRINTED_VIOLATIONS = 20;

    public boolean passed() {
        return violations.isEmpty();
    }

    public void print(PrintStream out) {
        out.println("rule " + rule + ": " + (passed() ? "kept" : "broken") + " (" + name + ", " + caseCount + " cases"
                + (passed() ? "" : ", " + violations.size() + " broken") + ")");
        violations.stream().limit(MAX_PRINTED_VIOLATIONS).forEach(violation -> out.println("  " + violation));
    }
}
