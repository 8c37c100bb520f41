package martenslip.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;

/**
 * Rule 1 (final answer): each contact that reached a running controller gets one final answer within its patience. That
 * no ring follows the answer is checked by {@link RingRules}.
 */
final class FinalAnswerRule {
    /** Allowed delay past the caller's patience; the benchmark allows its clients as much. */
    private static final Span ANSWER_TOLERANCE = Span.ofMillis(20);

    /** How long written bytes may wait in a connection before they are sent; a reset in that time loses them. */
    private static final Span MAX_UNSENT_TIME = Span.ofMillis(20);

    private static final class ConnectionReset {
        final Moment startedAt;
        Moment endedAt;

        ConnectionReset(Moment startedAt) {
            this.startedAt = startedAt;
        }
    }

    private static final class ContactRequest {
        final Moment sentAt;
        final int controller;
        final Span patience;
        final String sessionId;
        String answer;
        boolean conflictReported;
        Moment answeredAt;

        ContactRequest(Moment sentAt, int controller, Span patience, String sessionId) {
            this.sentAt = sentAt;
            this.controller = controller;
            this.patience = patience;
            this.sessionId = sessionId;
        }
    }

    private final Map<String, ContactRequest> requests = new LinkedHashMap<>();
    private final Map<Integer, List<Moment>> killTimes = new HashMap<>();
    private final Map<Integer, List<ConnectionReset>> resets = new HashMap<>();
    private final Set<Integer> downControllers = new HashSet<>();
    private final Set<String> branchesSentWhileDown = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private Moment lastMessageAt = new Moment(0);

    void inviteSent(Moment time, int controller, Request invite) throws InvalidValueException {
        lastMessageAt = time;
        if (downControllers.contains(controller)) {
            branchesSentWhileDown.add(invite.via().branch());
            return;
        }
        String patienceMs = invite.headers().first("Martenslip-Patience");
        String expiresSeconds = invite.headers().first("Expires");
        Span patience = Span.ofMillis(
                patienceMs != null
                        ? Double.parseDouble(patienceMs)
                        : expiresSeconds != null ? Double.parseDouble(expiresSeconds) * 1000 : 1e9);
        requests.putIfAbsent(
                invite.via().branch(),
                new ContactRequest(
                        time,
                        controller,
                        patience,
                        String.valueOf(invite.headers().first("Session-ID"))));
    }

    void answerReceived(Moment time, int controller, Response response) throws InvalidValueException {
        lastMessageAt = time;
        ContactRequest request = requests.get(response.via().branch());
        if (request == null && branchesSentWhileDown.contains(response.via().branch())) {
            // A starting controller accepts contacts shortly before its state is captured as up.
            return;
        }
        if (request == null) {
            violations.add("controller " + controller + ": final answer without a matching INVITE, " + response.status()
                    + " " + response.callId());
            return;
        }
        String answer = response.status() + " " + response.to().tag();
        if (request.answer == null) {
            request.answer = answer;
            request.answeredAt = time;
        } else if (!request.answer.equals(answer) && !request.conflictReported) {
            request.conflictReported = true;
            violations.add("contact " + request.sessionId + " at controller " + controller + ": " + request.answer
                    + ", then " + answer + " after " + millis(time.since(request.sentAt)) + " ms");
        }
    }

    String sessionId(int controller, Response response) throws InvalidValueException {
        ContactRequest request = requests.get(response.via().branch());
        return request == null ? "" : request.sessionId;
    }

    void messageUnreadable(Moment time, int controller, String reason) {
        violations.add("controller " + controller + ": message can't be read: " + reason);
    }

    void controllerUp(int controller) {
        downControllers.remove(controller);
    }

    void controllerKilled(int controller, Moment time) {
        downControllers.add(controller);
        killTimes.computeIfAbsent(controller, ignored -> new ArrayList<>()).add(time);
    }

    /** The stand-in is about to reset its connections to the controller. */
    void resetStarted(int controller, Moment time) {
        resets.computeIfAbsent(controller, ignored -> new ArrayList<>()).add(new ConnectionReset(time));
    }

    void resetFinished(int controller, Moment time) {
        resets.getOrDefault(controller, List.of())
                .forEach(reset -> reset.endedAt = reset.endedAt == null ? time : reset.endedAt);
    }

    /** An INVITE written to a connection around its reset may never have been sent. */
    private boolean mayNotHaveArrived(ContactRequest request) {
        return resets.getOrDefault(request.controller, List.of()).stream()
                .anyMatch(reset -> reset.endedAt != null
                        && reset.startedAt.before(request.sentAt.plus(MAX_UNSENT_TIME))
                        && !reset.endedAt.before(request.sentAt));
    }

    private boolean isExcused(ContactRequest request) {
        Moment deadline = request.sentAt.plus(request.patience).plus(ANSWER_TOLERANCE);
        boolean killed = killTimes.getOrDefault(request.controller, List.of()).stream()
                .anyMatch(killTime -> !killTime.before(request.sentAt) && killTime.before(deadline));
        // An answer that was not yet due when the capture ended can't be judged.
        return killed || lastMessageAt.before(deadline) || mayNotHaveArrived(request);
    }

    RuleResult result() {
        for (ContactRequest request : requests.values()) {
            if (request.answer == null && !isExcused(request)) {
                violations.add("contact " + request.sessionId + " at controller " + request.controller
                        + ": no final answer within " + millis(request.patience) + " ms of " + request.sentAt.ns());
            } else if (request.answer != null
                    && request.answeredAt.since(request.sentAt).longerThan(request.patience.plus(ANSWER_TOLERANCE))) {
                violations.add("contact " + request.sessionId + " at controller " + request.controller + ": "
                        + request.answer + " after " + millis(request.answeredAt.since(request.sentAt))
                        + " ms, patience " + millis(request.patience));
            }
        }
        return new RuleResult(1, "one final answer in time", requests.size(), violations);
    }

    private static String millis(Span span) {
        return Long.toString(span.ns() / 1_000_000);
    }
}
