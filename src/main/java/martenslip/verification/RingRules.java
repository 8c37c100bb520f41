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
    private static final Span CLOCK_TOLERANCE = Span.ofMillis(3);

    /** A repeat may have been under way when its ring was given up. */
    private static final Span RETRANSMISSION_TOLERANCE = Span.ofMillis(100);

    private static final class Ring {
        final String callId;
        final String switchAddress;
        final Moment firstInviteAt;
        Moment lastInviteAt;
        Moment firstResponseAt;
        Moment finalResponseAt;
        boolean timedOut;
        Moment cancelledAt;

        Ring(String callId, String switchAddress, Moment firstInviteAt) {
            this.callId = callId;
            this.switchAddress = switchAddress;
            this.firstInviteAt = firstInviteAt;
            lastInviteAt = firstInviteAt;
        }

        /** Null while it is out. */
        Moment endTime() {
            if (cancelledAt != null && (finalResponseAt == null || cancelledAt.before(finalResponseAt))) {
                return cancelledAt;
            }
            return finalResponseAt != null ? finalResponseAt : firstResponseAt == null ? lastInviteAt : null;
        }

        /** It may still hold something: it was cancelled, timed out or reset, or nothing was ever heard. */
        boolean mayHoldCircuits() {
            return cancelledAt != null && (finalResponseAt == null || cancelledAt.before(finalResponseAt))
                    || finalResponseAt == null
                    || timedOut;
        }
    }

    private final Map<String, Ring> ringsByCall = new HashMap<>();
    private final Map<String, List<Ring>> ringsByContact = new LinkedHashMap<>();
    private final Map<String, Moment> answerTimes = new HashMap<>();
    private final List<String> exclusivityViolations = new ArrayList<>();
    private final List<String> releaseViolations = new ArrayList<>();
    private Span releaseTime = Span.ofMillis(500);
    private long successorCount;

    void setReleaseTime(Span newReleaseTime) {
        releaseTime = newReleaseTime;
    }

    private static String controllerKey(int controller, String id) {
        return controller + " " + id;
    }

    /** True where it is the first INVITE of a ring. */
    boolean inviteSent(Moment time, int controller, Request invite, String switchAddress) {
        Ring knownRing = ringsByCall.get(controllerKey(controller, invite.callId()));
        if (knownRing != null) {
            inviteRepeated(time, controller, invite, knownRing);
            knownRing.lastInviteAt = time;
            return false;
        }
        Ring ring = new Ring(invite.callId(), switchAddress, time);
        ringsByCall.put(controllerKey(controller, invite.callId()), ring);
        String contact =
                controllerKey(controller, String.valueOf(invite.headers().first("Session-ID")));
        List<Ring> earlierRings = ringsByContact.computeIfAbsent(contact, ignored -> new ArrayList<>(2));
        if (!earlierRings.isEmpty()) {
            successorCount++;
            checkSuccessor(time, contact, earlierRings.get(earlierRings.size() - 1), ring);
        }
        Moment answerTime = answerTimes.get(contact);
        if (answerTime != null && answerTime.plus(CLOCK_TOLERANCE).before(time)) {
            exclusivityViolations.add("contact " + contact + ": ring to " + switchAddress + " "
                    + time.since(answerTime).ns() / 1_000_000 + " ms after its final answer, Call-ID " + ring.callId);
        }
        earlierRings.add(ring);
        return true;
    }

    /** A ring that was given up is not sent again: not beside a later one, and not after the answer. */
    private void inviteRepeated(Moment time, int controller, Request invite, Ring ring) {
        String contact =
                controllerKey(controller, String.valueOf(invite.headers().first("Session-ID")));
        List<Ring> rings = ringsByContact.get(contact);
        Ring latestRing = rings == null ? ring : rings.get(rings.size() - 1);
        Moment answerTime = answerTimes.get(contact);
        boolean besideLaterRing = latestRing != ring
                && latestRing.firstInviteAt.plus(RETRANSMISSION_TOLERANCE).before(time);
        boolean afterFinalAnswer = answerTime != null
                && ring.finalResponseAt == null
                && answerTime.plus(RETRANSMISSION_TOLERANCE).before(time);
        if (besideLaterRing || afterFinalAnswer) {
            exclusivityViolations.add("contact " + contact + ": ring to " + ring.switchAddress + " of "
                    + ring.firstInviteAt.ns() + " sent again at "
                    + time.ns() + (besideLaterRing ? " beside a later one" : " after its final answer") + ", Call-ID "
                    + ring.callId);
        }
    }

    private void checkSuccessor(Moment time, String contact, Ring previous, Ring ring) {
        Moment previousEnd = previous.endTime();
        if (previousEnd == null || time.plus(CLOCK_TOLERANCE).before(previousEnd)) {
            exclusivityViolations.add("contact " + contact + ": ring to " + ring.switchAddress + " at " + time.ns()
                    + " while one to " + previous.switchAddress + " of " + previous.firstInviteAt.ns()
                    + " is out, Call-IDs " + previous.callId + " and " + ring.callId);
        } else if (previous.mayHoldCircuits()
                && time.since(previousEnd).plus(CLOCK_TOLERANCE).compareTo(releaseTime) < 0) {
            releaseViolations.add("contact " + contact + ": ring to " + ring.switchAddress + " "
                    + time.since(previousEnd).ns() / 1_000_000
                    + " ms after one to " + previous.switchAddress + " was given up, Call-IDs " + previous.callId
                    + " and "
                    + ring.callId);
        }
    }

    void responseReceived(Moment time, int controller, Response response) throws InvalidValueException {
        Ring ring = ringsByCall.get(controllerKey(controller, response.callId()));
        if (ring == null) {
            return;
        }
        ring.firstResponseAt = ring.firstResponseAt == null ? time : ring.firstResponseAt;
        if (response.status() >= 200 && ring.finalResponseAt == null) {
            ring.finalResponseAt = time;
            // A tandem that gave up behind itself turns the contact back: this ring is over and holds nothing.
            ReleaseCause releaseCause = ReleaseCause.of(response);
            boolean rejectedBeyondTandem =
                    releaseCause != null && releaseCause.hasLocation(ReleaseCause.TRANSIT_NETWORK);
            ring.timedOut = response.status() == 408 || response.status() == 504 && !rejectedBeyondTandem;
        }
    }

    void cancelSent(Moment time, int controller, String callId) {
        Ring ring = ringsByCall.get(controllerKey(controller, callId));
        if (ring != null && ring.cancelledAt == null) {
            ring.cancelledAt = time;
        }
    }

    void contactAnswered(Moment time, int controller, String sessionId) {
        answerTimes.putIfAbsent(controllerKey(controller, sessionId), time);
    }

    /** A killed controller's rings end with it, and it knows nothing of its contacts when it comes back. */
    void controllerKilled(int controller) {
        ringsByContact.keySet().removeIf(contact -> contact.startsWith(controller + " "));
    }

    RuleResult exclusivityResult() {
        return new RuleResult(2, "one ring out, none after the answer", ringsByCall.size(), exclusivityViolations);
    }

    RuleResult releaseResult() {
        return new RuleResult(5, "release awaited", successorCount, releaseViolations);
    }
}
