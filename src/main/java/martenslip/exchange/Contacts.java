package martenslip.exchange;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import martenslip.control.Blame;
import martenslip.control.Cause;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.provision.Site;
import martenslip.roll.LastWord;
import martenslip.roll.Roll;
import martenslip.signal.Load;
import martenslip.signal.Release;
import martenslip.sip.dialog.CallIn;
import martenslip.sip.dialog.CallOut;
import martenslip.sip.dialog.Calls;
import martenslip.sip.dialog.Ending;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.Failure;
import martenslip.sip.transaction.Timers;
import martenslip.sip.transport.Hop;

/**
 * Contacts of one lane, with their callers' legs and rings: carries out what the decider orders and tells it what
 * became of them. It holds the two rules that a program can hold against its own faults: one final answer, and no
 * second ring beside one that is out. Each contact's will is written before a step leaves.
 */
final class Contacts {
    private final Site site;
    private final Calls calls;
    private final int lane;
    private final Estate estate;
    private final Reports reports;
    private final BooleanSupplier fenced;
    private final Incoming incoming;
    private final RingInvite invites;
    private final EventLog log;
    private final Figures figures;
    private final Map<Long, Taken> open = new LinkedHashMap<>();
    private int unanswered;
    private boolean closing;

    Contacts(
            Site site,
            Calls calls,
            int lane,
            Estate estate,
            Reports reports,
            BooleanSupplier fenced,
            EventLog log,
            Figures figures) {
        this.site = site;
        this.calls = calls;
        this.lane = lane;
        this.estate = estate;
        this.reports = reports;
        this.fenced = fenced;
        this.log = log;
        this.figures = figures;
        incoming = new Incoming(site);
        invites = new RingInvite(site, calls);
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
        return calls.wheel().now();
    }

    void incoming(CallIn call) {
        if (closing
                || open.size()
                        >= Math.max(1, site.limits().mostOpen() / site.limits().lanes())) {
            unseen(call, closing ? "Closing" : "Too many contacts");
            return;
        }
        Incoming.Read read = incoming.read(call, estate::nextId);
        if (read.contact() == null) {
            figures.refusedUnseen++;
            log.info(now(), "not-a-contact", "status", read.status(), "reason", read.reason());
            call.listen(DEAF);
            call.refuse(call.response(read.status(), read.reason()));
            return;
        }
        Taken taken = new Taken(read.contact(), call, read.number(), now());
        keep(taken);
        if (!reports.offered(taken.contact, lane)) {
            drop(taken);
            unseen(call, "Too much to decide");
            return;
        }
        enter(taken);
        unanswered++;
        figures.taken++;
        call.listen(new Caller(taken));
    }

    private void unseen(CallIn call, String why) {
        figures.refusedUnseen++;
        log.warn(now(), "refused-unseen", "why", why, "open", open.size());
        call.listen(DEAF);
        call.refuse(unavailable(call, why, Release.TEMPORARY));
    }

    private void enter(Taken taken) {
        open.put(taken.contact.id(), taken);
        if (!taken.answered) {
            taken.lastWord = calls.wheel().at(LastWord.of(taken.at, taken.contact.patience()), () -> lastWord(taken));
        }
    }

    /** The decider has not spoken in time. */
    private void lastWord(Taken taken) {
        if (taken.answered) {
            return;
        }
        log.warn(now(), "last-word", "contact", taken.contact.id());
        abandon(taken.contact.id());
        Ring ring = taken.live();
        if (ring != null) {
            takeBack(taken, ring, new Release(Release.TIMER, "").toString(), Cause.TIMED_OUT);
        }
        reports.gone(taken.contact.id());
    }

    void keep(Taken taken) {
        // A thread that was replaced has nothing more to leave to anybody.
        if (!fenced.getAsBoolean()) {
            estate.put(taken.will());
        }
    }

    private void drop(Taken taken) {
        if (!fenced.getAsBoolean()) {
            estate.remove(taken.contact.id());
        }
    }

    private static final CallIn.Listener DEAF = new CallIn.Listener() {
        @Override
        public void cancelled() {
            // Refused already.
        }

        @Override
        public void ended(Ending why, Request bye) {
            // Never stood.
        }
    };

    void ring(long contact, Hands.Send send) {
        Taken taken = open.get(contact);
        if (taken == null || send.number() < taken.rings) {
            // Over, or carried out by the thread before this one.
            log.info(now(), "ring-not-wanted", "contact", contact, "ring", send.number());
            return;
        }
        int far = send.to() == null ? -1 : send.to().line().number();
        Ring ring = new Ring(send.number(), send.target(), far, now(), now().plus(send.limit()));
        boolean may = send.to() != null
                && taken.live() == null
                && !taken.answered
                && send.limit().longerThan(Span.ZERO)
                && released(taken)
                && send.number() < site.limits().mostRings();
        taken.rings = send.number() + 1;
        if (!may) {
            over(taken, ring, Outcome.of(Cause.NOT_SENT), Load.NONE);
            return;
        }
        taken.ring = ring;
        figures.rings++;
        Request invite = invites.build(taken, send.to(), send.group(), send.limit());
        watch(taken, ring);
        ring.call = calls.call(invite, send.to().hop(), new Answers(taken, ring));
    }

    /** Rule 5 counts from a CANCEL that left late too, of which the module knows nothing; the rest of it is its own. */
    private boolean released(Taken taken) {
        return taken.cancelledLate == null
                || !now().before(taken.cancelledLate.plus(site.rules().release()));
    }

    /** Sets the timers of a ring that is out. */
    void watch(Taken taken, Ring ring) {
        ring.limit = calls.wheel().at(ring.until, () -> gaveUp(taken, ring));
        ring.silence = calls.wheel().at(ring.at.plus(site.limits().silence()), () -> silent(taken, ring));
    }

    private void gaveUp(Taken taken, Ring ring) {
        if (!ring.stood && !ring.told) {
            takeBack(taken, ring, new Release(Release.TIMER, "").toString(), Cause.TIMED_OUT);
        }
    }

    /** Nothing was heard. It may have arrived all the same, so it counts as a ring that may hold something. */
    private void silent(Taken taken, Ring ring) {
        if (!ring.call.heard()) {
            gaveUp(taken, ring);
        }
    }

    private void takeBack(Taken taken, Ring ring, String reason, Cause cause) {
        ring.call.cancel(reason);
        end(taken, ring, Outcome.of(cause), Load.NONE);
    }

    void callOff(long contact, int number) {
        Taken taken = open.get(contact);
        Ring ring = taken == null ? null : taken.ring(number);
        if (ring != null && !ring.told && !ring.stood && ring.call != null) {
            takeBack(taken, ring, "SIP;cause=487;text=\"Called off\"", Cause.CALLED_OFF);
        }
    }

    void defer(long contact, Span comeBack) {
        Taken taken = open.get(contact);
        if (taken == null || taken.answered) {
            return;
        }
        figures.deferred++;
        int cause = taken.last == Blame.PROCESSOR ? Release.CONGESTION : Release.NO_CIRCUIT;
        Response response = unavailable(taken.caller, "Deferred", cause);
        if (taken.contact.inTransit()) {
            String place = cause == Release.CONGESTION ? Release.BEYOND : Release.TRANSIT;
            response.headers().set("Reason", new Release(cause, place));
        }
        if (comeBack.longerThan(Span.ZERO)) {
            response.headers().add("Retry-After", Math.max(1, Math.round(comeBack.ns() / 1e9)));
        }
        refuse(taken, response);
    }

    void abandon(long contact) {
        Taken taken = open.get(contact);
        if (taken == null || taken.answered) {
            return;
        }
        figures.abandoned++;
        Response response = taken.caller.response(504, "Abandoned");
        String place = taken.contact.inTransit() ? Release.TRANSIT : "";
        response.headers().add("Reason", new Release(Release.TIMER, place));
        refuse(taken, response);
    }

    private static Response unavailable(CallIn call, String reason, int cause) {
        Response response = call.response(503, reason);
        response.headers().add("Reason", new Release(cause, ""));
        return response;
    }

    private void refuse(Taken taken, Response response) {
        closed(taken, response);
        taken.caller.refuse(response);
        taken.sent = true;
        keep(taken);
        forget(taken);
    }

    /** Before the final answer leaves. */
    private void closed(Taken taken, Response response) {
        taken.answered = true;
        taken.answer = response.copy();
        keep(taken);
        unanswered--;
        if (taken.lastWord != null) {
            taken.lastWord.cancel();
        }
        figures.answered(now().since(taken.at));
    }

    private void forget(Taken taken) {
        if (taken.answered && taken.live() == null) {
            open.remove(taken.contact.id());
            if (taken.forgotten) {
                // The BYE that ended it may yet have to be sent by a successor.
                calls.wheel().loosely(Timers.QUICK.whole(), () -> drop(taken));
            }
        }
    }

    /** Tells the decider once of the ring's outcome. */
    private void end(Taken taken, Ring ring, Outcome outcome, Load load) {
        if (ring.told) {
            return;
        }
        ring.told = true;
        ring.stopTimers();
        taken.last = outcome.blame();
        taken.heldUntil = Roll.mayHold(outcome.cause()) ? now() : taken.heldUntil;
        keep(taken);
        over(taken, ring, outcome, load);
        forget(taken);
    }

    private void over(Taken taken, Ring ring, Outcome outcome, Load load) {
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
        reports.ringOver(new Reports.RingOver(
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
    private final class Caller implements CallIn.Listener {
        private final Taken taken;

        Caller(Taken taken) {
            this.taken = taken;
        }

        @Override
        public void leaving(Response last) {
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
        public void ended(Ending why, Request bye) {
            Ring ring = taken.live();
            if (ring != null) {
                Outcome outcome = Outcome.ofEnd(bye, Cause.CALLED_OFF);
                taken.bye = Will.Bye.RING;
                keep(taken);
                ring.call.bye(passedOn(bye, outcome));
                end(taken, ring, outcome, Load.NONE);
            }
        }

        @Override
        public void forgotten() {
            taken.forgotten = true;
            if (!open.containsKey(taken.contact.id())) {
                drop(taken);
            }
        }
    }

    private static String passedOn(Request bye, Outcome outcome) {
        Release release = bye == null ? null : Release.of(bye);
        if (release != null) {
            return release.toString();
        }
        return outcome.cause() == Cause.CUT ? new Release(Release.OUT_OF_ORDER, "").toString() : null;
    }

    /** What a ring brings. */
    private final class Answers implements CallOut.Listener {
        private final Taken taken;
        private final Ring ring;

        Answers(Taken taken, Ring ring) {
            this.taken = taken;
            this.ring = ring;
        }

        @Override
        public void leaving(Request invite, Hop to) {
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
        public void stood(Response response) {
            ring.stopTimers();
            if (taken.answered || !taken.caller.open()) {
                ring.call.bye(null);
                end(taken, ring, Outcome.of(Cause.CALLED_OFF), Load.of(response));
                return;
            }
            ring.stood = true;
            ring.okay = response;
            Response passed = invites.passedOn(taken, response);
            closed(taken, passed);
            figures.stood(now().since(taken.at));
            taken.caller.accept(passed);
            reports.stood(taken.contact.id(), ring.number, ring.target, now().since(ring.at), Load.of(response));
        }

        @Override
        public void cancelledLate() {
            if (open.containsKey(taken.contact.id())) {
                taken.cancelledLate = now();
                taken.heldUntil = now();
                keep(taken);
            }
        }

        @Override
        public void refused(Response response) {
            end(taken, ring, Outcome.of(response), Load.of(response));
        }

        @Override
        public void failed(Failure why) {
            end(taken, ring, Outcome.of(why), Load.NONE);
        }

        @Override
        public void ended(Ending why, Request bye) {
            Outcome outcome = Outcome.ofEnd(bye, Cause.CONCLUDED);
            taken.bye = Will.Bye.CALLER;
            keep(taken);
            taken.caller.bye(passedOn(bye, outcome));
            end(taken, ring, outcome, Load.NONE);
        }
    }

    /** Tells the decider of all that is open here. */
    void tellHeld() {
        List<Roll.Held> held =
                open.values().stream().map(taken -> taken.will().held()).toList();
        reports.inherited(lane, held);
    }

    /** A contact of the thread before this one, with its legs as far as they are there again. */
    void takenOver(Taken taken) {
        unanswered += taken.answered ? 0 : 1;
        if (!taken.answered || taken.live() != null) {
            enter(taken);
        }
    }

    CallIn.Listener callerOf(Taken taken) {
        return new Caller(taken);
    }

    CallOut.Listener answersTo(Taken taken, Ring ring) {
        return new Answers(taken, ring);
    }
}
