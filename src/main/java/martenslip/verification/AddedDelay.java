package martenslip.verification;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Message;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import org.HdrHistogram.Histogram;

/**
 * Measures from a capture the delay that controllers add to a set-up: from a caller's INVITE sent to a controller until
 * the contact's first ring arrives from it, and from the ring's 200 sent to the controller until the caller's 200
 * arrives. Both include the loopback sockets and the queues on both sides.
 */
public final class AddedDelay implements CaptureReader.RecordHandler {
    private static final long MAX_MICROS = 60_000_000;

    private static final class ContactTiming {
        Moment callerInviteAt;
        long inviteDelayMicros = -1;
        Moment ringOkAt;
    }

    private final Span intervalLength;
    private final TreeMap<Long, Histogram> totalDelaysByInterval = new TreeMap<>();
    private Moment firstMessageAt;
    private final Histogram inviteDelays = new Histogram(MAX_MICROS, 3);
    private final Histogram okDelays = new Histogram(MAX_MICROS, 3);
    private final Histogram totalDelays = new Histogram(MAX_MICROS, 3);
    private final Set<String> controllers = new HashSet<>();
    private final Map<String, ContactTiming> timingByContact = new HashMap<>();
    private final Map<String, ContactTiming> timingByBranch = new HashMap<>();
    private final Map<String, ContactTiming> timingByRing = new HashMap<>();

    /** {@code intervalLength} is the time that one row of the table over time covers; zero omits that table. */
    public AddedDelay(Span intervalLength) {
        this.intervalLength = intervalLength;
    }

    @Override
    public void annotation(Moment time, String kind, Map<String, String> attributes) {
        if (kind.equals("controller")) {
            controllers.add(attributes.get("host"));
        }
    }

    @Override
    public void message(Moment time, boolean inbound, String local, String remote, boolean lost, Message message) {
        if (!controllers.contains(remote) || lost) {
            return;
        }
        firstMessageAt = firstMessageAt == null ? time : firstMessageAt;
        try {
            if (message instanceof Request request) {
                recordInvite(time, inbound, remote, request);
            } else if (message instanceof Response response
                    && response.status() == 200
                    && response.cseq().method().equals("INVITE")) {
                recordOk(time, inbound, remote, response);
            }
        } catch (InvalidValueException e) {
            // RuleVerifier reports messages that can't be read.
            return;
        }
    }

    private void recordInvite(Moment time, boolean inbound, String remote, Request request)
            throws InvalidValueException {
        if (!request.hasMethod("INVITE") || !request.to().tag().isEmpty()) {
            return;
        }
        String contact = remote + request.headers().first("Session-ID");
        if (!inbound) {
            ContactTiming timing = timingByContact.computeIfAbsent(contact, ignored -> new ContactTiming());
            if (timing.callerInviteAt == null) {
                timing.callerInviteAt = time;
                timingByBranch.put(remote + request.via().branch(), timing);
            }
            return;
        }
        ContactTiming timing = timingByContact.get(contact);
        if (timing != null && timing.inviteDelayMicros < 0) {
            timing.inviteDelayMicros = microsBetween(timing.callerInviteAt, time);
            inviteDelays.recordValue(timing.inviteDelayMicros);
            timingByRing.put(remote + request.callId(), timing);
        }
    }

    private void recordOk(Moment time, boolean inbound, String remote, Response response) throws InvalidValueException {
        if (!inbound) {
            ContactTiming timing = timingByRing.remove(remote + response.callId());
            if (timing != null) {
                timing.ringOkAt = time;
            }
            return;
        }
        ContactTiming timing = timingByBranch.remove(remote + response.via().branch());
        if (timing != null && timing.ringOkAt != null) {
            long okDelayMicros = microsBetween(timing.ringOkAt, time);
            okDelays.recordValue(okDelayMicros);
            totalDelays.recordValue(timing.inviteDelayMicros + okDelayMicros);
            if (intervalLength.longerThan(Span.ZERO)) {
                totalDelaysByInterval
                        .computeIfAbsent(
                                time.since(firstMessageAt).ns() / intervalLength.ns(),
                                ignored -> new Histogram(MAX_MICROS, 3))
                        .recordValue(timing.inviteDelayMicros + okDelayMicros);
            }
        }
    }

    private static long microsBetween(Moment start, Moment end) {
        return Math.max(0, Math.min(MAX_MICROS, end.since(start).ns() / 1000));
    }

    /** Prints a row of percentiles for each delay, then one for each interval. */
    public void print(PrintStream out) {
        printRow(out, "invite-to-ring", inviteDelays);
        printRow(out, "200-to-200", okDelays);
        printRow(out, "both", totalDelays);
        totalDelaysByInterval.forEach((interval, histogram) ->
                printRow(out, "from " + interval * intervalLength.ns() / 1_000_000_000 + " s", histogram));
    }

    private static void printRow(PrintStream out, String name, Histogram histogram) {
        out.printf(
                Locale.ROOT,
                "%-16s n=%d p50=%.2f ms p99=%.2f ms p99.9=%.2f ms max=%.2f ms%n",
                name,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / 1000.0,
                histogram.getValueAtPercentile(99) / 1000.0,
                histogram.getValueAtPercentile(99.9) / 1000.0,
                histogram.getMaxValue() / 1000.0);
    }
}
