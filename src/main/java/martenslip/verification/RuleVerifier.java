package martenslip.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Message;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;

/**
 * Judges the five rules from what passed at the stand-ins' sockets, never from a controller's word. A contact is
 * known by its Session-ID at one controller, a ring by its Call-ID; docs/proof.md tells how each is read.
 */
public final class RuleVerifier implements CaptureReader.RecordHandler {
    private final Map<String, Integer> controllers = new HashMap<>();
    private final Map<String, String> machines = new HashMap<>();
    private final FinalAnswerRule answers = new FinalAnswerRule();
    private final RingRules rings = new RingRules();
    private final DrainRule drains = new DrainRule();
    private final ColdStartRule cold = new ColdStartRule();

    @Override
    public void annotation(Moment at, String kind, Map<String, String> words) {
        switch (kind) {
            case "controller" -> {
                int number = Integer.parseInt(words.get("number"));
                controllers.put(words.get("host"), number);
                if (words.get("state").equals("killed")) {
                    answers.killed(number, at);
                    rings.killed(number);
                    drains.killed(number);
                } else {
                    answers.up(number);
                }
            }
            case "resetting" -> answers.resetting(Integer.parseInt(words.get("number")), at);
            case "reset" -> answers.reset(Integer.parseInt(words.get("number")), at);
            case "machine" -> machines.put(words.get("local"), words.get("at"));
            case "cold" ->
                cold.started(
                        words.get("at"),
                        at,
                        Double.parseDouble(words.get("capacity")),
                        Double.parseDouble(words.get("from")),
                        Span.ofMillis(Double.parseDouble(words.get("warm-ms"))));
            case "rules" -> {
                rings.release(Span.ofMillis(Double.parseDouble(words.get("release-ms"))));
                drains.grace(Span.ofMillis(Double.parseDouble(words.get("drain-grace-ms"))));
                cold.budget(
                        Double.parseDouble(words.get("fall-multiple")),
                        Span.ofMillis(Double.parseDouble(words.get("fall-ms"))));
            }
            default -> {
                // Facts for people, such as the beginning of a trouble.
            }
        }
    }

    @Override
    public void message(Moment at, boolean in, String local, String remote, boolean lost, Message message) {
        Integer controller = controllers.get(remote);
        if (controller == null) {
            return;
        }
        try {
            if (in) {
                fromController(at, controller, local, message);
            } else if (!lost) {
                toController(at, controller, message);
            }
        } catch (InvalidValueException e) {
            answers.unreadable(at, controller, e.getMessage());
        }
    }

    /** Every message counts that a controller sent, whether the wires lost it later or not. */
    private void fromController(Moment at, int controller, String local, Message message) throws InvalidValueException {
        if (message instanceof Response response) {
            if (response.cseq().method().equals("INVITE") && response.status() >= 200) {
                answers.answered(at, controller, response);
                rings.contactAnswered(at, controller, answers.session(controller, response));
            }
            return;
        }
        Request request = (Request) message;
        boolean begins = request.hasMethod("INVITE") && request.to().tag().isEmpty();
        if (begins && machines.containsKey(local)) {
            String to = machines.get(local);
            boolean first = rings.invite(at, controller, request, to);
            if (first) {
                drains.sent(at, controller, request, to);
                cold.sent(at, controller, to);
            }
        } else if (request.hasMethod("CANCEL")) {
            rings.cancelled(at, controller, request.callId());
        }
    }

    private void toController(Moment at, int controller, Message message) throws InvalidValueException {
        if (message instanceof Response response) {
            if (response.cseq().method().equals("INVITE")) {
                rings.response(at, controller, response);
            }
            return;
        }
        Request request = (Request) message;
        if (request.hasMethod("INVITE") && request.to().tag().isEmpty()) {
            answers.taken(at, controller, request);
        } else if (request.hasMethod("NOTIFY")
                && "martenslip-switches".equals(request.headers().first("Event"))) {
            drains.told(at, controller, request.body());
        }
    }

    /** To be called once, after the last record. */
    public List<RuleResult> verdicts() {
        List<RuleResult> all = new ArrayList<>();
        all.add(answers.verdict());
        all.add(rings.oneOut());
        all.add(drains.verdict());
        all.add(cold.verdict());
        all.add(rings.releaseAwaited());
        return all;
    }
}
