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
 * Contacts of one lane, with their callers' legs and rings: carries out what the decider orders and tells it what
 * became of them. It holds the two rules that a program can hold against its own faults: one final answer, and no
 * second ring beside one that is out. Each contact's will is written before a step leaves.
 */
final class Contacts {
    private final ExchangeConfiguration site;
    private final DialogLayer calls;
    private final int lane;
    private final HandoverStore estate;
    private final LaneReports reports;
    private final BooleanSupplier fenced;
    private final InviteReader incoming;
    private final RingInviteBuilder invites;
    private final EventLog log;
    private final ExchangeStatistics figures;
    private final Map<Long, AcceptedContact> open = new LinkedHashMap<>();
    private int unanswered;
    private boolean closing;

    Contacts(
            ExchangeConfiguration site,
            DialogLayer calls,
            int lane,
            HandoverStore estate,
            LaneReports reports,
            BooleanSupplier fenced,
            EventLog log,
            ExchangeStatistics figures) {
        this.site = site;
        this.calls = calls;
        this.lane = lane;
        this.estate = estate;
        this.reports = reports;
        this.fenced = fenced;
        this.log = log;
        this.figures = figures;
        incoming = new InviteReader(site);
        invites = new RingInviteBuilder(site, calls);
    }

    /** Contacts that are owed a final answer. */
    int unanswered() {
        return unanswered;
    }

    int open() {
        return open.size();
    }

    /** From now on new contacts are refused. */
    void close() {
        closing = true;
    }

    private Moment now() {
        return calls.timerWheel().now();
    }

    void incoming(UasCall call) {
        if (closing
                || open.size()
                        >= Math.max(
                                1,
                                site.limits().maxOpenContacts() / site.limits().lanes())) {
            unseen(call, closing ? "Closing" : "Too many contacts");
            return;
        }
        InviteReader.Result read = incoming.read(call, estate::nextId);
        if (read.contact() == null) {
            figures.refusedUnseen++;
            log.info(now(), "not-a-contact", "status", read.status(), "reason", read.reason());
            call.setListener(DEAF);
            call.refuse(call.response(read.status(), read.reason()));
            return;
        }
        AcceptedContact taken = new AcceptedContact(read.contact(), call, read.number(), now());
        keep(taken);
        if (!reports.offered(taken.contact, lane)) {
            drop(taken);
            unseen(call, "Too much to decide");
            return;
        }
        enter(taken);
        unanswered++;
        figures.taken++;
        call.setListener(new CallerListener(taken));
    }

    private void unseen(UasCall call, String why) {
        figures.refusedUnseen++;
        log.warn(now(), "refused-unseen", "why", why, "open", open.size());
        call.setListener(DEAF);
        call.refuse(unavailable(call, why, ReleaseCause.TEMPORARY_FAILURE));
    }

    private void enter(AcceptedContact taken) {
        open.put(taken.contact.id(), taken);
        if (!taken.answered) {
            taken.lastWord = calls.timerWheel()
                    .scheduleAt(AnswerDeadline.forContact(taken.at, taken.contact.patience()), () -> lastWord(taken));
        }
    }

    /** The decider has not spoken in time. */
    private void lastWord(AcceptedContact taken) {
        if (taken.answered) {
            return;
        }
        log.warn(now(), "last-word", "contact", taken.contact.id());
        abandon(taken.contact.id());
        Ring ring = taken.live();
        if (ring != null) {
            takeBack(taken, ring, new ReleaseCause(ReleaseCause.TIMER_EXPIRY, "").toString(), RingEndCause.TIMED_OUT);
        }
        reports.gone(taken.contact.id());
    }

    void keep(AcceptedContact taken) {
        // A thread that was replaced has nothing more to leave to anybody.
        if (!fenced.getAsBoolean()) {
            estate.put(taken.will());
        }
    }

    private void drop(AcceptedContact taken) {
        if (!fenced.getAsBoolean()) {
            estate.remove(taken.contact.id());
        }
    }

    private static final UasCall.Listener DEAF = new UasCall.Listener() {
        @Override
        public void cancelled() {
            // Refused already.
        }

        @Override
        public void ended(CallEndReason why, Request bye) {
            // Never stood.
        }
    };

    void ring(long contact, LaneCommands.RingCommand send) {
        AcceptedContact taken = open.get(contact);
        if (taken == null || send.number() < taken.rings) {
            // Over, or carried out by the thread before this one.
            log.info(now(), "ring-not-wanted", "contact", contact, "ring", send.number());
            return;
        }
        int far = send.to() == null ? -1 : send.to().entry().number();
        Ring ring = new Ring(send.number(), send.target(), far, now(), now().plus(send.limit()));
        boolean may = send.to() != null
                && taken.live() == null
                && !taken.answered
                && send.limit().longerThan(Span.ZERO)
                && released(taken)
                && send.number() < site.limits().maxRings();
        taken.rings = send.number() + 1;
        if (!may) {
            over(taken, ring, RingOutcome.of(RingEndCause.NOT_SENT), SipLoadReport.NONE);
            return;
        }
        taken.ring = ring;
        figures.rings++;
        Request invite = invites.build(taken, send.to(), send.group(), send.limit());
        watch(taken, ring);
        ring.call = calls.startCall(invite, send.to().hop(), new RingListener(taken, ring));
    }

    /** Rule 5 counts from a CANCEL that left late too, of which the module knows nothing; the rest of it is its own. */
    private boolean released(AcceptedContact taken) {
        return taken.cancelledLate == null
                || !now().before(taken.cancelledLate.plus(site.rules().releaseTime()));
    }

    /** Sets the timers of a ring that is out. */
    void watch(AcceptedContact taken, Ring ring) {
        ring.limit = calls.timerWheel().scheduleAt(ring.until, () -> gaveUp(taken, ring));
        ring.silence =
                calls.timerWheel().scheduleAt(ring.at.plus(site.limits().silenceTimeout()), () -> silent(taken, ring));
    }

    private void gaveUp(AcceptedContact taken, Ring ring) {
        if (!ring.stood && !ring.told) {
            takeBack(taken, ring, new ReleaseCause(ReleaseCause.TIMER_EXPIRY, "").toString(), RingEndCause.TIMED_OUT);
        }
    }

    /** Nothing was heard. It may have arrived all the same, so it counts as a ring that may hold something. */
    private void silent(AcceptedContact taken, Ring ring) {
        if (!ring.call.hasResponse()) {
            gaveUp(taken, ring);
        }
    }

    private void takeBack(AcceptedContact taken, Ring ring, String reason, RingEndCause cause) {
        ring.call.cancel(reason);
        end(taken, ring, RingOutcome.of(cause), SipLoadReport.NONE);
    }

    void callOff(long contact, int number) {
        AcceptedContact taken = open.get(contact);
        Ring ring = taken == null ? null : taken.ring(number);
        if (ring != null && !ring.told && !ring.stood && ring.call != null) {
            takeBack(taken, ring, "SIP;cause=487;text=\"Called off\"", RingEndCause.CALLED_OFF);
        }
    }

    void defer(long contact, Span comeBack) {
        AcceptedContact taken = open.get(contact);
        if (taken == null || taken.answered) {
            return;
        }
        figures.deferred++;
        int cause = taken.last == RejectionReason.PROCESSOR ? ReleaseCause.CONGESTION : ReleaseCause.NO_CIRCUIT;
        Response response = unavailable(taken.caller, "Deferred", cause);
        if (taken.contact.inTransit()) {
            String place =
                    cause == ReleaseCause.CONGESTION ? ReleaseCause.REMOTE_LOCAL_NETWORK : ReleaseCause.TRANSIT_NETWORK;
            response.headers().set("Reason", new ReleaseCause(cause, place));
        }
        if (comeBack.longerThan(Span.ZERO)) {
            response.headers().add("Retry-After", Math.max(1, Math.round(comeBack.ns() / 1e9)));
        }
        refuse(taken, response);
    }

    void abandon(long contact) {
        AcceptedContact taken = open.get(contact);
        if (taken == null || taken.answered) {
            return;
        }
        figures.abandoned++;
        Response response = taken.caller.response(504, "Abandoned");
        String place = taken.contact.inTransit() ? ReleaseCause.TRANSIT_NETWORK : "";
        response.headers().add("Reason", new ReleaseCause(ReleaseCause.TIMER_EXPIRY, place));
        refuse(taken, response);
    }

    private static Response unavailable(UasCall call, String reason, int cause) {
        Response response = call.response(503, reason);
        response.headers().add("Reason", new ReleaseCause(cause, ""));
        return response;
    }

    private void refuse(AcceptedContact taken, Response response) {
        closed(taken, response);
        taken.caller.refuse(response);
        taken.sent = true;
        keep(taken);
        forget(taken);
    }

    /** Before the final answer leaves. */
    private void closed(AcceptedContact taken, Response response) {
        taken.answered = true;
        taken.answer = response.copy();
        keep(taken);
        unanswered--;
        if (taken.lastWord != null) {
            taken.lastWord.cancel();
        }
        figures.answered(now().since(taken.at));
    }

    private void forget(AcceptedContact taken) {
        if (taken.answered && taken.live() == null) {
            open.remove(taken.contact.id());
            if (taken.forgotten) {
                // The BYE that ended it may yet have to be sent by a successor.
                calls.timerWheel()
                        .scheduleCoarse(TransactionTimers.DELAYED_TRYING.transactionTimeout(), () -> drop(taken));
            }
        }
    }

    /** Tells the decider once of the ring's outcome. */
    private void end(AcceptedContact taken, Ring ring, RingOutcome outcome, SipLoadReport load) {
        if (ring.told) {
            return;
        }
        ring.told = true;
        ring.stopTimers();
        taken.last = outcome.blame();
        taken.heldUntil = ContactRegistry.mayHoldCircuits(outcome.cause()) ? now() : taken.heldUntil;
        keep(taken);
        over(taken, ring, outcome, load);
        forget(taken);
    }

    private void over(AcceptedContact taken, Ring ring, RingOutcome outcome, SipLoadReport load) {
        log.debug(
                now(),
                "ring-ended",
                "contact",
                taken.contact.id(),
                "ring",
                ring.number,
                "far",
                ring.far,
                "cause",
                outcome.cause(),
                "blame",
                outcome.blame());
        reports.ringOver(new LaneReports.RingResult(
                taken.contact.id(),
                ring.number,
                ring.target,
                ring.far,
                taken.contact.width(),
                outcome,
                now().since(ring.at),
                taken.answered,
                load));
    }

    /** The caller's side. */
    private final class CallerListener implements UasCall.Listener {
        private final AcceptedContact taken;

        CallerListener(AcceptedContact taken) {
            this.taken = taken;
        }

        @Override
        public void beforeFinalResponse(Response last) {
            if (!taken.answered) {
                closed(taken, last);
            }
        }

        @Override
        public void cancelled() {
            figures.callerGone++;
            taken.sent = true;
            keep(taken);
            reports.gone(taken.contact.id());
            // A ring that is out is called off by the module; without one nothing is left to wait for.
            forget(taken);
        }

        @Override
        public void confirmed() {
            taken.confirmed = true;
            keep(taken);
        }

        @Override
        public void ended(CallEndReason why, Request bye) {
            Ring ring = taken.live();
            if (ring != null) {
                RingOutcome outcome = RingOutcome.ofEnd(bye, RingEndCause.CALLED_OFF);
                taken.bye = HandoverRecord.PendingBye.RING;
                keep(taken);
                ring.call.bye(passedOn(bye, outcome));
                end(taken, ring, outcome, SipLoadReport.NONE);
            }
        }

        @Override
        public void transactionEnded() {
            taken.forgotten = true;
            if (!open.containsKey(taken.contact.id())) {
                drop(taken);
            }
        }
    }

    private static String passedOn(Request bye, RingOutcome outcome) {
        ReleaseCause release = bye == null ? null : ReleaseCause.of(bye);
        if (release != null) {
            return release.toString();
        }
        return outcome.cause() == RingEndCause.CUT ? new ReleaseCause(ReleaseCause.OUT_OF_ORDER, "").toString() : null;
    }

    /** What a ring brings. */
    private final class RingListener implements UacCall.Listener {
        private final AcceptedContact taken;
        private final Ring ring;

        RingListener(AcceptedContact taken, Ring ring) {
            this.taken = taken;
            this.ring = ring;
        }

        @Override
        public void beforeSend(Request invite, Hop to) {
            ring.invite = invite.copy();
            ring.hop = to;
            keep(taken);
        }

        @Override
        public void progress(Response response) {
            if (!ring.heard && !ring.told) {
                ring.heard = true;
                reports.heard(taken.contact.id(), ring.number, ring.far);
            }
            if (response.status() > 100 && !ring.told) {
                taken.caller.progress(invites.passedOn(taken, response));
            }
        }

        @Override
        public void established(Response response) {
            ring.stopTimers();
            if (taken.answered || !taken.caller.isPending()) {
                ring.call.bye(null);
                end(taken, ring, RingOutcome.of(RingEndCause.CALLED_OFF), SipLoadReport.of(response));
                return;
            }
            ring.stood = true;
            ring.okay = response;
            Response passed = invites.passedOn(taken, response);
            closed(taken, passed);
            figures.stood(now().since(taken.at));
            taken.caller.accept(passed);
            reports.stood(
                    taken.contact.id(), ring.number, ring.target, now().since(ring.at), SipLoadReport.of(response));
        }

        @Override
        public void delayedCancelSent() {
            if (open.containsKey(taken.contact.id())) {
                taken.cancelledLate = now();
                taken.heldUntil = now();
                keep(taken);
            }
        }

        @Override
        public void refused(Response response) {
            end(taken, ring, RingOutcome.of(response), SipLoadReport.of(response));
        }

        @Override
        public void failed(RequestFailure why) {
            end(taken, ring, RingOutcome.of(why), SipLoadReport.NONE);
        }

        @Override
        public void ended(CallEndReason why, Request bye) {
            RingOutcome outcome = RingOutcome.ofEnd(bye, RingEndCause.CONCLUDED);
            taken.bye = HandoverRecord.PendingBye.CALLER;
            keep(taken);
            taken.caller.bye(passedOn(bye, outcome));
            end(taken, ring, outcome, SipLoadReport.NONE);
        }
    }

    /** Tells the decider of all that is open here. */
    void tellHeld() {
        List<ContactRegistry.LaneContact> held =
                open.values().stream().map(taken -> taken.will().held()).toList();
        reports.inherited(lane, held);
    }

    /** A contact of the thread before this one, with its legs as far as they are there again. */
    void takenOver(AcceptedContact taken) {
        unanswered += taken.answered ? 0 : 1;
        if (!taken.answered || taken.live() != null) {
            enter(taken);
        }
    }

    UasCall.Listener callerOf(AcceptedContact taken) {
        return new CallerListener(taken);
    }

    UacCall.Listener answersTo(AcceptedContact taken, Ring ring) {
        return new RingListener(taken, ring);
    }
}
