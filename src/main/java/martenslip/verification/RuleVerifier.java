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
 * Checks the five rules against the messages captured at the stand-ins' sockets, independent of anything a controller
 * reports about itself. A contact is identified by its Session-ID at one controller, a ring by its Call-ID;
 * docs/proof.md describes how each rule is checked.
 */
public final class RuleVerifier implements CaptureReader.RecordHandler {
    private final Map<String, Integer> controllers = new HashMap<>();
    private final Map<String, String> switchAddressByLink = new HashMap<>();
    private final FinalAnswerRule finalAnswerRule = new FinalAnswerRule();
    private final RingRules ringRules = new RingRules();
    private final DrainRule drainRule = new DrainRule();
    private final ColdStartRule coldStartRule = new ColdStartRule();

    @Override
    public void annotation(Moment time, String kind, Map<String, String> attributes) {
        switch (kind) {
            case "controller" -> {
                int number = Integer.parseInt(attributes.get("number"));
                controllers.put(attributes.get("host"), number);
                if (attributes.get("state").equals("killed")) {
                    finalAnswerRule.controllerKilled(number, time);
                    ringRules.controllerKilled(number);
                    drainRule.controllerKilled(number);
                } else {
                    finalAnswerRule.controllerUp(number);
                }
            }
            case "resetting" -> finalAnswerRule.resetStarted(Integer.parseInt(attributes.get("number")), time);
            case "reset" -> finalAnswerRule.resetFinished(Integer.parseInt(attributes.get("number")), time);
            // A switch: the name of its link and its listen address.
            case "machine" -> switchAddressByLink.put(attributes.get("local"), attributes.get("at"));
            // A switch that starts cold, with its warm capacity and the share of it at the start.
            case "cold" ->
                coldStartRule.coldStartObserved(
                        attributes.get("at"),
                        time,
                        Double.parseDouble(attributes.get("capacity")),
                        Double.parseDouble(attributes.get("from")),
                        Span.ofMillis(Double.parseDouble(attributes.get("warm-ms"))));
            case "rules" -> {
                ringRules.setReleaseTime(Span.ofMillis(Double.parseDouble(attributes.get("release-ms"))));
                drainRule.setGracePeriod(Span.ofMillis(Double.parseDouble(attributes.get("drain-grace-ms"))));
                coldStartRule.setLoadLimit(
                        Double.parseDouble(attributes.get("fall-multiple")),
                        Span.ofMillis(Double.parseDouble(attributes.get("fall-ms"))));
            }
            default -> {
                // Annotations for human readers, such as the start of a fault.
            }
        }
    }

    @Override
    public void message(Moment time, boolean inbound, String local, String remote, boolean lost, Message message) {
        Integer controller = controllers.get(remote);
        if (controller == null) {
            return;
        }
        try {
            if (inbound) {
                fromController(time, controller, local, message);
            } else if (!lost) {
                toController(time, controller, message);
            }
        } catch (InvalidValueException e) {
            finalAnswerRule.messageUnreadable(time, controller, e.getMessage());
        }
    }

    /** Handles a message from a controller; it counts even if the simulated network lost it. */
    private void fromController(Moment time, int controller, String local, Message message)
            throws InvalidValueException {
        if (message instanceof Response response) {
            if (response.cseq().method().equals("INVITE") && response.status() >= 200) {
                finalAnswerRule.answerReceived(time, controller, response);
                ringRules.contactAnswered(time, controller, finalAnswerRule.sessionId(controller, response));
            }
            return;
        }
        Request request = (Request) message;
        boolean startsCall = request.hasMethod("INVITE") && request.to().tag().isEmpty();
        if (startsCall && switchAddressByLink.containsKey(local)) {
            String switchAddress = switchAddressByLink.get(local);
            boolean firstInvite = ringRules.inviteSent(time, controller, request, switchAddress);
            if (firstInvite) {
                drainRule.ringSent(time, controller, request, switchAddress);
                coldStartRule.ringSent(time, controller, switchAddress);
            }
        } else if (request.hasMethod("CANCEL")) {
            ringRules.cancelSent(time, controller, request.callId());
        }
    }

    private void toController(Moment time, int controller, Message message) throws InvalidValueException {
        if (message instanceof Response response) {
            if (response.cseq().method().equals("INVITE")) {
                ringRules.responseReceived(time, controller, response);
            }
            return;
        }
        Request request = (Request) message;
        if (request.hasMethod("INVITE") && request.to().tag().isEmpty()) {
            finalAnswerRule.inviteSent(time, controller, request);
        } else if (request.hasMethod("NOTIFY")
                && "martenslip-switches".equals(request.headers().first("Event"))) {
            drainRule.listNotified(time, controller, request.body());
        }
    }

    /**
     * The results of the five rules of {@link martenslip.control}, in their order. To be called once, after the last
     * record.
     */
    public List<RuleResult> results() {
        List<RuleResult> results = new ArrayList<>();
        results.add(finalAnswerRule.result());
        results.add(ringRules.exclusivityResult());
        results.add(drainRule.result());
        results.add(coldStartRule.result());
        results.add(ringRules.releaseResult());
        return results;
    }
}
