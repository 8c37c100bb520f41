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

/** Rule 3: nothing new to a switch once the grace has passed since its controller was told that it drains or is gone. */
final class DrainRule {
    private static final XmlFileReader SHEET = XmlFileReader.forSchema("switches.xsd");

    private record NotifiedState(boolean ready, long version, Moment at) {}

    private final Map<String, NotifiedState> told = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private Span grace = Span.ofMillis(2000);
    private long judged;

    void grace(Span span) {
        grace = span;
    }

    /** A list notice on its way to the controller. Wires may bring an older one later, which tells nothing new. */
    void told(Moment at, int controller, byte[] body) {
        XmlElement root;
        try {
            root = SHEET.read("NOTIFY", body);
        } catch (InvalidFileException e) {
            return;
        }
        if (!root.name().equals("switches")) {
            return;
        }
        long version = Long.parseLong(root.text("version"));
        for (XmlElement line : root.children()) {
            String address = line.text("uri").replaceFirst("^sip:", "").replaceFirst(";.*", "");
            boolean ready = line.text("state").equals("ready");
            NotifiedState before = told.get(controller + " " + address);
            if (before == null || before.version < version && before.ready != ready) {
                told.put(controller + " " + address, new NotifiedState(ready, version, at));
                judged += ready ? 0 : 1;
            }
        }
    }

    void sent(Moment at, int controller, Request invite, String to) {
        NotifiedState last = told.get(controller + " " + to);
        if (last == null || last.ready) {
            return;
        }
        if (at.since(last.at).longerThan(grace)) {
            broken.add("controller " + controller + ": ring to " + to + " "
                    + at.since(last.at).ns() / 1_000_000 + " ms after it was told, Call-ID " + invite.callId());
        }
    }

    /** What a killed controller was told is gone with it, but for the list it keeps on disk. */
    void killed(int controller) {
        told.keySet().removeIf(key -> key.startsWith(controller + " "));
    }

    RuleResult verdict() {
        return new RuleResult(3, "drains kept", judged, broken);
    }
}
