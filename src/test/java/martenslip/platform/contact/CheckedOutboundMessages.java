package martenslip.platform.contact;

import java.util.Set;
import martenslip.RuleChecker;

/** What a desk sends in a world that judges it: nothing but what the rules know of may go out. */
abstract class CheckedOutboundMessages implements OutboundMessages {
    final RuleChecker rules;
    private final Set<String> allowedLogKinds;

    CheckedOutboundMessages(RuleChecker rules, String... allowedLogKinds) {
        this.rules = rules;
        this.allowedLogKinds = Set.of(allowedLogKinds);
    }

    public RuleChecker rules() {
        return rules;
    }

    @Override
    public long otherCallerConnection(long but) {
        return 1;
    }

    @Override
    public void contactAnswered(long line, String tag) {
        // Nothing in these worlds counts what a connection has open.
    }

    @Override
    public void disconnect(long line, String why) {
        rules.addViolation("line", "dropped: " + why);
    }

    @Override
    public void sendFinished(long target, long connection, String tag) {
        // Free on the platform.
    }

    @Override
    public void sendNote(int peer, byte[] note) {
        rules.addViolation("note", "notes are not allowed here");
    }

    @Override
    public void log(String kind, String line) {
        if (!allowedLogKinds.contains(kind)) {
            rules.addViolation("log", kind + ": " + line);
        }
    }
}
