package martenslip.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenslip.configuration.InvalidFileException;
import martenslip.configuration.XmlElement;
import martenslip.configuration.XmlFileReader;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.Request;

/**
 * Rule 3 (drain): a controller sends no new ring to a switch once the grace period has passed since it was notified
 * that the switch is draining or gone.
 */
final class DrainRule {
    private static final XmlFileReader SCHEMA_READER = XmlFileReader.forSchema("switches.xsd");

    private record NotifiedState(boolean ready, long version, Moment notifiedAt) {}

    private final Map<String, NotifiedState> notifiedStates = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private Span gracePeriod = Span.ofMillis(2000);
    private long caseCount;

    void setGracePeriod(Span newGracePeriod) {
        gracePeriod = newGracePeriod;
    }

    /** A switch list sent to the controller. The network may reorder lists; an older version changes nothing. */
    void listNotified(Moment time, int controller, byte[] body) {
        XmlElement root;
        try {
            root = SCHEMA_READER.read("NOTIFY", body);
        } catch (InvalidFileException e) {
            return;
        }
        if (!root.name().equals("switches")) {
            return;
        }
        long version = Long.parseLong(root.text("version"));
        for (XmlElement entry : root.children()) {
            String address = entry.text("uri").replaceFirst("^sip:", "").replaceFirst(";.*", "");
            boolean ready = entry.text("state").equals("ready");
            NotifiedState previous = notifiedStates.get(controller + " " + address);
            if (previous == null || previous.version < version && previous.ready != ready) {
                notifiedStates.put(controller + " " + address, new NotifiedState(ready, version, time));
                caseCount += ready ? 0 : 1;
            }
        }
    }

    void ringSent(Moment time, int controller, Request invite, String switchAddress) {
        NotifiedState lastState = notifiedStates.get(controller + " " + switchAddress);
        if (lastState == null || lastState.ready) {
            return;
        }
        if (time.since(lastState.notifiedAt).longerThan(gracePeriod)) {
            violations.add("controller " + controller + ": ring to " + switchAddress + " "
                    + time.since(lastState.notifiedAt).ns() / 1_000_000
                    + " ms after the notice that the switch is draining or gone, Call-ID "
                    + invite.callId());
        }
    }

    /** A killed controller loses the states it was notified of, except for the list that it stored on disk. */
    void controllerKilled(int controller) {
        notifiedStates.keySet().removeIf(key -> key.startsWith(controller + " "));
    }

    RuleResult result() {
        return new RuleResult(3, "drains kept", caseCount, violations);
    }
}
