package martenslip.exchange;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.Moment;
import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import martenslip.signaling.ReleaseCause;
import martenslip.signaling.SipLoadReport;
import martenslip.sip.dialog.CallEndReason;
import martenslip.sip.dialog.DialogLayer;
import martenslip.sip.dialog.UacCall;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.RequestFailure;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transport.Hop;
import martenslip.tracking.AnswerDeadline;
import martenslip.tracking.ContactRegistry;

/**
 * The contacts of one lane with their caller legs and rings. Carries out the commands of the decider and reports the
 * results. Whatever the decider orders, it enforces two rules: one final answer for each contact, and no second ring
 * while one is in flight. The handover record of a contact is written before each step that leaves the process.
 */
final class Contacts {
    private final ExchangeConfiguration configuration;
    private final DialogLayer dialogLayer;
    private final int laneNumber;
    private final HandoverStore handoverStore;
    private final LaneReports reports;
    private final BooleanSupplier isFenced;
    private final InviteReader inviteReader;
    private final RingInviteBuilder ringInviteBuilder;
    private final EventLog log;
    private final ExchangeStatistics statistics;
    private final Map<Long, AcceptedContact> openContacts = new LinkedHashMap<>();
    private int unansweredCount;
    private boolean refusingNewContacts;

    Contacts(
            ExchangeConfiguration configuration,
            DialogLayer dialogLayer,
            int laneNumber,
            HandoverStore handoverStore,
            LaneReports reports,
            BooleanSupplier isFenced,
            EventLog log,
            ExchangeStatistics statistics) {
        this.configuration = configuration;
        this.dialogLayer = dialogLayer;
        this.laneNumber = laneNumber;
        this.handoverStore = handoverStore;
        this.reports = reports;
        this.isFenced = isFenced;
        this.log = log;
        this.statistics = statistics;
        inviteReader = new InviteReader(configuration);
        ringInviteBuilder = new RingInviteBuilder(configuration, dialogLayer);
    }

    /** Number of contacts without a final answer. */
    int unansweredCount() {
        return unansweredCount;
    }

    /** Number of contacts that have no final answer yet or are established. */
    int openCount() {
        return openContacts.size();
    }

    /** Refuses all new contacts from now on. */
    void refuseNewContacts() {
        refusingNewContacts = true;
    }

    private Moment now() {
        return dialogLayer.timerWheel().now();
    }

    void inviteReceived(UasCall call) {
        if (refusingNewContacts
                || openContacts.size()
                        >= Math.max(
                                1,
                                configuration.limits().maxOpenContacts()
                                        / configuration.limits().lanes())) {
            refuseBeforeOffer(call, refusingNewContacts ? "Closing" : "Too many contacts");
            return;
        }
        InviteReader.Result result = inviteReader.read(call, now(), handoverStore::nextContactId);
        if (result.contact() == null) {
            statistics.refusedBeforeOffer++;
            log.info(now(), "not-a-contact", "status", result.status(), "reason", result.reason());
            call.setListener(IGNORE_CALLER_EVENTS);
            call.refuse(call.response(result.status(), result.reason()));
            return;
        }
        AcceptedContact acceptedContact = new AcceptedContact(result.contact(), call, result.calledNumber(), now());
        saveHandoverRecord(acceptedContact);
        if (!reports.contactOffered(acceptedContact.contact, laneNumber)) {
            removeHandoverRecord(acceptedContact);
            refuseBeforeOffer(call, "Too much to decide");
            return;
        }
        addOpenContact(acceptedContact);
        unansweredCount++;
        statistics.accepted++;
        call.setListener(new CallerListener(acceptedContact));
    }

    private void refuseBeforeOffer(UasCall call, String reason) {
        statistics.refusedBeforeOffer++;
        log.warn(now(), "refused-unseen", "why", reason, "open", openContacts.size());
        call.setListener(IGNORE_CALLER_EVENTS);
        call.refuse(serviceUnavailable(call, reason, ReleaseCause.TEMPORARY_FAILURE));
    }

    private void addOpenContact(AcceptedContact acceptedContact) {
        openContacts.put(acceptedContact.contact.id(), acceptedContact);
        if (!acceptedContact.answered) {
            acceptedContact.answerDeadlineTimer = dialogLayer
                    .timerWheel()
                    .scheduleAt(
                            AnswerDeadline.forContact(acceptedContact.acceptedAt, acceptedContact.contact.patience()),
                            () -> answerDeadlineExpired(acceptedContact));
        }
    }

    /** The decider ordered no final answer in time, so the lane abandons the contact itself. */
    private void answerDeadlineExpired(AcceptedContact acceptedContact) {
        if (acceptedContact.answered) {
            return;
        }
        log.warn(now(), "last-word", "contact", acceptedContact.contact.id());
        abandon(acceptedContact.contact.id());
        Ring ring = acceptedContact.liveRing();
        if (ring != null) {
            cancelRing(
                    acceptedContact,
                    ring,
                    new ReleaseCause(ReleaseCause.TIMER_EXPIRY, "").toString(),
                    RingEndCause.TIMED_OUT);
        }
        reports.callerGone(acceptedContact.contact.id());
    }

    /** Writes the current state of the contact for a successor thread. */
    void saveHandoverRecord(AcceptedContact acceptedContact) {
        // The handover records of a replaced thread belong to its successor.
        if (!isFenced.getAsBoolean()) {
            handoverStore.put(acceptedContact.toHandoverRecord());
        }
    }

    private void removeHandoverRecord(AcceptedContact acceptedContact) {
        if (!isFenced.getAsBoolean()) {
            handoverStore.remove(acceptedContact.contact.id());
        }
    }

    private static final UasCall.Listener IGNORE_CALLER_EVENTS = new UasCall.Listener() {
        @Override
        public void cancelled() {
            // The call was refused already.
        }

        @Override
        public void ended(CallEndReason endReason, Request bye) {
            // The call was never established.
        }
    };

    /** Sends a ring, or reports it as not sent if a rule or a limit forbids it. */
    void ring(long contactId, LaneCommands.RingCommand command) {
        AcceptedContact acceptedContact = openContacts.get(contactId);
        if (acceptedContact == null || command.ringNumber() < acceptedContact.ringCount) {
            // The contact has ended, or the ring was sent by the replaced thread.
            log.info(now(), "ring-not-wanted", "contact", contactId, "ring", command.ringNumber());
            return;
        }
        int farExchange = command.listedSwitch() == null
                ? -1
                : command.listedSwitch().entry().number();
        Ring ring =
                new Ring(command.ringNumber(), command.target(), farExchange, now(), now().plus(command.timeLimit()));
        boolean allowed = command.listedSwitch() != null
                && acceptedContact.liveRing() == null
                && !acceptedContact.answered
                && command.timeLimit().longerThan(Span.ZERO)
                && isReleaseTimeOver(acceptedContact)
                && command.ringNumber() < configuration.limits().maxRings();
        acceptedContact.ringCount = command.ringNumber() + 1;
        if (!allowed) {
            reportRingEnd(acceptedContact, ring, RingOutcome.of(RingEndCause.NOT_SENT), SipLoadReport.NONE);
            return;
        }
        acceptedContact.lastRing = ring;
        statistics.ringsSent++;
        Request invite =
                ringInviteBuilder.build(acceptedContact, command.listedSwitch(), command.group(), command.timeLimit());
        startRingTimers(acceptedContact, ring);
        ring.call =
                dialogLayer.startCall(invite, command.listedSwitch().hop(), new RingListener(acceptedContact, ring));
    }

    /**
     * True once the release time after a delayed CANCEL is over. The release time (rule 5 of {@link
     * martenslip.control}) also counts from such a CANCEL, which the controller does not know of; in all other cases
     * the controller keeps this rule.
     */
    private boolean isReleaseTimeOver(AcceptedContact acceptedContact) {
        return acceptedContact.delayedCancelSentAt == null
                || !now().before(acceptedContact.delayedCancelSentAt.plus(
                        configuration.rules().releaseTime()));
    }

    /** Starts the timers of a ring in flight. */
    void startRingTimers(AcceptedContact acceptedContact, Ring ring) {
        ring.timeLimitTimer =
                dialogLayer.timerWheel().scheduleAt(ring.expiresAt, () -> timeOutRing(acceptedContact, ring));
        ring.silenceTimer = dialogLayer
                .timerWheel()
                .scheduleAt(
                        ring.startedAt.plus(configuration.limits().silenceTimeout()),
                        () -> silenceTimeoutExpired(acceptedContact, ring));
    }

    private void timeOutRing(AcceptedContact acceptedContact, Ring ring) {
        if (!ring.established && !ring.endReported) {
            cancelRing(
                    acceptedContact,
                    ring,
                    new ReleaseCause(ReleaseCause.TIMER_EXPIRY, "").toString(),
                    RingEndCause.TIMED_OUT);
        }
    }

    /**
     * Ends the ring if it got no response at all. The INVITE may have arrived nevertheless, so the ring counts as one
     * that may hold circuits.
     */
    private void silenceTimeoutExpired(AcceptedContact acceptedContact, Ring ring) {
        if (!ring.call.hasResponse()) {
            timeOutRing(acceptedContact, ring);
        }
    }

    private void cancelRing(AcceptedContact acceptedContact, Ring ring, String reason, RingEndCause cause) {
        ring.call.cancel(reason);
        endRing(acceptedContact, ring, RingOutcome.of(cause), SipLoadReport.NONE);
    }

    /** Cancels the ring if it is still in flight. */
    void cancel(long contactId, int ringNumber) {
        AcceptedContact acceptedContact = openContacts.get(contactId);
        Ring ring = acceptedContact == null ? null : acceptedContact.ringWithNumber(ringNumber);
        if (ring != null && !ring.endReported && !ring.established && ring.call != null) {
            cancelRing(acceptedContact, ring, "SIP;cause=487;text=\"Called off\"", RingEndCause.CALLED_OFF);
        }
    }

    /** Sends 503 with the cause that the last ring was refused for, and Retry-After in whole seconds. */
    void defer(long contactId, Span retryAfter) {
        AcceptedContact acceptedContact = openContacts.get(contactId);
        if (acceptedContact == null || acceptedContact.answered) {
            return;
        }
        statistics.deferred++;
        int cause = acceptedContact.lastRejectionReason == RejectionReason.PROCESSOR
                ? ReleaseCause.CONGESTION
                : ReleaseCause.NO_CIRCUIT;
        Response response = serviceUnavailable(acceptedContact.caller, "Deferred", cause);
        if (acceptedContact.contact.inTransit()) {
            String location =
                    cause == ReleaseCause.CONGESTION ? ReleaseCause.REMOTE_LOCAL_NETWORK : ReleaseCause.TRANSIT_NETWORK;
            response.headers().set("Reason", new ReleaseCause(cause, location));
        }
        if (retryAfter.longerThan(Span.ZERO)) {
            response.headers().add("Retry-After", Math.max(1, Math.round(retryAfter.ns() / 1e9)));
        }
        sendRefusal(acceptedContact, response);
    }

    /** Sends 504 with the Q.850 cause of an expired timer. */
    void abandon(long contactId) {
        AcceptedContact acceptedContact = openContacts.get(contactId);
        if (acceptedContact == null || acceptedContact.answered) {
            return;
        }
        statistics.abandoned++;
        Response response = acceptedContact.caller.response(504, "Abandoned");
        String location = acceptedContact.contact.inTransit() ? ReleaseCause.TRANSIT_NETWORK : "";
        response.headers().add("Reason", new ReleaseCause(ReleaseCause.TIMER_EXPIRY, location));
        sendRefusal(acceptedContact, response);
    }

    private static Response serviceUnavailable(UasCall call, String reason, int cause) {
        Response response = call.response(503, reason);
        response.headers().add("Reason", new ReleaseCause(cause, ""));
        return response;
    }

    private void sendRefusal(AcceptedContact acceptedContact, Response response) {
        recordFinalAnswer(acceptedContact, response);
        acceptedContact.caller.refuse(response);
        acceptedContact.answerSent = true;
        saveHandoverRecord(acceptedContact);
        removeIfEnded(acceptedContact);
    }

    /** Records the final answer; called before it is sent. */
    private void recordFinalAnswer(AcceptedContact acceptedContact, Response response) {
        acceptedContact.answered = true;
        acceptedContact.answer = response.copy();
        saveHandoverRecord(acceptedContact);
        unansweredCount--;
        if (acceptedContact.answerDeadlineTimer != null) {
            acceptedContact.answerDeadlineTimer.cancel();
        }
        statistics.recordAnswer(now().since(acceptedContact.acceptedAt));
    }

    /** Removes the contact once it is answered and no ring is in flight or established. */
    private void removeIfEnded(AcceptedContact acceptedContact) {
        if (acceptedContact.answered && acceptedContact.liveRing() == null) {
            openContacts.remove(acceptedContact.contact.id());
            if (acceptedContact.inviteTransactionEnded) {
                // A successor may still have to send the BYE that ended the contact.
                dialogLayer
                        .timerWheel()
                        .scheduleCoarse(
                                TransactionTimers.DELAYED_TRYING.transactionTimeout(),
                                () -> removeHandoverRecord(acceptedContact));
            }
        }
    }

    /** Records and reports the outcome of a ring; calls after the first do nothing. */
    private void endRing(AcceptedContact acceptedContact, Ring ring, RingOutcome outcome, SipLoadReport loadReport) {
        if (ring.endReported) {
            return;
        }
        ring.endReported = true;
        ring.stopTimers();
        acceptedContact.lastRejectionReason = outcome.rejectionReason();
        acceptedContact.lastHeldRingEndedAt =
                ContactRegistry.mayHoldCircuits(outcome.cause()) ? now() : acceptedContact.lastHeldRingEndedAt;
        saveHandoverRecord(acceptedContact);
        reportRingEnd(acceptedContact, ring, outcome, loadReport);
        removeIfEnded(acceptedContact);
    }

    private void reportRingEnd(
            AcceptedContact acceptedContact, Ring ring, RingOutcome outcome, SipLoadReport loadReport) {
        log.debug(
                now(),
                "ring-ended",
                "contact",
                acceptedContact.contact.id(),
                "ring",
                ring.number,
                "far",
                ring.farExchange,
                "cause",
                outcome.cause(),
                "blame",
                outcome.rejectionReason());
        reports.ringEnded(new LaneReports.RingResult(
                acceptedContact.contact.id(),
                ring.number,
                ring.target,
                ring.farExchange,
                acceptedContact.contact.width(),
                outcome,
                now().since(ring.startedAt),
                acceptedContact.answered,
                loadReport));
    }

    /** Handles the events of the caller leg. */
    private final class CallerListener implements UasCall.Listener {
        private final AcceptedContact acceptedContact;

        CallerListener(AcceptedContact acceptedContact) {
            this.acceptedContact = acceptedContact;
        }

        @Override
        public void beforeFinalResponse(Response response) {
            if (!acceptedContact.answered) {
                recordFinalAnswer(acceptedContact, response);
            }
        }

        @Override
        public void cancelled() {
            statistics.callerGone++;
            acceptedContact.answerSent = true;
            saveHandoverRecord(acceptedContact);
            reports.callerGone(acceptedContact.contact.id());
            // The controller cancels a ring in flight; without one the contact has ended.
            removeIfEnded(acceptedContact);
        }

        @Override
        public void confirmed() {
            acceptedContact.answerAcknowledged = true;
            saveHandoverRecord(acceptedContact);
        }

        @Override
        public void ended(CallEndReason endReason, Request bye) {
            Ring ring = acceptedContact.liveRing();
            if (ring != null) {
                RingOutcome outcome = RingOutcome.ofCallEnd(bye, RingEndCause.CALLED_OFF);
                acceptedContact.pendingBye = HandoverRecord.PendingBye.RING;
                saveHandoverRecord(acceptedContact);
                ring.call.bye(reasonForOtherLeg(bye, outcome));
                endRing(acceptedContact, ring, outcome, SipLoadReport.NONE);
            }
        }

        @Override
        public void transactionEnded() {
            acceptedContact.inviteTransactionEnded = true;
            if (!openContacts.containsKey(acceptedContact.contact.id())) {
                removeHandoverRecord(acceptedContact);
            }
        }
    }

    /**
     * The Reason value for the BYE of the other leg, or null: that of the received BYE, else out of order after a lost
     * leg.
     */
    private static String reasonForOtherLeg(Request bye, RingOutcome outcome) {
        ReleaseCause releaseCause = bye == null ? null : ReleaseCause.of(bye);
        if (releaseCause != null) {
            return releaseCause.toString();
        }
        return outcome.cause() == RingEndCause.CUT ? new ReleaseCause(ReleaseCause.OUT_OF_ORDER, "").toString() : null;
    }

    /** Handles the events of a ring. */
    private final class RingListener implements UacCall.Listener {
        private final AcceptedContact acceptedContact;
        private final Ring ring;

        RingListener(AcceptedContact acceptedContact, Ring ring) {
            this.acceptedContact = acceptedContact;
            this.ring = ring;
        }

        @Override
        public void beforeSend(Request invite, Hop hop) {
            ring.invite = invite.copy();
            ring.hop = hop;
            saveHandoverRecord(acceptedContact);
        }

        @Override
        public void progress(Response response) {
            if (!ring.firstResponseReported && !ring.endReported) {
                ring.firstResponseReported = true;
                reports.firstResponseReceived(acceptedContact.contact.id(), ring.number, ring.farExchange);
            }
            if (response.status() > 100 && !ring.endReported) {
                acceptedContact.caller.progress(ringInviteBuilder.toCallerResponse(acceptedContact, response));
            }
        }

        @Override
        public void established(Response response) {
            ring.stopTimers();
            if (acceptedContact.answered || !acceptedContact.caller.isPending()) {
                ring.call.bye(null);
                endRing(acceptedContact, ring, RingOutcome.of(RingEndCause.CALLED_OFF), SipLoadReport.of(response));
                return;
            }
            ring.established = true;
            ring.successResponse = response;
            Response callerResponse = ringInviteBuilder.toCallerResponse(acceptedContact, response);
            recordFinalAnswer(acceptedContact, callerResponse);
            statistics.recordEstablished(now().since(acceptedContact.acceptedAt));
            acceptedContact.caller.accept(callerResponse);
            reports.established(
                    acceptedContact.contact.id(),
                    ring.number,
                    ring.target,
                    now().since(ring.startedAt),
                    SipLoadReport.of(response));
        }

        @Override
        public void delayedCancelSent() {
            if (openContacts.containsKey(acceptedContact.contact.id())) {
                acceptedContact.delayedCancelSentAt = now();
                acceptedContact.lastHeldRingEndedAt = now();
                saveHandoverRecord(acceptedContact);
            }
        }

        @Override
        public void refused(Response response) {
            endRing(acceptedContact, ring, RingOutcome.of(response), SipLoadReport.of(response));
        }

        @Override
        public void failed(RequestFailure failure) {
            endRing(acceptedContact, ring, RingOutcome.of(failure), SipLoadReport.NONE);
        }

        @Override
        public void ended(CallEndReason endReason, Request bye) {
            RingOutcome outcome = RingOutcome.ofCallEnd(bye, RingEndCause.CONCLUDED);
            acceptedContact.pendingBye = HandoverRecord.PendingBye.CALLER;
            saveHandoverRecord(acceptedContact);
            acceptedContact.caller.bye(reasonForOtherLeg(bye, outcome));
            endRing(acceptedContact, ring, outcome, SipLoadReport.NONE);
        }
    }

    /** Reports all open contacts of this lane to the decider. */
    void reportOpenContacts() {
        List<ContactRegistry.LaneContact> laneContacts = openContacts.values().stream()
                .map(acceptedContact -> acceptedContact.toHandoverRecord().toLaneContact())
                .toList();
        reports.openContactsReported(laneNumber, laneContacts);
    }

    /** Adds a contact of the replaced thread, with those of its legs that were restored. */
    void addTakenOverContact(AcceptedContact acceptedContact) {
        unansweredCount += acceptedContact.answered ? 0 : 1;
        if (!acceptedContact.answered || acceptedContact.liveRing() != null) {
            addOpenContact(acceptedContact);
        }
    }

    UasCall.Listener callerListener(AcceptedContact acceptedContact) {
        return new CallerListener(acceptedContact);
    }

    UacCall.Listener ringListener(AcceptedContact acceptedContact, Ring ring) {
        return new RingListener(acceptedContact, ring);
    }
}
