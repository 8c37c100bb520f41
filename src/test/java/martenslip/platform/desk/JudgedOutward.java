package martenslip.platform.desk;

import java.util.Set;
import martenslip.FiveRules;

/** What a desk sends in a world that judges it: nothing but what the rules know of may go out. */
abstract class JudgedOutward implements Outward {
    final FiveRules rules;
    private final Set<String> mayLog;

    JudgedOutward(FiveRules rules, String... mayLog) {
        this.rules = rules;
        this.mayLog = Set.of(mayLog);
    }

    public FiveRules rules() {
        return rules;
    }

    @Override
    public long anyLine(long but) {
        return 1;
    }

    @Override
    public void settled(long line, String tag) {
        // Nothing in these worlds counts what a connection has open.
    }

    @Override
    public void drop(long line, String why) {
        rules.wrong("line", "dropped: " + why);
    }

    @Override
    public void finished(long target, long connection, String tag) {
        // Free on the platform.
    }

    @Override
    public void note(int peer, byte[] note) {
        rules.wrong("note", "notes are not allowed here");
    }

    @Override
    public void log(String kind, String line) {
        if (!mayLog.contains(kind)) {
            rules.wrong("log", kind + ": " + line);
        }
    }
}
