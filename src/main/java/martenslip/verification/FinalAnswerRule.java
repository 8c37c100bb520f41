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

/** Rule 1, first half: each contact that reached a running controller gets one final answer in its patience. */
final class FinalAnswerRule {
    /** As the bench allows past the client's own time. */
    private static final Span SLACK = Span.ofMillis(20);

    /** How long bytes may wait in a connection that is then reset. */
    private static final Span UNSENT = Span.ofMillis(20);

    private static final class ConnectionReset {
        final Moment begin;
        Moment end;

        ConnectionReset(Moment begin) {
            this.begin = begin;
        }
    }

    private static final class ContactRequest {
        final Moment at;
        final int controller;
        final Span patience;
        final String session;
        String answer;
        boolean second;
        Moment answeredAt;

        ContactRequest(Moment at, int controller, Span patience, String session) {
            this.at = at;
            this.controller = controller;
            this.patience = patience;
            this.session = session;
        }
    }

    private final Map<String, ContactRequest> asked = new LinkedHashMap<>();
    private final Map<Integer, List<Moment>> kills = new HashMap<>();
    private final Map<Integer, List<ConnectionReset>> resets = new HashMap<>();
    private final Set<Integer> down = new HashSet<>();
    private final Set<String> unheard = new HashSet<>();
    private final List<String> broken = new ArrayList<>();
    private Moment last = new Moment(0);

    void taken(Moment at, int controller, Request invite) throws InvalidValueException {
        last = at;
        if (down.contains(controller)) {
            unheard.add(invite.via().branch());
            return;
        }
        String exact = invite.headers().first("Martenslip-Patience");
        String whole = invite.headers().first("Expires");
        Span patience = Span.ofMillis(
                exact != null ? Double.parseDouble(exact) : whole != null ? Double.parseDouble(whole) * 1000 : 1e9);
        asked.putIfAbsent(
                invite.via().branch(),
                new ContactRequest(
                        at,
                        controller,
                        patience,
                        String.valueOf(invite.headers().first("Session-ID"))));
    }

    void answered(Moment at, int controller, Response response) throws InvalidValueException {
        last = at;
        ContactRequest one = asked.get(response.via().branch());
        if (one == null && unheard.contains(response.via().branch())) {
            // It listens already, and says so a moment later.
            return;
        }
        if (one == null) {
            broken.add("controller " + controller + ": answer to no contact, " + response.status() + " "
                    + response.callId());
            return;
        }
        String is = response.status() + " " + response.to().tag();
        if (one.answer == null) {
            one.answer = is;
            one.answeredAt = at;
        } else if (!one.answer.equals(is) && !one.second) {
            one.second = true;
            broken.add("contact " + one.session + " at controller " + controller + ": " + one.answer + ", then " + is
                    + " after " + ms(at.since(one.at)) + " ms");
        }
    }

    String session(int controller, Response response) throws InvalidValueException {
        ContactRequest one = asked.get(response.via().branch());
        return one == null ? "" : one.session;
    }

    void unreadable(Moment at, int controller, String why) {
        broken.add("controller " + controller + ": a message that can't be read, " + why);
    }

    void up(int controller) {
        down.remove(controller);
    }

    void killed(int controller, Moment at) {
        down.add(controller);
        kills.computeIfAbsent(controller, any -> new ArrayList<>()).add(at);
    }

    /** Connections toward the controller are about to be reset by the stand-in. */
    void resetting(int controller, Moment at) {
        resets.computeIfAbsent(controller, any -> new ArrayList<>()).add(new ConnectionReset(at));
    }

    void reset(int controller, Moment at) {
        resets.getOrDefault(controller, List.of()).forEach(one -> one.end = one.end == null ? at : one.end);
    }

    /** What was handed to a connection as it was reset may never have left it. */
    private boolean mayNotHaveArrived(ContactRequest one) {
        return resets.getOrDefault(one.controller, List.of()).stream()
                .anyMatch(reset ->
                        reset.end != null && reset.begin.before(one.at.plus(UNSENT)) && !reset.end.before(one.at));
    }

    private boolean excused(ContactRequest one) {
        Moment due = one.at.plus(one.patience).plus(SLACK);
        boolean killed = kills.getOrDefault(one.controller, List.of()).stream()
                .anyMatch(kill -> !kill.before(one.at) && kill.before(due));
        // What was still owed when the capture ended can't be judged.
        return killed || last.before(due) || mayNotHaveArrived(one);
    }

    RuleResult verdict() {
        for (ContactRequest one : asked.values()) {
            if (one.answer == null && !excused(one)) {
                broken.add("contact " + one.session + " at controller " + one.controller + ": no final answer within "
                        + ms(one.patience) + " ms of " + one.at.ns());
            } else if (one.answer != null && one.answeredAt.since(one.at).longerThan(one.patience.plus(SLACK))) {
                broken.add("contact " + one.session + " at controller " + one.controller + ": " + one.answer + " after "
                        + ms(one.answeredAt.since(one.at)) + " ms, patience " + ms(one.patience));
            }
        }
        return new RuleResult(1, "one final answer in time", asked.size(), broken);
    }

    private static String ms(Span span) {
        return Long.toString(span.ns() / 1_000_000);
    }
}
