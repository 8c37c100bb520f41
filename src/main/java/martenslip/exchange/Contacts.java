package martenslip.exchange;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import martenslip.control.Blame;
import martenslip.control.Cause;
import martenslip.control.Moment;
import martenslip.control.RingEnd;
import martenslip.control.Span;
import martenslip.provision.Site;
import martenslip.signal.Load;
import martenslip.signal.Neighbour;
import martenslip.signal.Release;
import martenslip.sip.dialog.CallIn;
import martenslip.sip.dialog.CallOut;
import martenslip.sip.dialog.Calls;
import martenslip.sip.dialog.Ending;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.Failure;

/**
 * Contacts that were taken, with their callers' legs and rings: carries out the module's orders and tells it what
 * became of them. It holds the two rules that a program can hold against its own faults: one final answer, and no
 * second ring beside one that is out.
 */
final class Contacts {
    private final Site site;
    private final Calls calls;
    private final Switchboard switchboard;
    private final Happenings happenings;
    private final Incoming incoming;
    private final RingInvite invites;
    private final EventLog log;
    private final Figures figures;
    private final Map<Long, Taken> open = new LinkedHashMap<>();
    private long ids;
    private int unanswered;
    private boolean closing;

    Contacts(Site site, Calls calls, Switchboard switchboard, Happenings happenings, EventLog log, Figures figures) {
        this.site = site;
        this.calls = calls;
        this.switchboard = switchboard;
        this.happenings = happenings;
        this.log = log;
        this.figures = figures;
        incoming = new Incoming(site, switchboard);
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

    void incoming(CallIn call) {
        Moment now = calls.wheel().now();
        if (closing || open.size() >= site.limits().mostOpen()) {
            figures.refusedUnseen++;
            log.warn(now, "refused-unseen", "closing", closing, "open", open.size());
            call.listen(DEAF);
            call.refuse(unavailable(call, closing ? "Closing" : "Too many contacts", Release.TEMPORARY));
            return;
        }
        Incoming.Read read = incoming.read(call, ids + 1);
        if (read.contact() == null) {
            figures.refusedUnseen++;
            log.info(now, "not-a-contact", "status", read.status(), "reason", read.reason());
            call.listen(DEAF);
            call.refuse(call.response(read.status(), read.reason()));
            return;
        }
        Taken taken = new Taken(read.contact(), call, read.number(), now);
        ids++;
        open.put(ids, taken);
        unanswered++;
        figures.taken++;
        call.listen(new Caller(taken));
        happenings.add((module, at) -> module.offered(at, taken.contact));
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

    void ring(long contact, long target, Span limit) {
        Taken taken = open.get(contact);
        if (taken == null) {
            log.warn(calls.wheel().now(), "ring-for-unknown", "contact", contact);
            return;
        }
        Moment now = calls.wheel().now();
        Neighbour neighbour = switchboard.neighbour(target);
        int far = neighbour == null ? -1 : neighbour.line().number();
        Ring ring = new Ring(taken.rings.size(), target, far, now);
        Ring out = taken.live();
        taken.rings.add(ring);
        boolean may = neighbour != null && out == null && !taken.answered && limit.longerThan(Span.ZERO)
                && ring.number < site.limits().mostRings();
        if (!may) {
            end(taken, ring, Outcome.of(Cause.NOT_SENT), Load.NONE);
            return;
        }
        figures.rings++;
        Switchboard.Circuits group = switchboard.toward(far);
        switchboard.seized(far, taken.contact.width());
        Request invite = invites.build(taken, neighbour, group, limit);
        ring.limit = calls.wheel().after(limit, () -> gaveUp(taken, ring));
        ring.silence = calls.wheel().after(site.limits().silence(), () -> silent(taken, ring));
        ring.call = calls.call(invite, neighbour.hop(), new Answers(taken, ring));
    }

    private void gaveUp(Taken taken, Ring ring) {
        if (!ring.stood && !ring.told) {
            ring.call.cancel(new Release(Release.TIMER, "").toString());
            end(taken, ring, Outcome.of(Cause.TIMED_OUT), Load.NONE);
        }
    }

    /** Nothing was heard. It may have arrived all the same, so it counts as a ring that may hold something. */
    private void silent(Taken taken, Ring ring) {
        if (!ring.call.heard()) {
            gaveUp(taken, ring);
        }
    }

    void callOff(long contact, int number) {
        Taken taken = open.get(contact);
        Ring ring = taken == null ? null : taken.ring(number);
        if (ring != null && !ring.told && !ring.stood && ring.call != null) {
            ring.call.cancel("SIP;cause=487;text=\"Called off\"");
            end(taken, ring, Outcome.of(Cause.CALLED_OFF), Load.NONE);
        }
    }

    void defer(long contact, Span comeBack) {
        answer(contact, taken -> {
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
            taken.caller.refuse(response);
        });
    }

    void abandon(long contact) {
        answer(contact, taken -> {
            figures.abandoned++;
            Response response = taken.caller.response(504, "Abandoned");
            String place = taken.contact.inTransit() ? Release.TRANSIT : "";
            response.headers().add("Reason", new Release(Release.TIMER, place));
            taken.caller.refuse(response);
        });
    }

    private static Response unavailable(CallIn call, String reason, int cause) {
        Response response = call.response(503, reason);
        response.headers().add("Reason", new Release(cause, ""));
        return response;
    }

    private void answer(long contact, Consumer<Taken> how) {
        Taken taken = open.get(contact);
        if (taken != null && !taken.answered) {
            closed(taken);
            how.accept(taken);
            forget(taken);
        }
    }

    private void closed(Taken taken) {
        taken.answered = true;
        unanswered--;
        figures.answered(calls.wheel().now().since(taken.at));
    }

    private void forget(Taken taken) {
        if (taken.answered && taken.live() == null) {
            open.remove(taken.contact.id());
        }
    }

    /** Tells the module once of the ring's outcome. */
    private void end(Taken taken, Ring ring, Outcome outcome, Load load) {
        if (ring.told) {
            return;
        }
        ring.told = true;
        ring.stopTimers();
        boolean sent = ring.call != null;
        Switchboard.Circuits group = switchboard.toward(ring.far);
        if (sent && group != null) {
            switchboard.freed(ring.far, taken.contact.width());
        }
        taken.last = outcome.blame();
        int free = group == null ? 0 : group.free;
        int total = group == null ? 0 : group.total;
        float[] report = load.report(free, total, site.reports());
        Span took = calls.wheel().now().since(ring.at);
        boolean answered = taken.answered;
        RingEnd end = new RingEnd(taken.contact.id(), ring.number, ring.target, outcome.cause(), outcome.blame(),
                took, outcome.stayAway(), answered, report);
        log.debug(calls.wheel().now(), "ring-ended", "contact", end.contact(), "ring", ring.number, "far", ring.far,
                "cause", outcome.cause(), "blame", outcome.blame());
        happenings.add((module, at) -> module.ringEnded(at, end));
        forget(taken);
    }

    /** The caller's side. */
    private final class Caller implements CallIn.Listener {
        private final Taken taken;

        Caller(Taken taken) {
            this.taken = taken;
        }

        @Override
        public void cancelled() {
            closed(taken);
            figures.callerGone++;
            happenings.add((module, at) -> module.callerGone(at, taken.contact.id()));
            // A ring that is out is called off by the module; without one nothing is left to wait for.
            forget(taken);
        }

        @Override
        public void ended(Ending why, Request bye) {
            Ring ring = taken.live();
            if (ring != null) {
                Outcome outcome = Outcome.ofEnd(bye, Cause.CALLED_OFF);
                ring.call.bye(passedOn(bye, outcome));
                end(taken, ring, outcome, Load.NONE);
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
        public void progress(Response response) {
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
            closed(taken);
            figures.stood(calls.wheel().now().since(taken.at));
            taken.caller.accept(invites.passedOn(taken, response));
            Span took = calls.wheel().now().since(ring.at);
            happenings.add((module, at) ->
                    module.stands(at, taken.contact.id(), ring.number, ring.target, took));
            Load load = Load.of(response);
            if (load != Load.NONE && load.total() >= 0) {
                report(ring, load);
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
            taken.caller.bye(passedOn(bye, outcome));
            end(taken, ring, outcome, Load.NONE);
        }
    }

    private void report(Ring ring, Load load) {
        float[] report = load.report(load.spare(), load.total(), site.reports());
        happenings.add((module, at) -> module.reported(at, ring.target, true, Span.ZERO, report));
    }
}
