package martenslip.platform;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.platform.contact.ContactTable;
import martenslip.platform.journal.SwitchListEvent;
import martenslip.platform.switchconnection.SwitchConnections;

/**
 * The switch list: numbers for ids, since an address is used again and an id never; keeps the lines to the switches
 * and the module's list in step with the journal's events. The deciding thread's.
 */
final class SwitchRegistry {
    private record RegisteredSwitch(long number, long startedMs) {}

    private final ContactTable desk;
    private final SwitchConnections lines;
    private final List<String> zones;
    /** What the clock of the program shows less what the Unix clock shows, at the start. */
    private final Span offset;

    private final RateLimitedLog log;
    private final Map<String, RegisteredSwitch> known = new LinkedHashMap<>();
    private long numbers;

    SwitchRegistry(
            ContactTable desk, SwitchConnections lines, String zones, Moment now, long unixMs, RateLimitedLog log) {
        this.desk = desk;
        this.lines = lines;
        this.zones = Arrays.asList(zones.split(","));
        this.log = log;
        offset = new Span(now.ns() - unixMs * 1_000_000);
    }

    /** The number of a switch that is on the list, or 0. */
    long number(String id) {
        RegisteredSwitch one = known.get(id);
        return one == null ? 0 : one.number;
    }

    /** The events up to the start, as one list. */
    void remembered(List<SwitchListEvent> events, Moment now) {
        Map<String, SwitchListEvent.Entry> all = new LinkedHashMap<>();
        for (SwitchListEvent event : events) {
            if (event.full()) {
                all.clear();
            }
            for (SwitchListEvent.Entry entry : event.entries()) {
                if (entry.state() == SwitchEntry.State.GONE) {
                    all.remove(entry.id());
                } else {
                    all.put(entry.id(), entry);
                }
            }
        }
        tell(ListKind.CACHED, List.copyOf(all.values()), now);
    }

    void take(SwitchListEvent event, Moment now) {
        tell(event.full() ? ListKind.FULL : ListKind.CHANGES, event.entries(), now);
    }

    private void tell(ListKind kind, List<SwitchListEvent.Entry> entries, Moment now) {
        List<SwitchEntry> told = new ArrayList<>();
        Set<String> left = new HashSet<>();
        Map<Long, Moment> restarted = new HashMap<>();
        Set<String> named = new HashSet<>();
        for (SwitchListEvent.Entry entry : entries) {
            named.add(entry.id());
            RegisteredSwitch before = known.get(entry.id());
            if (entry.state() == SwitchEntry.State.GONE && before == null) {
                continue;
            }
            RegisteredSwitch one =
                    new RegisteredSwitch(before == null ? ++numbers : before.number, entry.startedAtMs());
            known.put(entry.id(), one);
            Moment started = entry.startedAtMs() == 0 ? null : new Moment(entry.startedAtMs() * 1_000_000).plus(offset);
            if (before != null && entry.startedAtMs() > before.startedMs) {
                restarted.put(one.number, started);
            }
            log.line(
                    "list",
                    entry.id() + " is switch " + one.number + ", number " + entry.number() + ", " + entry.state()
                            + " at " + entry.address() + " since " + entry.startedAtMs());
            told.add(new SwitchEntry(
                    one.number, entry.number(), entry.state(), started, Math.max(0, zones.indexOf(entry.zone()))));
            if (entry.state() == SwitchEntry.State.GONE) {
                left.add(entry.id());
            } else {
                lines.listed(one.number, entry.address(), entry.state() == SwitchEntry.State.DRAINING);
            }
        }
        if (kind != ListKind.CHANGES) {
            known.keySet().stream().filter(id -> !named.contains(id)).forEach(left::add);
        }
        restarted.forEach(desk::switchProcessEnded);
        desk.notifyController(to -> to.switchListReceived(now, kind, told));
        for (String id : left) {
            long number = known.remove(id).number;
            lines.unlisted(number);
            desk.switchRemoved(number);
        }
    }
}
