package martenslip.platform.contact;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import martenslip.platform.contact.EndedContacts.SettledEnd;
import martenslip.platform.contact.NamedContacts.NamedContact;
import martenslip.sip.message.Request;
import martenslip.sip.transport.LatencyHistogram;
import martenslip.sip.transport.QueuedMessage;
import martenslip.tracking.AnswerDeadline;

/**
 * The contacts of one controller on the platform. It turns messages into events of the routing module, and the module's
 * orders into messages; it makes no routing decision. It runs on one thread and takes the time from its timer wheel, so
 * tests can drive it on simulated time.
 *
 * <p>An order that fails at once, and the end of a cancelled attempt, are queued as further notifications, so the
 * module is never called from within one of its own calls.
 */
public final class ContactTable implements Orders {
    private static final float[] NO_REPORT = {};
    /** What open contacts may occupy together. */
    private static final long MAX_OPEN_BYTES = 8L << 20;
    /** Larger set-ups are refused where they would leave no room for usual ones. */
    private static final long LARGE_SET_UP_BYTES = 16L << 10;

    private static final long MAX_OPEN_BYTES_FOR_LARGE = MAX_OPEN_BYTES / 2;
    /** When a caller may come again whose set-up found no memory. */
    private static final Span NO_MEMORY_RETRY_DELAY = Span.ofMillis(500);

    /** A contact whose caller has not acknowledged the answer for this long is released both ways. */
    private static final Span ACK_TIMEOUT = Span.ofMillis(4000);

    private static final Span ACK_RECHECK_DELAY = Span.ofMillis(1000);

    private final TimerWheel wheel;
    private final ContactSettings settings;
    private final OutboundMessages outbound;
    private final Map<String, TrackedContact> contactsByTag = new HashMap<>();
    private final Map<Long, TrackedContact> openContactsById = new LinkedHashMap<>();
    private final Map<Long, TrackedContact> inFlightById = new LinkedHashMap<>();
    private final EstablishedContacts establishedContacts;
    private final ReleaseSender releaseSender;
    private final EndReconciliation endReconciliation;
    /** The size of each switch's trunk group, as last reported. */
    private final Map<Long, Integer> groupSizes = new HashMap<>();

    private final ArrayDeque<Consumer<Controller>> pendingNotifications = new ArrayDeque<>();
    private final ContactCounters counters = new ContactCounters();
    /** How long set-ups took from the order of their ring to the switch's answer. */
    private final LatencyHistogram setUpTimes = new LatencyHistogram();

    private final ModuleTimers moduleTimers;
    private Controller controller;
    private boolean isNotifying;
    private boolean isRefusingNewContacts;
    private long lastContactId;
    private long openBytes;

    /** Creates a table without a module; see {@link #setController}. */
    public ContactTable(TimerWheel wheel, ContactSettings settings, OutboundMessages outbound) {
        this.wheel = wheel;
        this.settings = settings;
        this.outbound = outbound;
        moduleTimers = new ModuleTimers(
                wheel, token -> notifyController(controller -> controller.timerExpired(wheel.now(), token)));
        releaseSender = new ReleaseSender(wheel, outbound, counters);
        endReconciliation = new EndReconciliation(wheel, outbound, releaseSender, counters);
        establishedContacts = new EstablishedContacts(
                wheel,
                outbound,
                releaseSender,
                switchId -> groupSizes.getOrDefault(switchId, 0),
                this::establishedContactEnded);
    }

    /**
     * Sets the routing module that was created with this table as its {@link Orders}. Must be called before any event.
     */
    public void setController(Controller module) {
        controller = module;
    }

    /** The counters since the start; they are live. */
    public ContactCounters counters() {
        return counters;
    }

    /** The number of contacts that wait for their final answer. */
    public int openCount() {
        return openContactsById.size();
    }

    /** An estimate of what the open contacts occupy. */
    public long openBytes() {
        return openBytes;
    }

    /** The number of established contacts. */
    public int establishedCount() {
        return establishedContacts.count();
    }

    /** Whether any contact is established at this switch. */
    public boolean hasEstablishedContactsAt(long switchId) {
        return establishedContacts.hasContactsAt(switchId);
    }

    /** How long set-ups took from the order of their ring to the switch's answer, since the last call. */
    public String takeSetUpTimesText() {
        return setUpTimes.takeText();
    }

    /** The number of established contacts whose caller has not acknowledged the answer. */
    public int unacknowledgedCount() {
        return establishedContacts.unacknowledgedCount();
    }

    /**
     * The number of established contacts of whose process no connection is left; each is logged once.
     *
     * @param oldestConnectionNumber gives the lowest number of a switch's established connections
     */
    public int countUnconfirmed(LongUnaryOperator oldestConnectionNumber) {
        return establishedContacts.countUnconfirmed(oldestConnectionNumber);
    }

    /** The number of releases that callers have not acknowledged yet. */
    public int unacknowledgedReleaseCount() {
        return releaseSender.pendingCount();
    }

    /** The number of ends of contacts that no caller has named yet. */
    public int unclaimedEndCount() {
        return endReconciliation.unclaimedCount();
    }

    /** Refuses every new set-up from now on; open contacts are still answered. */
    public void refuseNewContacts() {
        isRefusingNewContacts = true;
    }

    /** Answers every open contact as failed, as this controller ends before their deadlines. */
    public void answerOpenContacts() {
        List<TrackedContact> open = List.copyOf(openContactsById.values());
        if (!open.isEmpty()) {
            outbound.log("term", open.size() + " open contacts are answered as failed before the end");
        }
        open.forEach(this::answerAsFailed);
    }

    /** Notifies the module, then delivers the notifications that its orders have caused, one at a time. */
    public void notifyController(Consumer<Controller> notification) {
        pendingNotifications.add(notification);
        if (isNotifying) {
            return;
        }
        isNotifying = true;
        try {
            for (Consumer<Controller> next = pendingNotifications.poll();
                    next != null;
                    next = pendingNotifications.poll()) {
                try {
                    next.accept(controller);
                } catch (RuntimeException e) {
                    // Only this notification is lost: contacts it leaves open are answered when their deadline expires.
                    outbound.log("fault", "exception in the routing module: " + e);
                }
            }
        } finally {
            isNotifying = false;
        }
    }

    // ---- events from callers

    /** Offers a new set-up to the module, or refuses it where its tag is in use or too many contacts are open. */
    public void setUpReceived(SetUpRequest request) {
        TrackedContact existing = contactsByTag.get(request.tag());
        if (existing != null && existing.isOpen && existing.callerConnectionId == request.connectionId()) {
            // The caller's later messages could mean either, and neither may be answered with 200.
            outbound.disconnect(request.connectionId(), "two set-ups under one id");
            return;
        }
        // A switch may have run this id for a caller who left; it must not run again.
        boolean isRepeated = existing != null
                || establishedContacts.isNamed(request.tag())
                || endReconciliation.hasEnded(request.tag());
        if (isRepeated || isRefusingNewContacts || openContactsById.size() >= settings.maxOpen()) {
            counters.refusedWithoutOffer++;
            counters.repeatedIds += isRepeated ? 1 : 0;
            outbound.sendRefusal(
                    request.connectionId(),
                    request.tag(),
                    isRepeated
                            ? CallerMessages.response(request.invite(), 482, "Loop Detected")
                            : CallerMessages.deferred(request.invite(), Span.ZERO));
            return;
        }
        long bytes = RequestMemory.of(request.invite());
        if (openBytes + bytes > (bytes > LARGE_SET_UP_BYTES ? MAX_OPEN_BYTES_FOR_LARGE : MAX_OPEN_BYTES)) {
            counters.refusedForMemory++;
            outbound.sendRefusal(
                    request.connectionId(),
                    request.tag(),
                    CallerMessages.deferred(request.invite(), NO_MEMORY_RETRY_DELAY));
            return;
        }
        if (request.cancellation().isCancelled()) {
            // The caller no longer waits: its CANCEL, BYE or disconnect is queued behind this request in the inbox.
            counters.callerGone++;
            outbound.sendRefusal(
                    request.connectionId(),
                    request.tag(),
                    CallerMessages.response(request.invite(), 487, "Request Terminated"));
            return;
        }
        TrackedContact contact = new TrackedContact(++lastContactId, request);
        contact.openBytes = bytes;
        openBytes += bytes;
        contactsByTag.put(contact.tag, contact);
        openContactsById.put(contact.id, contact);
        counters.taken++;
        Moment now = wheel.now();
        Span remainingPatience =
                request.patience().minus(now.since(request.receivedAt()).atLeast(Span.ZERO));
        contact.answerDeadlineTimer = wheel.scheduleAt(
                AnswerDeadline.forContact(now, remainingPatience.plus(settings.answerSlack())),
                () -> answerDeadlineExpired(contact));
        Contact offeredContact = new Contact(
                contact.id,
                request.skill(),
                request.calledNumberValue(),
                request.destination(),
                request.routingHint(),
                request.width(),
                remainingPatience.atLeast(Span.ZERO),
                false,
                request.inTransit(),
                request.redial());
        notifyController(controller -> controller.contactOffered(wheel.now(), offeredContact));
    }

    /**
     * Takes over a contact that is already established at this switch, according to its caller; no answer is expected.
     */
    public void establishedContactReported(SetUpRequest request, long switchId) {
        outbound.setUpEnded(request.connectionId(), request.tag());
        if (isKnown(request.tag()) || endReconciliation.endIsSettledAtNaming(request, switchId)) {
            return;
        }
        outbound.log("named", request.tag() + " at " + request.establishedSwitch() + " is taken over");
        counters.inherited++;
        NamedContact givenUp = establishedContacts.addNamed(
                new NamedContact(request.tag(), request.calledNumber(), switchId, request.connectionId()));
        if (givenUp != null) {
            counters.namedGivenUp++;
            outbound.log(
                    "named-given-up",
                    givenUp.tag() + " gives way; at switch " + givenUp.switchId()
                            + " more are named than its group holds, most of them on connection "
                            + givenUp.connectionId());
        }
    }

    private boolean isKnown(String tag) {
        return contactsByTag.containsKey(tag) || establishedContacts.isNamed(tag);
    }

    /** Releases a contact that is established, according to its caller, at a switch that is not on the list. */
    public void establishedContactReportedAtUnknownSwitch(SetUpRequest request) {
        outbound.setUpEnded(request.connectionId(), request.tag());
        if (!isKnown(request.tag())) {
            releaseSender.releaseUnconfirmed(
                    request.tag(), request.calledNumber(), EndCause.TEMPORARY_FAILURE, request.connectionId());
        }
    }

    /** Answers a CANCEL; it ends a set-up only from the connection that asked for it. */
    public void cancelReceived(long connectionId, Request request) {
        TrackedContact contact = contactsByTag.get(request.callId());
        if (contact == null || contact.callerConnectionId != connectionId) {
            outbound.sendToCaller(
                    connectionId, CallerMessages.response(request, 481, "Call/Transaction Does Not Exist"));
            return;
        }
        outbound.sendToCaller(connectionId, CallerMessages.response(request, 200, "OK"));
        callerLeft(contact);
    }

    /**
     * Answers the set-up of a caller that has cancelled, or that is known to have gone before that event arrived here.
     */
    private void callerLeft(TrackedContact contact) {
        if (contact.isOpen) {
            sendRefusal(contact, 487, "Request Terminated");
            callerGone(contact);
        }
    }

    private void callerGone(TrackedContact contact) {
        counters.callerGone++;
        closeSetUp(contact);
        notifyController(controller -> controller.callerGone(wheel.now(), contact.id));
    }

    /** Answers a BYE, which may come on any connection for an established contact, and for an open one on its own. */
    public void byeReceived(long connectionId, Request request) {
        TrackedContact contact = contactsByTag.get(request.callId());
        boolean isOpen = contact != null && contact.isOpen && contact.callerConnectionId == connectionId;
        boolean isNamed = establishedContacts.isNamed(request.callId());
        boolean isEstablished = isNamed || contact != null && contact.isEstablished;
        outbound.sendToCaller(
                connectionId,
                isOpen || isEstablished
                        ? CallerMessages.response(request, 200, "OK")
                        : CallerMessages.response(request, 481, "Call/Transaction Does Not Exist"));
        if (isNamed) {
            establishedContacts.namedReleasedByCaller(request.callId());
        } else if (isEstablished) {
            establishedContacts.releasedByCaller(contact);
        } else if (isOpen) {
            // RFC 3261 section 15.1.2: a pending request of the dialog is still answered.
            callerLeft(contact);
        } else if (contact == null) {
            endReconciliation.byeReceivedForUnknownContact(request.callId());
        }
    }

    /** The caller has acknowledged the 200 response. */
    public void ackReceived(String tag) {
        establishedContacts.acknowledged(tag);
    }

    /** A caller has acknowledged a release, or answered that it does not know the contact. */
    public void releaseAnswered(long connectionId, String tag, boolean knowsContact) {
        releaseSender.answered(connectionId, tag, knowsContact);
    }

    /** Ends the open contacts of this connection and those answered on it but not acknowledged. */
    public void callerConnectionEnded(long connectionId) {
        releaseSender.callerConnectionEnded(connectionId);
        for (TrackedContact contact : List.copyOf(openContactsById.values())) {
            if (contact.callerConnectionId == connectionId) {
                callerGone(contact);
            }
        }
        establishedContacts.callerConnectionEnded(connectionId);
    }

    // ---- events from switches

    /**
     * A switch has answered a START.
     *
     * @param connectionNumber rank of the connection in the order in which connections to switches were established
     * @param description null where the answer could not be read or has none
     */
    public void started(long switchId, long connectionNumber, String tag, String description) {
        TrackedContact contact = contactsByTag.get(tag);
        if (contact == null || contact.isEstablished || !isAwaitingAnswerFrom(contact, switchId)) {
            return;
        }
        if (contact.isOpen && contact.setUpRequest.cancellation().isCancelled()) {
            // The caller is known to have gone, though the event is still queued: it no longer takes a 200.
            callerLeft(contact);
        }
        if (contact.attempt == null || contact.attempt.isCancelled) {
            // Its FINISH is already on its way to the switch.
            return;
        }
        if (description == null || !contact.isOpen) {
            cancelAttempt(contact, description == null ? RingEndCause.CUT : RingEndCause.CALLED_OFF);
            return;
        }
        Request inviteRequest = contact.setUpRequest.invite();
        int ringNumber = contact.attempt.ringNumber;
        Span elapsed = wheel.now().since(contact.attempt.startedAt);
        setUpTimes.add(elapsed, LatencyHistogram.NO_CONNECTION);
        contact.attempt.timeLimitTimer.cancel();
        inFlightById.remove(contact.id);
        closeSetUp(contact);
        establishedContacts.add(contact, connectionNumber);
        counters.established++;
        wheel.scheduleCoarse(ACK_TIMEOUT, () -> acknowledgementDue(contact));
        boolean delivered = outbound.sendAnswer(
                contact.callerConnectionId,
                contact.tag,
                CallerMessages.established(inviteRequest, description.getBytes(StandardCharsets.UTF_8)));
        notifyController(controller -> controller.established(wheel.now(), contact.id, ringNumber, switchId, elapsed));
        if (!delivered) {
            callerConnectionEnded(contact.callerConnectionId);
        }
    }

    /** After a stall the ACK may wait in the inbox, so it is looked for once more behind what has come by then. */
    private void acknowledgementDue(TrackedContact contact) {
        if (!contact.isAcknowledged) {
            wheel.scheduleCoarse(ACK_RECHECK_DELAY, () -> establishedContacts.acknowledgementMissing(contact));
        }
    }

    /** A switch has sent a FINISH: it rejects a ring or releases an established contact. An empty report means none. */
    public void ended(long switchId, long switchConnectionId, String tag, int q850Cause, String note, float[] report) {
        if (establishedContacts.namedReleasedBySwitch(switchId, switchConnectionId, tag, q850Cause, report)) {
            return;
        }
        if (establishedContacts.isNamed(tag)) {
            // Its caller says that it stands elsewhere.
            outbound.sendFinished(switchId, switchConnectionId, tag);
            return;
        }
        TrackedContact contact = contactsByTag.get(tag);
        if (contact == null) {
            endReconciliation.releaseReceivedForUnknownContact(switchId, switchConnectionId, tag, q850Cause);
            return;
        }
        boolean isExpected = isAwaitingAnswerFrom(contact, switchId);
        if (isExpected && contact.isEstablished) {
            establishedContacts.releasedBySwitch(contact, switchConnectionId, q850Cause, report);
            return;
        }
        outbound.sendFinished(switchId, switchConnectionId, tag);
        if (!isExpected) {
            return;
        }
        if (contact.attempt.isCancelled) {
            // It crossed the FINISH that is on its way to the switch, which counts; its load report is still valid.
            if (report.length > 0) {
                loadReported(switchId, report);
            }
            return;
        }
        EndCause endCause = EndCause.ofRingEnd(q850Cause, note);
        rememberGroupSize(switchId, report);
        attemptEnded(
                contact, endCause.cause(), endCause.rejectionReason(), reportOrGroupState(contact, endCause, report));
    }

    /**
     * A switch's FINISH was read from a connection that has ended since. It releases an established or an unknown
     * contact; the attempts of that connection have ended with it, and a later one is not meant.
     */
    public void releasedOnEndedConnection(long switchId, long switchConnectionId, String tag, int q850Cause) {
        TrackedContact contact = contactsByTag.get(tag);
        if (contact == null || contact.isEstablished) {
            ended(switchId, switchConnectionId, tag, q850Cause, null, NO_REPORT);
        }
    }

    /**
     * A switch's answer was read after its attempt was given up with the connection: the contact is released there, unless
     * it is being set up or stands there by another attempt.
     */
    public void answeredOnEndedConnection(long switchId, long switchConnectionId, String tag) {
        TrackedContact contact = contactsByTag.get(tag);
        boolean isThereAgain = contact != null && contact.attempt != null && contact.switchId() == switchId;
        if (!isThereAgain && !establishedContacts.isNamed(tag)) {
            outbound.sendFinish(switchId, switchConnectionId, tag, EndCause.NORMAL_CLEARING, () -> {});
        }
    }

    /** An answer counts only for the attempt in flight, and only if its START has been written. */
    private static boolean isAwaitingAnswerFrom(TrackedContact contact, long switchId) {
        return contact.attempt != null
                && contact.switchId() == switchId
                && (contact.attempt.queuedStart == null
                        || contact.attempt.queuedStart.message().isWritten());
    }

    /** A switch has reported its load, in the order of the settings' report fields. */
    public void loadReported(long switchId, float[] report) {
        rememberGroupSize(switchId, report);
        notifyController(controller -> controller.switchReported(wheel.now(), switchId, true, Span.ZERO, report));
    }

    private void rememberGroupSize(long switchId, float[] report) {
        if (report.length >= 2 && report[1] >= 0) {
            groupSizes.put(switchId, (int) report[1]);
        }
    }

    /**
     * The report of a FINISH, or one made up where a set-up failed for lack of circuits and came without a report: that
     * few free circuits are left is then the only sign of the group's state.
     */
    private float[] reportOrGroupState(TrackedContact contact, EndCause endCause, float[] report) {
        boolean hasNoCircuit =
                endCause.cause() == RingEndCause.NOT_SENT && endCause.rejectionReason() == RejectionReason.NO_CIRCUIT;
        Integer groupSize = groupSizes.get(contact.attempt.switchId);
        return hasNoCircuit && report.length == 0 && groupSize != null
                ? new float[] {contact.setUpRequest.width() - 1, groupSize}
                : report;
    }

    /** A switch has left the list for good; its id is not used again. */
    public void switchRemoved(long switchId) {
        groupSizes.remove(switchId);
    }

    /** A connection to a switch has ended: its rings in flight end, established contacts stay. */
    public void switchConnectionEnded(long switchId, long switchConnectionId, boolean everUp) {
        for (TrackedContact contact : List.copyOf(inFlightById.values())) {
            if (contact.attempt.switchConnectionId() == switchConnectionId) {
                boolean neverWritten = contact.attempt.revoke();
                attemptEnded(
                        contact,
                        !everUp ? RingEndCause.UNREACHABLE : neverWritten ? RingEndCause.NOT_SENT : RingEndCause.CUT,
                        RejectionReason.NONE,
                        NO_REPORT);
            }
        }
    }

    /** The process of a switch has ended: contacts established there end without a release of the switch. */
    public void switchProcessEnded(long switchId) {
        establishedContacts.switchProcessEnded(switchId);
    }

    /**
     * Another process has followed at the address of a switch. Contacts answered on connections before the given number
     * end without a release of the switch; the others stand at the process that has followed.
     *
     * @param newSwitchId the switch of that process; the same one if it was started again
     */
    public void switchProcessReplaced(long switchId, long newSwitchId, long firstConnectionNumber) {
        establishedContacts.switchProcessReplaced(switchId, newSwitchId, firstConnectionNumber);
        endReconciliation.switchReplaced(switchId, newSwitchId);
    }

    // ---- ends of contacts and attempts

    /** Sends the refusal of an open contact. */
    private void sendRefusal(TrackedContact contact, int status, String reason) {
        outbound.sendRefusal(
                contact.callerConnectionId,
                contact.tag,
                CallerMessages.response(contact.setUpRequest.invite(), status, reason));
    }

    /** Ends the wait for a final answer: it was sent, or the caller has gone. */
    private void closeSetUp(TrackedContact contact) {
        contact.isOpen = false;
        contact.answerDeadlineTimer.cancel();
        openBytes -= contact.openBytes;
        openContactsById.remove(contact.id);
        if (contact.attempt == null) {
            forgetUnanswered(contact);
        }
    }

    /** A contact that no switch has answered leaves the table. */
    private void forgetUnanswered(TrackedContact contact) {
        contactsByTag.remove(contact.tag);
        if (contact.wasForwarded) {
            endReconciliation.contactSettled(contact.tag, new SettledEnd(false, EndCause.TEMPORARY_FAILURE));
        }
    }

    private void establishedContactEnded(TrackedContact contact, RingEndCause cause, float[] report) {
        contactsByTag.remove(contact.tag);
        boolean isNormalEnd = cause == RingEndCause.CONCLUDED || cause == RingEndCause.CALLED_OFF;
        endReconciliation.contactSettled(
                contact.tag, new SettledEnd(true, isNormalEnd ? EndCause.NORMAL_CLEARING : EndCause.TEMPORARY_FAILURE));
        TrackedContact.Attempt attempt = contact.attempt;
        if (contact.isInherited()) {
            // The module does not know this inherited contact, but the load report is valid.
            if (report.length > 0) {
                loadReported(attempt.switchId, report);
            }
            return;
        }
        Span elapsed = wheel.now().since(attempt.startedAt);
        notifyController(controller -> controller.ringEnded(
                wheel.now(),
                new RingEnd(
                        contact.id,
                        attempt.ringNumber,
                        attempt.switchId,
                        cause,
                        RejectionReason.NONE,
                        elapsed,
                        true,
                        report)));
    }

    /**
     * Cancels an attempt. One whose write has not begun is revoked and ends as not sent; the switch receives nothing.
     * Otherwise the attempt ends once its FINISH has been written, as the release time counts from then.
     */
    private void cancelAttempt(TrackedContact contact, RingEndCause cause) {
        TrackedContact.Attempt attempt = contact.attempt;
        if (attempt.revoke()) {
            attemptEnded(contact, RingEndCause.NOT_SENT, RejectionReason.NONE, NO_REPORT);
            return;
        }
        attempt.timeLimitTimer.cancel();
        attempt.isCancelled = true;
        outbound.sendFinish(
                attempt.switchId, attempt.switchConnectionId(), contact.tag, EndCause.NORMAL_CLEARING, () -> {
                    if (contact.attempt == attempt) {
                        attemptEnded(contact, cause, RejectionReason.NONE, NO_REPORT);
                    }
                });
    }

    private void attemptEnded(
            TrackedContact contact, RingEndCause cause, RejectionReason rejectionReason, float[] report) {
        TrackedContact.Attempt attempt = contact.attempt;
        attempt.timeLimitTimer.cancel();
        inFlightById.remove(contact.id);
        contact.wasForwarded |= !attempt.revoke();
        contact.attempt = null;
        if (!contact.isOpen) {
            forgetUnanswered(contact);
        }
        counters.countRingEnd(cause, rejectionReason);
        Span elapsed = wheel.now().since(attempt.startedAt);
        notifyController(controller -> controller.ringEnded(
                wheel.now(),
                new RingEnd(
                        contact.id,
                        attempt.ringNumber,
                        attempt.switchId,
                        cause,
                        rejectionReason,
                        elapsed,
                        !contact.isOpen,
                        report)));
    }

    /** Answers a contact that the module has left without an answer. */
    private void answerDeadlineExpired(TrackedContact contact) {
        if (!contact.isOpen) {
            return;
        }
        outbound.log("last-word", "the routing module left a contact unanswered until its deadline");
        answerAsFailed(contact);
    }

    private void answerAsFailed(TrackedContact contact) {
        sendRefusal(contact, 500, "Server Internal Error");
        callerGone(contact);
    }

    // ---- orders of the module

    @Override
    public void ring(long contactId, long switchId, Span limit) {
        TrackedContact contact = openContactsById.get(contactId);
        if (contact == null || contact.attempt != null) {
            outbound.log(
                    "fault",
                    "the module ordered a ring for a contact that is answered, unknown or already has a ring in flight");
            return;
        }
        int ringNumber = contact.attemptCount++;
        counters.rings++;
        SetUpRequest request = contact.setUpRequest;
        Moment deadline = wheel.now().plus(limit);
        QueuedMessage queuedStart = request.cancellation().isCancelled()
                ? null
                : outbound.sendStart(
                        switchId,
                        new SwitchStartRequest(
                                contact.tag,
                                settings.skills().get(request.skill()),
                                contact.calledNumber,
                                request.description(),
                                deadline,
                                request.cancellation()),
                        () -> attemptNotSent(contact, ringNumber));
        TrackedContact.Attempt attempt = new TrackedContact.Attempt(ringNumber, switchId, queuedStart, wheel.now());
        contact.attempt = attempt;
        inFlightById.put(contact.id, contact);
        attempt.timeLimitTimer = wheel.scheduleAt(deadline, () -> {
            if (contact.attempt == attempt) {
                cancelAttempt(contact, RingEndCause.TIMED_OUT);
            }
        });
        if (request.cancellation().isCancelled()) {
            pendingNotifications.add(controller -> callerLeft(contact));
        } else if (queuedStart == null) {
            pendingNotifications.add(controller -> {
                if (contact.attempt == attempt) {
                    attemptEnded(contact, RingEndCause.UNREACHABLE, RejectionReason.NONE, NO_REPORT);
                }
            });
        }
    }

    /** The START was no longer due when its write was to begin. */
    private void attemptNotSent(TrackedContact contact, int ringNumber) {
        if (contact.attempt != null && contact.attempt.ringNumber == ringNumber) {
            attemptEnded(contact, RingEndCause.NOT_SENT, RejectionReason.NONE, NO_REPORT);
        }
    }

    @Override
    public void cancel(long contactId, int ringNumber) {
        TrackedContact contact = inFlightById.get(contactId);
        if (contact == null || contact.attempt.ringNumber != ringNumber || contact.attempt.isCancelled) {
            return;
        }
        TrackedContact.Attempt attempt = contact.attempt;
        if (!attempt.revoke()) {
            outbound.sendFinish(
                    attempt.switchId, attempt.switchConnectionId(), contact.tag, EndCause.NORMAL_CLEARING, () -> {});
        }
        attempt.isCancelled = true;
        // This runs within a call of the module, so the end is reported in a later notification, when it is known
        // whether the contact has been answered.
        pendingNotifications.add(controller -> {
            if (contact.attempt == attempt) {
                attemptEnded(
                        contact,
                        attempt.revoke() ? RingEndCause.NOT_SENT : RingEndCause.CALLED_OFF,
                        RejectionReason.NONE,
                        NO_REPORT);
            }
        });
    }

    @Override
    public void defer(long contactId, Span retryDelay) {
        TrackedContact contact = openContactsById.get(contactId);
        if (contact != null) {
            counters.deferred++;
            outbound.sendRefusal(
                    contact.callerConnectionId,
                    contact.tag,
                    CallerMessages.deferred(contact.setUpRequest.invite(), retryDelay));
            closeSetUp(contact);
        }
    }

    @Override
    public void abandon(long contactId) {
        TrackedContact contact = openContactsById.get(contactId);
        if (contact != null) {
            counters.abandoned++;
            sendRefusal(contact, 500, "Server Internal Error");
            closeSetUp(contact);
        }
    }

    @Override
    public void startTimer(Span delay, long token) {
        moduleTimers.start(delay, token);
    }

    @Override
    public void cancelTimers(long token) {
        moduleTimers.cancel(token);
    }

    @Override
    public void probe(long switchId) {
        outbound.log("probe", "the module ordered a probe, which this platform does not allow");
    }

    @Override
    public void sendNote(int peer, byte[] note) {
        outbound.sendNote(peer, note);
    }

    @Override
    public void watchSwitchList(boolean enabled) {
        // The journal service sends the list unasked; there is nothing to subscribe to.
    }

    @Override
    public void log(String message) {
        outbound.log("module", message);
    }

    /** For tests: the tags of all contacts in this table. */
    public Collection<String> knownTags() {
        List<String> tags = new ArrayList<>(contactsByTag.keySet());
        tags.addAll(establishedContacts.namedTags());
        return tags;
    }
}
