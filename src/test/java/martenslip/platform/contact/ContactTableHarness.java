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

/**
 * A contact table on simulated time. What it sends, and the events it reports to a module that decides nothing, are
 * kept as lines of text.
 */
final class ContactTableHarness implements UntrackedOutboundMessages, Controller {
    static final long SWITCH_ID = 7;
    static final long SWITCH_CONNECTION_ID = 40;
    static final ContactSettings SETTINGS = settings(3);
    final TimerWheel wheel = new TimerWheel(new Moment(0));
    final List<String> sent = new ArrayList<>();
    final List<String> notifications = new ArrayList<>();
    /** The contacts whose FINISH was acknowledged to a switch. */
    final List<Long> finishedTags = new ArrayList<>();

    final Set<Long> closedConnections = new HashSet<>();
    final ContactTable contactTable;
    boolean isUnreachable;
    /** Holds each START until {@link #writeStarts}. */
    boolean holdsStarts;

    /** Holds the completion of each FINISH until {@link #completeFinishes}. */
    boolean holdsFinishes;

    private final List<RevocableMessage> queuedStarts = new ArrayList<>();
    private final List<Runnable> finishCallbacks = new ArrayList<>();
    long otherCallerConnection = 1;
    /** Taken before {@link #otherCallerConnection}, each where it is not excluded. */
    final List<Long> furtherCallerConnections = new ArrayList<>();

    ContactTableHarness() {
        this(SETTINGS);
    }

    ContactTableHarness(ContactSettings settings) {
        contactTable = new ContactTable(wheel, settings, this);
        contactTable.setController(this);
    }

    static ContactSettings settings(int maxOpen) {
        return new ContactSettings(List.of("cheap", "dear"), maxOpen, Span.ofMillis(9000), Span.ofMillis(20));
    }

    static String tag(int contactNumber) {
        return String.format("%016x", contactNumber);
    }

    static Request request(String method, int contactNumber) {
        Headers headers = new Headers();
        headers.add("Call-ID", tag(contactNumber)).add("CSeq", "1 " + method);
        return new Request(method, "sip:00000000000000aa@net", headers);
    }

    /** The cancellation of the last set-up. */
    CallerCancellation lastCancellation;

    SetUpRequest setUpRequestWithCancellation(long connectionId, int contactNumber, double patienceMs) {
        SetUpRequest request = setUpRequest(connectionId, contactNumber, patienceMs);
        lastCancellation = request.cancellation();
        return request;
    }

    static SetUpRequest setUpRequest(long connectionId, int contactNumber, double patienceMs) {
        return new SetUpRequest(
                connectionId,
                request("INVITE", contactNumber),
                tag(contactNumber),
                "00000000000000aa",
                1,
                new Moment(0),
                Span.ofMillis(patienceMs),
                2,
                -1,
                1,
                false,
                false,
                null,
                "v=0\r\n",
                new CallerCancellation());
    }

    /** A set-up by which a caller names a contact that is established already. */
    static SetUpRequest namingRequest(long connectionId, int contactNumber) {
        return new SetUpRequest(
                connectionId,
                request("INVITE", contactNumber),
                tag(contactNumber),
                "00000000000000aa",
                0,
                new Moment(0),
                Span.ZERO,
                0,
                -1,
                1,
                false,
                false,
                "s-1",
                "",
                new CallerCancellation());
    }

    ContactTableHarness advanceToMs(double timeMs) {
        wheel.advanceTo(new Moment(Span.ofMillis(timeMs).ns()));
        return this;
    }

    /** What was sent since the last call. */
    List<String> takeSent() {
        List<String> taken = List.copyOf(sent);
        sent.clear();
        return taken;
    }

    List<String> takeNotifications() {
        List<String> taken = List.copyOf(notifications);
        notifications.clear();
        return taken;
    }

    private static String describe(byte[] message) {
        ParseResult parsed = MessageParser.parseMinimal(message, message.length);
        if (parsed.message() instanceof Response response) {
            String retryDelayMs = response.headers().first("Come-Back-Ms");
            return response.status() + " " + response.headers().first("CSeq").substring(2)
                    + (retryDelayMs == null ? "" : " retry after " + retryDelayMs)
                    + (response.body().length == 0 ? "" : " " + new String(response.body(), StandardCharsets.UTF_8));
        }
        Request request = (Request) parsed.message();
        return request.method() + " " + request.headers().first("Reason");
    }

    @Override
    public boolean sendToCaller(long connectionId, byte[] message) {
        if (closedConnections.contains(connectionId)) {
            return false;
        }
        sent.add(connectionId + ": " + describe(message));
        return true;
    }

    @Override
    public long otherCallerConnection(Set<Long> excludedConnectionIds) {
        return furtherCallerConnections.stream()
                .filter(connectionId -> !excludedConnectionIds.contains(connectionId))
                .findFirst()
                .orElse(otherCallerConnection);
    }

    @Override
    public void disconnect(long connectionId, String reason) {
        sent.add(connectionId + ": disconnected");
        contactTable.callerConnectionEnded(connectionId);
    }

    @Override
    public QueuedMessage sendStart(long switchId, SwitchStartRequest start, Runnable unsent) {
        lastCancellation = start.cancellation();
        long remainingMs = start.deadline().since(wheel.now()).ns() / 1_000_000;
        RevocableMessage message = new RevocableMessage(
                0,
                () -> {
                    if (start.cancellation().isCancelled()) {
                        return null;
                    }
                    sent.add("START " + switchId + " " + Long.parseLong(start.tag(), 16) + " " + start.skill() + " "
                            + remainingMs + " " + start.description());
                    return new byte[0];
                },
                unsent);
        if (isUnreachable) {
            return null;
        }
        queuedStarts.add(message);
        if (!holdsStarts) {
            writeStarts();
        }
        return new QueuedMessage(SWITCH_CONNECTION_ID, message);
    }

    /** Writes each START that was held. */
    void writeStarts() {
        List<RevocableMessage> pending = List.copyOf(queuedStarts);
        queuedStarts.clear();
        pending.forEach(RevocableMessage::bytes);
    }

    @Override
    public void sendFinish(long switchId, long switchConnectionId, String tag, int q850Cause, Runnable written) {
        sent.add("FINISH " + switchId + " " + switchConnectionId + " " + Long.parseLong(tag, 16) + " " + q850Cause);
        finishCallbacks.add(written);
        if (!holdsFinishes) {
            completeFinishes();
        }
    }

    void completeFinishes() {
        List<Runnable> pending = List.copyOf(finishCallbacks);
        finishCallbacks.clear();
        pending.forEach(Runnable::run);
    }

    @Override
    public void sendFinished(long switchId, long switchConnectionId, String tag) {
        finishedTags.add(Long.parseLong(tag, 16));
    }

    @Override
    public void sendNote(int peer, byte[] note) {
        sent.add("note " + peer);
    }

    @Override
    public void log(String kind, String message) {
        sent.add("log " + kind);
    }

    @Override
    public void switchListReceived(Moment now, ListKind kind, List<SwitchEntry> entries) {
        notifications.add("switch list " + kind);
    }

    @Override
    public void contactOffered(Moment now, Contact contact) {
        notifications.add("offered " + contact.id() + " " + contact.skill() + " destination " + contact.destination()
                + " patience " + contact.patience().ns() / 1_000_000);
    }

    @Override
    public void established(Moment now, long contact, int ring, long switchId, Span elapsed) {
        notifications.add("established " + contact + " " + ring + " " + switchId);
    }

    @Override
    public void ringEnded(Moment now, RingEnd end) {
        notifications.add("ring ended " + end.contact() + " " + end.ring() + " " + end.cause() + " "
                + end.rejectionReason() + " " + end.answered()
                + (end.report().length == 0 ? "" : " " + java.util.Arrays.toString(end.report())));
    }

    @Override
    public void callerGone(Moment now, long contact) {
        notifications.add("caller gone " + contact);
    }

    @Override
    public void timerExpired(Moment now, long token) {
        notifications.add("timer expired " + token);
    }

    @Override
    public void switchReported(Moment now, long switchId, boolean reached, Span elapsed, float[] report) {
        notifications.add("report " + switchId + " " + report.length);
    }

    @Override
    public void peerNoteReceived(Moment now, int peer, byte[] note) {
        notifications.add("note " + peer);
    }

    @Override
    public void stopped(Moment now) {
        notifications.add("stopped");
    }
}
