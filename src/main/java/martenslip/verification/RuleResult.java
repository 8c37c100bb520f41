package martenslip.verification;

import java.io.PrintStream;
import java.util.List;

/** The result of checking one rule against a capture; {@code caseCount} is how many cases could have violated it. */
public record RuleResult(int rule, String name, long caseCount, List<String> violations) {
    private static final int MAX_PRINTED_VIOLATIONS = 20;

    /** True where no case violated the rule. */
    public boolean passed() {
        return violations.isEmpty();
    }

    /** Prints a line for the rule, followed by the first violations. */
    public void print(PrintStream out) {
        out.println("rule " + rule + ": " + (passed() ? "kept" : "broken") + " (" + name + ", " + caseCount + " cases"
                + (passed() ? "" : ", " + violations.size() + " broken") + ")");
        violations.stream().limit(MAX_PRINTED_VIOLATIONS).forEach(violation -> out.println("  " + violation));
    }
}
