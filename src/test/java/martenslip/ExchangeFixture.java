package martenslip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenslip.control.Contact;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;

/** An exchange numbered 0 with three others, for tests: what the module orders is kept as lines of text. */
final class ExchangeFixture implements Orders {
    static final int CHEAP = 0;
    static final int URGENT = 1;
    final Map<String, String> settings = new HashMap<>(Map.ofEntries(
            Map.entry("classes.count", "2"),
            Map.entry("classes.0.worth", "1"),
            Map.entry("classes.1.worth", "8"),
            Map.entry("classes.0.aim-ns", "1000000000"),
            Map.entry("classes.1.aim-ns", "1000000000"),
            Map.entry("family-info.mean-hold-ns", "10000000000,5000000000"),
            Map.entry("family-info.widths", "1,1"),
            Map.entry("family-info.home-no", "0"),
            Map.entry("family-info.release-ns", "500000000"),
            Map.entry("guarantees.warm-within-ns", "10000000000"),
            Map.entry("guarantees.cold-share", "0.3"),
            Map.entry("policy-limits.send-cap", "5"),
            Map.entry("policy-limits.cancel", "true"),
            Map.entry("report.fields", "spare,total,cut_by"),
            Map.entry("round-ns", "5000000")));
    final List<String> ordered = new ArrayList<>();
    RoutingPolicy logic;

    static Moment at(double seconds) {
        return new Moment((long) (seconds * 1e9));
    }

    static SwitchEntry line(int number, SwitchEntry.State state, Moment started) {
        return new SwitchEntry(100 + number, number, state, started, 0);
    }

    static Contact contact(long id, int skill, double patience) {
        return new Contact(id, skill, 0, 1, -1, 1, Span.ofMillis(patience * 1e3), false, false, false);
    }

    static Contact transit(long id, int skill) {
        return new Contact(id, skill, 0, 1, 2, 1, Span.ofMillis(3000), false, true, false);
    }

    /** All switches ready, each with a group of this size and this many circuits free. */
    ExchangeFixture ready(int free, int size) {
        logic = new RoutingPolicy(settings, 7, at(0), this);
        List<SwitchEntry> lines = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            lines.add(line(number, SwitchEntry.State.READY, null));
        }
        logic.switchListReceived(at(0), ListKind.FULL, lines);
        for (int number = 1; number < 4; number++) {
            group(number, free, size);
        }
        return this;
    }

    ExchangeFixture group(int number, int free, int size) {
        logic.switchReported(at(0), 100 + number, true, Span.ZERO, new float[] {free, size, -1});
        return this;
    }

    RoutingPolicy.CircuitRequest ask(Contact contact) {
        return new RoutingPolicy.CircuitRequest(
                contact, logic.readSkills[contact.skill()], logic.switchById(101), true, at(9), 0, at(0), Set.of());
    }

    /** What was ordered but for clocks, which is cleared. */
    List<String> orders() {
        List<String> seen =
                ordered.stream().filter(line -> !line.startsWith("clock")).toList();
        ordered.clear();
        return seen;
    }

    @Override
    public void ring(long contact, long target, Span limit) {
        ordered.add("ring " + contact + " " + target);
    }

    @Override
    public void cancel(long contact, int ring) {
        ordered.add("off " + contact + " " + ring);
    }

    @Override
    public void defer(long contact, Span comeBack) {
        ordered.add("defer " + contact);
    }

    @Override
    public void abandon(long contact) {
        ordered.add("abandon " + contact);
    }

    @Override
    public void startTimer(Span delay, long token) {
        ordered.add("clock " + token + " " + delay.ns());
    }

    @Override
    public void probe(long target) {
        ordered.add("probe " + target);
    }

    @Override
    public void sendNote(int peer, byte[] note) {
        ordered.add("note " + peer);
    }

    @Override
    public void watchSwitchList(boolean on) {
        ordered.add("watch " + on);
    }

    @Override
    public void log(String line) {
        ordered.add("log " + line);
    }
}
