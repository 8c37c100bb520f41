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
 * Rule 2 (one ring in flight) and rule 5 (the release time passes before the next ring) of {@link martenslip.control}.
 * It also checks the part of rule 1 (final answer) that no ring is sent after it, and reports that under rule 2.
 *
 * <p>A ring is in flight from its INVITE to the final response that reached its controller, or to its CANCEL. A ring
 * without any response counts as in flight until its last INVITE, because CANCEL may not be sent before a response.
 */
final class RingRules {
    /** The clock is read on both sides of a hand-over between threads. */
    private static final Span CLOCK_TOLERANCE = Span.ofMillis(3);

    /** A retransmission may already have been on its way when its ring was cancelled. */
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

        /** When the ring ended; null while it is in flight. */
        Moment endTime() {
            if (cancelledAt != null && (finalResponseAt == null || cancelledAt.before(finalResponseAt))) {
                return cancelledAt;
            }
            return finalResponseAt != null ? finalResponseAt : firstResponseAt == null ? lastInviteAt : null;
        }

        /** True where the switch may still hold circuits: the ring was cancelled, timed out or not finally answered. */
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

    /** Records an INVITE of a ring; true where it is the ring's first. */
    boolean inviteSent(Moment time, int controller, Request invite, String switchAddress) {
        Ring knownRing = ringsByCall.get(controllerKey(controller, invite.callId()));
        if (knownRing != null) {
            inviteRetransmitted(time, controller, invite, knownRing);
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

    /** An INVITE is not retransmitted once a later ring of the contact started or the contact had its final answer. */
    private void inviteRetransmitted(Moment time, int controller, Request invite, Ring ring) {
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
                    + ring.firstInviteAt.ns() + " retransmitted at "
                    + time.ns() + (besideLaterRing ? " beside a later ring" : " after the final answer") + ", Call-ID "
                    + ring.callId);
        }
    }

    private void checkSuccessor(Moment time, String contact, Ring previous, Ring ring) {
        Moment previousEnd = previous.endTime();
        if (previousEnd == null || time.plus(CLOCK_TOLERANCE).before(previousEnd)) {
            exclusivityViolations.add("contact " + contact + ": ring to " + ring.switchAddress + " at " + time.ns()
                    + " while a ring to " + previous.switchAddress + " of " + previous.firstInviteAt.ns()
                    + " is in flight, Call-IDs " + previous.callId + " and " + ring.callId);
        } else if (previous.mayHoldCircuits()
                && time.since(previousEnd).plus(CLOCK_TOLERANCE).compareTo(releaseTime) < 0) {
            releaseViolations.add("contact " + contact + ": ring to " + ring.switchAddress + " "
                    + time.since(previousEnd).ns() / 1_000_000
                    + " ms after a ring to " + previous.switchAddress + " was cancelled or timed out, Call-IDs "
                    + previous.callId
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
            // A 504 located in the transit network means that the tandem cancelled its own ring and rejected the
            // contact,
            // so this ring holds no circuits any more.
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

    /** A killed controller's rings end with it; a restarted controller has no knowledge of earlier contacts. */
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
