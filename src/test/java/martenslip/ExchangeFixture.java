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

/** Exchange 0 with three others; keeps the orders of the module as lines of text. */
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
    final List<String> orderLines = new ArrayList<>();
    RoutingPolicy policy;

    static Moment at(double seconds) {
        return new Moment((long) (seconds * 1e9));
    }

    static SwitchEntry switchEntry(int number, SwitchEntry.State state, Moment startedAt) {
        return new SwitchEntry(100 + number, number, state, startedAt, 0);
    }

    static Contact contact(long id, int skill, double patience) {
        return new Contact(id, skill, 0, 1, -1, 1, Span.ofMillis(patience * 1e3), false, false, false);
    }

    static Contact transitContact(long id, int skill) {
        return new Contact(id, skill, 0, 1, 2, 1, Span.ofMillis(3000), false, true, false);
    }

    /** Lists all switches as ready, each with a group of this size and this many free circuits. */
    ExchangeFixture ready(int free, int size) {
        policy = new RoutingPolicy(settings, 7, at(0), this);
        List<SwitchEntry> entries = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            entries.add(switchEntry(number, SwitchEntry.State.READY, null));
        }
        policy.switchListReceived(at(0), ListKind.FULL, entries);
        for (int number = 1; number < 4; number++) {
            reportGroup(number, free, size);
        }
        return this;
    }

    ExchangeFixture reportGroup(int number, int free, int size) {
        policy.switchReported(at(0), 100 + number, true, Span.ZERO, new float[] {free, size, -1});
        return this;
    }

    RoutingPolicy.CircuitRequest circuitRequest(Contact contact) {
        return new RoutingPolicy.CircuitRequest(
                contact, policy.skills[contact.skill()], policy.switchById(101), true, at(9), 0, at(0), Set.of());
    }

    /** Returns the orders except timers, and clears all. */
    List<String> takeOrders() {
        List<String> taken =
                orderLines.stream().filter(line -> !line.startsWith("timer")).toList();
        orderLines.clear();
        return taken;
    }

    @Override
    public void ring(long contact, long target, Span limit) {
        orderLines.add("ring " + contact + " " + target);
    }

    @Override
    public void cancel(long contact, int ring) {
        orderLines.add("cancel " + contact + " " + ring);
    }

    @Override
    public void defer(long contact, Span retryAfter) {
        orderLines.add("defer " + contact);
    }

    @Override
    public void abandon(long contact) {
        orderLines.add("abandon " + contact);
    }

    @Override
    public void startTimer(Span delay, long token) {
        orderLines.add("timer " + token + " " + delay.ns());
    }

    @Override
    public void probe(long target) {
        orderLines.add("probe " + target);
    }

    @Override
    public void sendNote(int peer, byte[] note) {
        orderLines.add("note " + peer);
    }

    @Override
    public void watchSwitchList(boolean enabled) {
        orderLines.add("watch " + enabled);
    }

    @Override
    public void log(String line) {
        orderLines.add("log " + line);
    }
}
