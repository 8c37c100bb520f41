package martenslip.platform.contact;

import java.util.Set;
import martenslip.RuleChecker;

/** The messages of a contact table in a model, checked: whatever the rules do not expect is a violation. */
abstract class CheckedOutboundMessages implements UntrackedOutboundMessages {
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
    public long otherCallerConnection(Set<Long> excludedConnectionIds) {
        return 1;
    }

    @Override
    public void disconnect(long connectionId, String reason) {
        rules.addViolation("line", "disconnected: " + reason);
    }

    @Override
    public void sendFinished(long switchId, long switchConnectionId, String tag) {
        // The platform sets no limit for this message, so no rule checks it.
    }

    @Override
    public void sendNote(int peer, byte[] note) {
        rules.addViolation("note", "notes are not allowed here");
    }

    @Override
    public void log(String kind, String message) {
        if (!allowedLogKinds.contains(kind)) {
            rules.addViolation("log", kind + ": " + message);
        }
    }
}
