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
 * What controllers add to a set-up, read from a capture: from a caller's INVITE going in to its first ring coming
 * out, and from the ring's 200 going in to the caller's 200 coming out. It holds the way over the loopback sockets and
 * both sides' queues.
 */
public final class AddedDelay implements CaptureReader.RecordHandler {
    private static final long MOST_MICROS = 60_000_000;

    private static final class ContactTiming {
        Moment inviteIn;
        long forward = -1;
        Moment okIn;
    }

    private final Span each;
    private final TreeMap<Long, Histogram> parts = new TreeMap<>();
    private Moment first;
    private final Histogram forward = new Histogram(MOST_MICROS, 3);
    private final Histogram back = new Histogram(MOST_MICROS, 3);
    private final Histogram both = new Histogram(MOST_MICROS, 3);
    private final Set<String> controllers = new HashSet<>();
    private final Map<String, ContactTiming> open = new HashMap<>();
    private final Map<String, ContactTiming> byBranch = new HashMap<>();
    private final Map<String, ContactTiming> byRing = new HashMap<>();

    /** {@code each} is how long a row of the table by time lasts; zero leaves that table out. */
    public AddedDelay(Span each) {
        this.each = each;
    }

    @Override
    public void annotation(Moment at, String kind, Map<String, String> words) {
        if (kind.equals("controller")) {
            controllers.add(words.get("host"));
        }
    }

    @Override
    public void message(Moment at, boolean in, String local, String remote, boolean lost, Message message) {
        if (!controllers.contains(remote) || lost) {
            return;
        }
        first = first == null ? at : first;
        try {
            if (message instanceof Request request) {
                invite(at, in, remote, request);
            } else if (message instanceof Response response
                    && response.status() == 200
                    && response.cseq().method().equals("INVITE")) {
                ok(at, in, remote, response);
            }
        } catch (InvalidValueException e) {
            // A message that the rules' proof tells of.
            return;
        }
    }

    private void invite(Moment at, boolean in, String remote, Request request) throws InvalidValueException {
        if (!request.hasMethod("INVITE") || !request.to().tag().isEmpty()) {
            return;
        }
        String contact = remote + request.headers().first("Session-ID");
        if (!in) {
            ContactTiming passage = open.computeIfAbsent(contact, any -> new ContactTiming());
            if (passage.inviteIn == null) {
                passage.inviteIn = at;
                byBranch.put(remote + request.via().branch(), passage);
            }
            return;
        }
        ContactTiming passage = open.get(contact);
        if (passage != null && passage.forward < 0) {
            passage.forward = micros(passage.inviteIn, at);
            forward.recordValue(passage.forward);
            byRing.put(remote + request.callId(), passage);
        }
    }

    private void ok(Moment at, boolean in, String remote, Response response) throws InvalidValueException {
        if (!in) {
            ContactTiming passage = byRing.remove(remote + response.callId());
            if (passage != null) {
                passage.okIn = at;
            }
            return;
        }
        ContactTiming passage = byBranch.remove(remote + response.via().branch());
        if (passage != null && passage.okIn != null) {
            long took = micros(passage.okIn, at);
            back.recordValue(took);
            both.recordValue(passage.forward + took);
            if (each.longerThan(Span.ZERO)) {
                parts.computeIfAbsent(at.since(first).ns() / each.ns(), any -> new Histogram(MOST_MICROS, 3))
                        .recordValue(passage.forward + took);
            }
        }
    }

    private static long micros(Moment from, Moment to) {
        return Math.max(0, Math.min(MOST_MICROS, to.since(from).ns() / 1000));
    }

    public void print(PrintStream out) {
        line(out, "invite-to-ring", forward);
        line(out, "200-to-200", back);
        line(out, "both", both);
        parts.forEach((row, histogram) -> line(out, "from " + row * each.ns() / 1_000_000_000 + " s", histogram));
    }

    private static void line(PrintStream out, String name, Histogram histogram) {
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
