package martenslip.platform.contact;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.Request;
import martenslip.sip.transport.QueuedMessage;
import martenslip.tracking.AnswerDeadline;

/**
 * The contacts of one controller on the platform: what arrives becomes news for the module, what the module orders
 * becomes messages. It decides nothing. One thread, time of its wheel, so it runs on driven time too.
 *
 * <p>An order that fails at once, and the end of an attempt that was called off, become further news and never reach
 * back into a module that is amid another.
 */
public final class ContactTable implements Orders {
    private static final float[] NO_REPORT = {};

    private final TimerWheel wheel;
    private final ContactSettings settings;
    private final OutboundMessages outbound;
    private final Map<String, TrackedContact> contactsByTag = new HashMap<>();
    private final Map<Long, TrackedContact> openContactsById = new LinkedHashMap<>();
    private final Map<Long, TrackedContact> inFlightById = new LinkedHashMap<>();
    private final EstablishedContacts establishedContacts;
    private final ReleaseSender releaseSender;
    /** Sizes of the groups as they were told last. */
    private final Map<Long, Integer> groupSizes = new HashMap<>();

    private final ArrayDeque<Consumer<Controller>> pendingNotifications = new ArrayDeque<>();
    private final ContactCounters counters = new ContactCounters();
    private Controller controller;
    private boolean isNotifying;
    private boolean isRefusingNewContacts;
    private long lastContactId;

    public ContactTable(TimerWheel wheel, ContactSettings settings, OutboundMessages outbound) {
        this.wheel = wheel;
        this.settings = settings;
        this.outbound = outbound;
        releaseSender = new ReleaseSender(wheel, outbound);
        establishedContacts = new EstablishedContacts(outbound, releaseSender, this::establishedContactEnded);
    }

    /** The module that was made with this desk as its orders. */
    public void setController(Controller module) {
        controller = module;
    }

    public ContactCounters counters() {
        return counters;
    }

    /** Contacts without a final answer. */
    public int openCount() {
        return openContactsById.size();
    }

    public int establishedCount() {
        return establishedContacts.count();
    }

    public boolean hasEstablishedContactsAt(long switchId) {
        return establishedContacts.hasContactsAt(switchId);
    }

    public int unacknowledgedReleaseCount() {
        return releaseSender.pendingCount();
    }

    /** From now on what comes is refused; what is open is answered in its own time. */
    public void refuseNewContacts() {
        isRefusingNewContacts = true;
    }

    /** Tells the module, and then what its orders have brought about, one thing at a time. */
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
                    // It costs this piece of news: contacts it left open have their last word here.
                    outbound.log("fault", "the module: " + e);
                }
            }
        } finally {
            isNotifying = false;
        }
    }

    // ---- what callers say

    public void setUpReceived(SetUpRequest request) {
        TrackedContact existing = contactsByTag.get(request.tag());
        if (request.establishedSwitch() == null
                && existing != null
                && existing.isOpen
                && existing.callerConnectionId == request.connectionId()) {
            // Which of the two its caller means can't be told, and neither may be answered as good.
            outbound.disconnect(request.connectionId(), "two set-ups under one id");
            return;
        }
        if (request.establishedSwitch() == null
                && (existing != null || isRefusingNewContacts || openContactsById.size() >= settings.maxOpen())) {
            counters.refusedWithoutOffer++;
            outbound.contactAnswered(request.connectionId(), request.tag());
            outbound.sendToCaller(
                    request.connectionId(),
                    existing != null
                            ? CallerMessages.response(request.invite(), 482, "Loop Detected")
                            : CallerMessages.deferred(request.invite(), Span.ZERO));
            return;
        }
        if (request.cancellation().isCancelled()) {
            // Nobody waits for it any more: what its caller said after it stands behind it in the inbox.
            counters.callerGone++;
            outbound.contactAnswered(request.connectionId(), request.tag());
            outbound.sendToCaller(
                    request.connectionId(), CallerMessages.response(request.invite(), 487, "Request Terminated"));
            return;
        }
        TrackedContact contact = new TrackedContact(++lastContactId, request);
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
                request.hint(),
                request.width(),
                remainingPatience.atLeast(Span.ZERO),
                false,
                request.transit(),
                request.redial());
        notifyController(controller -> controller.contactOffered(wheel.now(), offeredContact));
    }

    /** A contact that stands already at a switch, as its caller says; no answer is expected. */
    public void establishedContactReported(SetUpRequest request, long switchId) {
        outbound.contactAnswered(request.connectionId(), request.tag());
        if (contactsByTag.containsKey(request.tag())) {
            return;
        }
        TrackedContact contact = new TrackedContact(++lastContactId, request);
        contact.isOpen = false;
        contact.isAcknowledged = true;
        contact.attempt = new TrackedContact.Attempt(-1, switchId, null, wheel.now());
        contactsByTag.put(contact.tag, contact);
        establishedContacts.add(contact, wheel.now());
        counters.inherited++;
    }

    /** One that names a switch that is nowhere: what it named is over. */
    public void establishedContactReportedAtUnknownSwitch(SetUpRequest request) {
        outbound.contactAnswered(request.connectionId(), request.tag());
        if (!contactsByTag.containsKey(request.tag())) {
            releaseSender.release(
                    request.tag(), request.calledNumber(), EndCause.TEMPORARY_FAILURE, request.connectionId());
        }
    }

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

    /** Its caller has cancelled, or is known to have gone before that was told here. */
    private void callerLeft(TrackedContact contact) {
        if (contact.isOpen) {
            outbound.sendToCaller(
                    contact.callerConnectionId,
                    CallerMessages.response(contact.setUpRequest.invite(), 487, "Request Terminated"));
            callerGone(contact);
        }
    }

    private void callerGone(TrackedContact contact) {
        counters.callerGone++;
        closeSetUp(contact);
        notifyController(controller -> controller.callerGone(wheel.now(), contact.id));
    }

    public void byeReceived(long connectionId, Request request) {
        TrackedContact contact = contactsByTag.get(request.callId());
        boolean isOpen = contact != null && contact.isOpen && contact.callerConnectionId == connectionId;
        boolean isEstablished = contact != null && contact.isEstablished;
        outbound.sendToCaller(
                connectionId,
                isOpen || isEstablished
                        ? CallerMessages.response(request, 200, "OK")
                        : CallerMessages.response(request, 481, "Call/Transaction Does Not Exist"));
        if (isEstablished) {
            establishedContacts.releasedByCaller(contact);
        } else if (isOpen) {
            // RFC 3261 15.1.2: what is pending is still answered.
            callerLeft(contact);
        }
    }

    /** The caller has the good answer. */
    public void ackReceived(String tag) {
        establishedContacts.acknowledged(tag);
    }

    /** The caller has taken a release, or knows nothing of it. */
    public void releaseAcknowledged(String tag) {
        releaseSender.acknowledged(tag);
    }

    public void callerConnectionEnded(long connectionId) {
        releaseSender.callerConnectionEnded(connectionId);
        for (TrackedContact contact : List.copyOf(openContactsById.values())) {
            if (contact.callerConnectionId == connectionId) {
                callerGone(contact);
            }
        }
        establishedContacts.callerConnectionEnded(connectionId);
    }

    // ---- what switches say

    public void started(long switchId, long switchConnectionId, String tag, String description) {
        TrackedContact contact = contactsByTag.get(tag);
        if (contact == null || contact.isEstablished || !isAwaitingAnswerFrom(contact, switchId)) {
            return;
        }
        if (contact.isOpen && contact.setUpRequest.cancellation().isCancelled()) {
            // Known to have gone, though the news of it is still on its way: it takes no answer as good any more.
            callerLeft(contact);
        }
        if (contact.attempt == null || contact.attempt.isCancelled) {
            // Its end is on its way to the switch, by the module's order or by the desk's.
            return;
        }
        if (description == null || !contact.isOpen) {
            cancelAttempt(contact, description == null ? RingEndCause.CUT : RingEndCause.CALLED_OFF);
            return;
        }
        Request inviteRequest = contact.setUpRequest.invite();
        int ringNumber = contact.attempt.ringNumber;
        Span elapsed = wheel.now().since(contact.attempt.startedAt);
        contact.attempt.timeLimitTimer.cancel();
        inFlightById.remove(contact.id);
        closeSetUp(contact);
        establishedContacts.add(contact, wheel.now());
        counters.established++;
        boolean delivered = outbound.sendToCaller(
                contact.callerConnectionId,
                CallerMessages.established(inviteRequest, description.getBytes(StandardCharsets.UTF_8)));
        notifyController(controller -> controller.established(wheel.now(), contact.id, ringNumber, switchId, elapsed));
        if (!delivered) {
            callerConnectionEnded(contact.callerConnectionId);
        }
    }

    public void ended(long switchId, long switchConnectionId, String tag, int cause, String note, float[] report) {
        outbound.sendFinished(switchId, switchConnectionId, tag);
        TrackedContact contact = contactsByTag.get(tag);
        if (contact == null || !isAwaitingAnswerFrom(contact, switchId)) {
            return;
        }
        if (contact.attempt.isCancelled && !contact.isEstablished) {
            // It crossed the end that is on its way there, which counts; what it says of circuits is true all the same.
            if (report.length > 0) {
                loadReported(switchId, report);
            }
            return;
        }
        if (contact.isEstablished) {
            establishedContacts.releasedBySwitch(contact, cause, report);
        } else {
            EndCause endCause = EndCause.ofRingEnd(cause, note);
            rememberGroupSize(switchId, report);
            attemptEnded(
                    contact,
                    endCause.cause(),
                    endCause.rejectionReason(),
                    reportOrGroupState(contact, endCause, report));
        }
    }

    /** An answer counts for the attempt that is out; to one that was never written there is none. */
    private static boolean isAwaitingAnswerFrom(TrackedContact contact, long switchId) {
        return contact.attempt != null
                && contact.attempt.switchId == switchId
                && (contact.attempt.queuedStart == null
                        || contact.attempt.queuedStart.message().isWritten());
    }

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
     * A set-up that found too few circuits says so without a report: that few are free is a state of the group all
     * the same, and where the switch told none when they were taken, it is the only word of it.
     */
    private float[] reportOrGroupState(TrackedContact contact, EndCause endCause, float[] report) {
        boolean hasNoCircuit =
                endCause.cause() == RingEndCause.NOT_SENT && endCause.rejectionReason() == RejectionReason.NO_CIRCUIT;
        Integer groupSize = groupSizes.get(contact.attempt.switchId);
        return hasNoCircuit && report.length == 0 && groupSize != null
                ? new float[] {contact.setUpRequest.width() - 1, groupSize}
                : report;
    }

    /** A switch that has left the list for good; its number does not come again. */
    public void switchRemoved(long switchId) {
        groupSizes.remove(switchId);
    }

    /** A connection is over; the rings that went by it are given up, what stands is not touched. */
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

    /** The process behind a switch has ended: what stood there before a moment is over, and no release will come. */
    public void switchProcessEnded(long switchId, Moment establishedBefore) {
        establishedContacts.switchProcessEnded(switchId, establishedBefore);
    }

    // ---- ends

    private void closeSetUp(TrackedContact contact) {
        contact.isOpen = false;
        contact.answerDeadlineTimer.cancel();
        openContactsById.remove(contact.id);
        outbound.contactAnswered(contact.callerConnectionId, contact.tag);
        if (contact.attempt == null) {
            contactsByTag.remove(contact.tag);
        }
    }

    private void establishedContactEnded(TrackedContact contact, RingEndCause cause, float[] report) {
        contactsByTag.remove(contact.tag);
        TrackedContact.Attempt attempt = contact.attempt;
        if (attempt.ringNumber < 0) {
            // The module never knew it: the report still tells of circuits.
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
     * Gives an attempt up toward its switch. One whose write has not begun is taken back: it was never sent, and the
     * switch hears nothing of it. Of one that was, the end counts once it is written, as the release after it does.
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
        contact.attempt = null;
        if (!contact.isOpen) {
            contactsByTag.remove(contact.tag);
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

    private void answerDeadlineExpired(TrackedContact contact) {
        if (!contact.isOpen) {
            return;
        }
        outbound.log("last-word", "the module left a contact without an answer");
        outbound.sendToCaller(
                contact.callerConnectionId,
                CallerMessages.response(contact.setUpRequest.invite(), 500, "Server Internal Error"));
        callerGone(contact);
    }

    // ---- what the module orders

    @Override
    public void ring(long contactId, long switchId, Span limit) {
        TrackedContact contact = openContactsById.get(contactId);
        if (contact == null || contact.attempt != null) {
            outbound.log("fault", "an attempt for a contact that is over or has one out");
            return;
        }
        int ringNumber = contact.attemptCount++;
        counters.rings++;
        SetUpRequest request = contact.setUpRequest;
        Moment deadline = wheel.now().plus(limit);
        QueuedMessage queued = request.cancellation().isCancelled()
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
        TrackedContact.Attempt attempt = new TrackedContact.Attempt(ringNumber, switchId, queued, wheel.now());
        contact.attempt = attempt;
        inFlightById.put(contact.id, contact);
        attempt.timeLimitTimer = wheel.scheduleAt(deadline, () -> {
            if (contact.attempt == attempt) {
                cancelAttempt(contact, RingEndCause.TIMED_OUT);
            }
        });
        if (request.cancellation().isCancelled()) {
            pendingNotifications.add(controller -> callerLeft(contact));
        } else if (queued == null) {
            pendingNotifications.add(controller -> {
                if (contact.attempt == attempt) {
                    attemptEnded(contact, RingEndCause.UNREACHABLE, RejectionReason.NONE, NO_REPORT);
                }
            });
        }
    }

    /** An attempt's reason no longer held when its turn to be written came. */
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
        // Called within the module: how it ended is told after, when it is known whether the contact is over.
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
            outbound.sendToCaller(
                    contact.callerConnectionId, CallerMessages.deferred(contact.setUpRequest.invite(), retryDelay));
            closeSetUp(contact);
        }
    }

    @Override
    public void abandon(long contactId) {
        TrackedContact contact = openContactsById.get(contactId);
        if (contact != null) {
            counters.abandoned++;
            outbound.sendToCaller(
                    contact.callerConnectionId,
                    CallerMessages.response(contact.setUpRequest.invite(), 500, "Server Internal Error"));
            closeSetUp(contact);
        }
    }

    @Override
    public void startTimer(Span delay, long token) {
        wheel.scheduleAfter(delay, () -> notifyController(controller -> controller.timerExpired(wheel.now(), token)));
    }

    @Override
    public void probe(long switchId) {
        outbound.log("probe", "probes are not allowed on this platform");
    }

    @Override
    public void sendNote(int peer, byte[] note) {
        outbound.sendNote(peer, note);
    }

    @Override
    public void watchSwitchList(boolean enabled) {
        // The journal service tells unasked; there is nothing to subscribe to.
    }

    @Override
    public void log(String message) {
        outbound.log("module", message);
    }

    /** For checks: contacts that this desk still knows. */
    public Collection<String> knownTags() {
        return List.copyOf(contactsByTag.keySet());
    }
}
