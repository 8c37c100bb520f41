package martenslip.platform.contact;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Moment;
import martenslip.control.RingEnd;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.Headers;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.ParseResult;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.QueuedMessage;
import martenslip.sip.transport.RevocableMessage;

/** A desk on driven time. What it sends and what it tells a module that decides nothing is kept as lines of text. */
final class ContactTableHarness implements OutboundMessages, Controller {
    static final long SWITCH = 7;
    static final long LINK = 40;
    static final ContactSettings TERMS =
            new ContactSettings(List.of("cheap", "dear"), 3, Span.ofMillis(9000), Span.ofMillis(20));
    final TimerWheel wheel = new TimerWheel(new Moment(0));
    final List<String> sent = new ArrayList<>();
    final List<String> told = new ArrayList<>();
    final Set<Long> closed = new HashSet<>();
    final ContactTable desk = new ContactTable(wheel, TERMS, this);
    boolean unreachable;
    /** What is queued stays so until {@link #write}, ends until {@link #written}. */
    boolean held;

    boolean heldEnds;
    private final List<RevocableMessage> waiting = new ArrayList<>();
    private final List<Runnable> ends = new ArrayList<>();
    long any = 1;

    ContactTableHarness() {
        desk.setController(this);
    }

    static String tag(int number) {
        return String.format("%016x", number);
    }

    static Request request(String method, int number) {
        Headers headers = new Headers();
        headers.add("Call-ID", tag(number)).add("CSeq", "1 " + method);
        return new Request(method, "sip:00000000000000aa@net", headers);
    }

    /** Whether callers have gone, of the set-up that was asked for last. */
    CallerCancellation caller;

    SetUpRequest asked(long line, int number, double ms) {
        SetUpRequest asked = ask(line, number, ms);
        caller = asked.cancellation();
        return asked;
    }

    static SetUpRequest ask(long line, int number, double ms) {
        return new SetUpRequest(
                line,
                request("INVITE", number),
                tag(number),
                "00000000000000aa",
                1,
                new Moment(0),
                Span.ofMillis(ms),
                2,
                -1,
                1,
                false,
                false,
                null,
                "v=0\r\n",
                new CallerCancellation());
    }

    ContactTableHarness at(double ms) {
        wheel.advanceTo(new Moment(Span.ofMillis(ms).ns()));
        return this;
    }

    /** What was sent since the last look. */
    List<String> sent() {
        List<String> all = List.copyOf(sent);
        sent.clear();
        return all;
    }

    List<String> told() {
        List<String> all = List.copyOf(told);
        told.clear();
        return all;
    }

    private static String plain(byte[] message) {
        ParseResult parsed = MessageParser.parseMinimal(message, message.length);
        if (parsed.message() instanceof Response answer) {
            String away = answer.headers().first("Come-Back-Ms");
            return answer.status() + " " + answer.headers().first("CSeq").substring(2)
                    + (away == null ? "" : " away " + away)
                    + (answer.body().length == 0 ? "" : " " + new String(answer.body(), StandardCharsets.UTF_8));
        }
        Request request = (Request) parsed.message();
        return request.method() + " " + request.headers().first("Reason");
    }

    @Override
    public boolean sendToCaller(long line, byte[] message) {
        if (closed.contains(line)) {
            return false;
        }
        sent.add(line + ": " + plain(message));
        return true;
    }

    @Override
    public long anyConnection(long but) {
        return any;
    }

    @Override
    public void contactAnswered(long line, String tag) {
        // Counted by the lines; nothing that the desk is judged by.
    }

    @Override
    public void disconnect(long line, String why) {
        sent.add(line + ": dropped");
        desk.callerConnectionEnded(line);
    }

    @Override
    public QueuedMessage sendStart(long target, SwitchStartRequest start, Runnable unsent) {
        caller = start.cancellation();
        long left = start.deadline().since(wheel.now()).ns() / 1_000_000;
        RevocableMessage message = new RevocableMessage(
                0,
                () -> {
                    if (start.cancellation().isCancelled()) {
                        return null;
                    }
                    sent.add("START " + target + " " + Long.parseLong(start.tag(), 16) + " " + start.skill() + " "
                            + left + " " + start.description());
                    return new byte[0];
                },
                unsent);
        if (unreachable) {
            return null;
        }
        waiting.add(message);
        if (!held) {
            write();
        }
        return new QueuedMessage(LINK, message);
    }

    /** The connection's writer comes to all that was queued. */
    void write() {
        List<RevocableMessage> now = List.copyOf(waiting);
        waiting.clear();
        now.forEach(RevocableMessage::bytes);
    }

    @Override
    public void sendFinish(long target, long connection, String tag, int cause, Runnable written) {
        sent.add("FINISH " + target + " " + connection + " " + Long.parseLong(tag, 16) + " " + cause);
        ends.add(written);
        if (!heldEnds) {
            written();
        }
    }

    void written() {
        List<Runnable> now = List.copyOf(ends);
        ends.clear();
        now.forEach(Runnable::run);
    }

    @Override
    public void sendFinished(long target, long connection, String tag) {
        // Free on the platform: nothing is judged by it.
    }

    @Override
    public void sendNote(int peer, byte[] note) {
        sent.add("note " + peer);
    }

    @Override
    public void log(String kind, String line) {
        sent.add("log " + kind);
    }

    @Override
    public void switchListReceived(Moment now, ListKind kind, List<SwitchEntry> lines) {
        told.add("listed " + kind);
    }

    @Override
    public void contactOffered(Moment now, Contact contact) {
        told.add("offered " + contact.id() + " " + contact.skill() + " to " + contact.destination() + " patience "
                + contact.patience().ns() / 1_000_000);
    }

    @Override
    public void established(Moment now, long contact, int ring, long target, Span took) {
        told.add("stands " + contact + " " + ring + " " + target);
    }

    @Override
    public void ringEnded(Moment now, RingEnd end) {
        told.add("end " + end.contact() + " " + end.ring() + " " + end.cause() + " " + end.rejectionReason() + " "
                + end.answered() + (end.report().length == 0 ? "" : " " + java.util.Arrays.toString(end.report())));
    }

    @Override
    public void callerGone(Moment now, long contact) {
        told.add("gone " + contact);
    }

    @Override
    public void timerExpired(Moment now, long token) {
        told.add("clock " + token);
    }

    @Override
    public void switchReported(Moment now, long target, boolean reached, Span took, float[] report) {
        told.add("report " + target + " " + report.length);
    }

    @Override
    public void peerNoteReceived(Moment now, int peer, byte[] note) {
        told.add("note " + peer);
    }

    @Override
    public void stopped(Moment now) {
        told.add("stopped");
    }
}
