package martenslip.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.signaling.ReleaseCause;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;

/**
 * Rules 2 and 5, and of rule 1 that nothing is sent after the final answer. A ring is out from its INVITE to the
 * final response that reached its controller, or to its CANCEL. One that was never answered in any way is out
 * until its last INVITE: before a response no CANCEL may tell that it was given up.
 */
final class RingRules {
    /** Clocks are read at both ends of a hand-over between threads. */
    private static final Span SLACK = Span.ofMillis(3);

    /** A repeat may have been under way when its ring was given up. */
    private static final Span ON_ITS_WAY = Span.ofMillis(100);

    private static final class Ring {
        final String callId;
        final String to;
        final Moment first;
        Moment lastInvite;
        Moment heard;
        Moment finalAt;
        boolean timedOut;
        Moment cancelledAt;

        Ring(String callId, String to, Moment first) {
            this.callId = callId;
            this.to = to;
            this.first = first;
            lastInvite = first;
        }

        /** Null while it is out. */
        Moment end() {
            if (cancelledAt != null && (finalAt == null || cancelledAt.before(finalAt))) {
                return cancelledAt;
            }
            return finalAt != null ? finalAt : heard == null ? lastInvite : null;
        }

        /** It may still hold something: it was cancelled, timed out or reset, or nothing was ever heard. */
        boolean held() {
            return cancelledAt != null && (finalAt == null || cancelledAt.before(finalAt))
                    || finalAt == null
                    || timedOut;
        }
    }

    private final Map<String, Ring> byCall = new HashMap<>();
    private final Map<String, List<Ring>> byContact = new LinkedHashMap<>();
    private final Map<String, Moment> answered = new HashMap<>();
    private final List<String> twoOut = new ArrayList<>();
    private final List<String> tooSoon = new ArrayList<>();
    private Span release = Span.ofMillis(500);
    private long successors;

    void release(Span span) {
        release = span;
    }

    private static String key(int controller, String callId) {
        return controller + " " + callId;
    }

    /** True where it is the first INVITE of a ring. */
    boolean invite(Moment at, int controller, Request invite, String to) {
        Ring known = byCall.get(key(controller, invite.callId()));
        if (known != null) {
            repeated(at, controller, invite, known);
            known.lastInvite = at;
            return false;
        }
        Ring ring = new Ring(invite.callId(), to, at);
        byCall.put(key(controller, invite.callId()), ring);
        String contact = key(controller, String.valueOf(invite.headers().first("Session-ID")));
        List<Ring> before = byContact.computeIfAbsent(contact, any -> new ArrayList<>(2));
        if (!before.isEmpty()) {
            successors++;
            compare(at, contact, before.get(before.size() - 1), ring);
        }
        Moment end = answered.get(contact);
        if (end != null && end.plus(SLACK).before(at)) {
            twoOut.add("contact " + contact + ": ring to " + to + " "
                    + at.since(end).ns() / 1_000_000 + " ms after its final answer, Call-ID " + ring.callId);
        }
        before.add(ring);
        return true;
    }

    /** A ring that was given up is not sent again: not beside a later one, and not after the answer. */
    private void repeated(Moment at, int controller, Request invite, Ring ring) {
        String contact = key(controller, String.valueOf(invite.headers().first("Session-ID")));
        List<Ring> rings = byContact.get(contact);
        Ring last = rings == null ? ring : rings.get(rings.size() - 1);
        Moment end = answered.get(contact);
        boolean beside = last != ring && last.first.plus(ON_ITS_WAY).before(at);
        boolean after =
                end != null && ring.finalAt == null && end.plus(ON_ITS_WAY).before(at);
        if (beside || after) {
            twoOut.add("contact " + contact + ": ring to " + ring.to + " of " + ring.first.ns() + " sent again at "
                    + at.ns() + (beside ? " beside a later one" : " after its final answer") + ", Call-ID "
                    + ring.callId);
        }
    }

    private void compare(Moment at, String contact, Ring before, Ring ring) {
        Moment end = before.end();
        if (end == null || at.plus(SLACK).before(end)) {
            twoOut.add("contact " + contact + ": ring to " + ring.to + " at " + at.ns() + " while one to " + before.to
                    + " of " + before.first.ns() + " is out, Call-IDs " + before.callId + " and " + ring.callId);
        } else if (before.held() && at.since(end).plus(SLACK).compareTo(release) < 0) {
            tooSoon.add("contact " + contact + ": ring to " + ring.to + " "
                    + at.since(end).ns() / 1_000_000
                    + " ms after one to " + before.to + " was given up, Call-IDs " + before.callId + " and "
                    + ring.callId);
        }
    }

    void response(Moment at, int controller, Response response) throws InvalidValueException {
        Ring ring = byCall.get(key(controller, response.callId()));
        if (ring == null) {
            return;
        }
        ring.heard = ring.heard == null ? at : ring.heard;
        if (response.status() >= 200 && ring.finalAt == null) {
            ring.finalAt = at;
            // A tandem that gave up behind itself turns the contact back: this ring is over and holds nothing.
            ReleaseCause release = ReleaseCause.of(response);
            boolean beyond = release != null && release.hasLocation(ReleaseCause.TRANSIT_NETWORK);
            ring.timedOut = response.status() == 408 || response.status() == 504 && !beyond;
        }
    }

    void cancelled(Moment at, int controller, String callId) {
        Ring ring = byCall.get(key(controller, callId));
        if (ring != null && ring.cancelledAt == null) {
            ring.cancelledAt = at;
        }
    }

    void contactAnswered(Moment at, int controller, String session) {
        answered.putIfAbsent(key(controller, session), at);
    }

    /** A killed controller's rings end with it, and it knows nothing of its contacts when it comes back. */
    void killed(int controller) {
        byContact.keySet().removeIf(contact -> contact.startsWith(controller + " "));
    }

    RuleResult oneOut() {
        return new RuleResult(2, "one ring out, none after the answer", byCall.size(), twoOut);
    }

    RuleResult releaseAwaited() {
        return new RuleResult(5, "release awaited", successors, tooSoon);
    }
}
