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
import martenslip.control.SwitchLine;
import martenslip.platform.desk.Desk;
import martenslip.platform.journal.ListEvent;
import martenslip.platform.switchconnection.SwitchConnections;

/**
 * The switch list: numbers for ids, since an address is used again and an id never; keeps the lines to the switches
 * and the module's list in step with the journal's events. The deciding thread's.
 */
final class Roster {
    private record Known(long number, long startedMs) {}

    private final Desk desk;
    private final SwitchConnections lines;
    private final List<String> zones;
    /** What the clock of the program shows less what the Unix clock shows, at the start. */
    private final Span offset;

    private final Log log;
    private final Map<String, Known> known = new LinkedHashMap<>();
    private long numbers;

    Roster(Desk desk, SwitchConnections lines, String zones, Moment now, long unixMs, Log log) {
        this.desk = desk;
        this.lines = lines;
        this.zones = Arrays.asList(zones.split(","));
        this.log = log;
        offset = new Span(now.ns() - unixMs * 1_000_000);
    }

    /** The number of a switch that is on the list, or 0. */
    long number(String id) {
        Known one = known.get(id);
        return one == null ? 0 : one.number;
    }

    /** The events up to the start, as one list. */
    void remembered(List<ListEvent> events, Moment now) {
        Map<String, ListEvent.Entry> all = new LinkedHashMap<>();
        for (ListEvent event : events) {
            if (event.whole()) {
                all.clear();
            }
            for (ListEvent.Entry entry : event.entries()) {
                if (entry.state() == SwitchLine.State.GONE) {
                    all.remove(entry.id());
                } else {
                    all.put(entry.id(), entry);
                }
            }
        }
        tell(ListKind.REMEMBERED, List.copyOf(all.values()), now);
    }

    void take(ListEvent event, Moment now) {
        tell(event.whole() ? ListKind.WHOLE : ListKind.CHANGES, event.entries(), now);
    }

    private void tell(ListKind kind, List<ListEvent.Entry> entries, Moment now) {
        List<SwitchLine> told = new ArrayList<>();
        Set<String> left = new HashSet<>();
        Map<Long, Moment> restarted = new HashMap<>();
        Set<String> named = new HashSet<>();
        for (ListEvent.Entry entry : entries) {
            named.add(entry.id());
            Known before = known.get(entry.id());
            if (entry.state() == SwitchLine.State.GONE && before == null) {
                continue;
            }
            Known one = new Known(before == null ? ++numbers : before.number, entry.startedMs());
            known.put(entry.id(), one);
            Moment started = entry.startedMs() == 0 ? null : new Moment(entry.startedMs() * 1_000_000).plus(offset);
            if (before != null && entry.startedMs() > before.startedMs) {
                restarted.put(one.number, started);
            }
            log.line(
                    "list",
                    entry.id() + " is switch " + one.number + ", number " + entry.number() + ", " + entry.state()
                            + " at " + entry.at() + " since " + entry.startedMs());
            told.add(new SwitchLine(
                    one.number, entry.number(), entry.state(), started, Math.max(0, zones.indexOf(entry.zone()))));
            if (entry.state() == SwitchLine.State.GONE) {
                left.add(entry.id());
            } else {
                lines.listed(one.number, entry.at(), entry.state() == SwitchLine.State.DRAINING);
            }
        }
        if (kind != ListKind.CHANGES) {
            known.keySet().stream().filter(id -> !named.contains(id)).forEach(left::add);
        }
        restarted.forEach(desk::switchOver);
        desk.tell(to -> to.listed(now, kind, told));
        for (String id : left) {
            long number = known.remove(id).number;
            lines.unlisted(number);
            desk.forget(number);
        }
    }
}
