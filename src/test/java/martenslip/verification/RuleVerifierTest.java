package martenslip.verification;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.Message;
import martenslip.sip.message.MessageParser;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which captured messages violate a rule, and which circumstances excuse a missing answer. */
public class RuleVerifierTest {
    private static final String CONTROLLER = "127.0.1.10";
    private RuleVerifier verifier;

    private static Moment atMillis(double ms) {
        return new Moment(Span.ofMillis(ms).ns());
    }

    @BeforeMethod
    public void createVerifier() {
        verifier = new RuleVerifier();
        controllerState(0, "up");
        verifier.annotation(atMillis(0), "machine", Map.of("local", "switch-1", "at", "127.0.2.1:5"));
        verifier.annotation(
                atMillis(0),
                "rules",
                Map.of("release-ms", "500", "drain-grace-ms", "2000", "fall-multiple", "3", "fall-ms", "1500"));
    }

    private void controllerState(double ms, String state) {
        verifier.annotation(atMillis(ms), "controller", Map.of("number", "0", "host", CONTROLLER, "state", state));
    }

    private void passMessage(
            double ms, boolean inbound, String startLine, String branch, String callId, String toTag, String cseq) {
        String text = startLine + "\r\nVia: SIP/2.0/UDP 127.0.0.1:1;branch=z9hG4bK" + branch
                + "\r\nFrom: <sip:a@h>;tag=f\r\n"
                + "To: <sip:b@h>" + toTag + "\r\nCall-ID: " + callId + "\r\nCSeq: 1 " + cseq + "\r\nSession-ID: s\r\n"
                + "Martenslip-Patience: 1000\r\n\r\n";
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        Message message = MessageParser.parse(bytes, bytes.length).message();
        verifier.message(atMillis(ms), inbound, "switch-1", CONTROLLER, false, message);
    }

    private void callerInvite(double ms, String branch) {
        passMessage(ms, false, "INVITE sip:b@h SIP/2.0", branch, "caller", "", "INVITE");
    }

    private void finalAnswer(double ms, String branch, int status, String tag) {
        passMessage(ms, true, "SIP/2.0 " + status + " x", branch, "caller", ";tag=" + tag, "INVITE");
    }

    private void ringInvite(double ms, String callId) {
        passMessage(ms, true, "INVITE sip:b@h SIP/2.0", callId, callId, "", "INVITE");
    }

    private void ringResponse(double ms, String callId, int status) {
        passMessage(ms, false, "SIP/2.0 " + status + " x", callId, callId, ";tag=r", "INVITE");
    }

    /** Adds a later contact, so that answers due before it can be judged, and counts the rule's violations. */
    private int violationCount(int rule) {
        callerInvite(90_000, "last");
        finalAnswer(90_001, "last", 503, "z");
        return verifier.results().get(rule - 1).violations().size();
    }

    @Test
    public void repeatedFinalAnswerIsNoViolation() {
        callerInvite(0, "a");
        finalAnswer(10, "a", 503, "t");
        finalAnswer(600, "a", 503, "t");
        assertEquals(violationCount(1), 0);
    }

    @Test
    public void conflictingLateAndMissingAnswersAreViolations() {
        callerInvite(0, "a");
        finalAnswer(10, "a", 503, "t");
        finalAnswer(20, "a", 200, "t");
        callerInvite(0, "b");
        finalAnswer(1030, "b", 503, "t");
        callerInvite(0, "c");
        assertEquals(violationCount(1), 3);
    }

    @Test
    public void controllerThatIsKilledOrDownOwesNoAnswer() {
        callerInvite(0, "a");
        controllerState(100, "killed");
        callerInvite(200, "b");
        controllerState(300, "up");
        callerInvite(400, "c");
        assertEquals(violationCount(1), 1);
    }

    @Test
    public void resetExcusesOnlyInvitesThatItMayHaveLost() {
        callerInvite(70, "before");
        callerInvite(95, "lost");
        verifier.annotation(atMillis(100), "resetting", Map.of("number", "0"));
        callerInvite(110, "lost too");
        verifier.annotation(atMillis(120), "reset", Map.of("number", "0"));
        callerInvite(121, "after");
        assertEquals(violationCount(1), 2);
    }

    @Test
    public void secondRingBeforeTheFirstEndedIsViolation() {
        ringInvite(0, "one");
        ringResponse(10, "one", 503);
        ringInvite(11, "two");
        ringResponse(20, "two", 100);
        ringInvite(30, "three");
        assertEquals(violationCount(2), 1);
    }

    @Test
    public void cancelledAndUnansweredRingsRequireTheReleaseTime() {
        ringInvite(0, "one");
        ringResponse(5, "one", 100);
        passMessage(100, true, "CANCEL sip:b@h SIP/2.0", "one", "one", "", "CANCEL");
        ringInvite(601, "two");
        ringInvite(1000, "two");
        ringInvite(1200, "three");
        assertEquals(violationCount(2), 0);
        assertEquals(verifier.results().get(4).violations().size(), 1);
    }

    @Test
    public void ringAfterTheFinalAnswerIsViolation() {
        callerInvite(0, "a");
        finalAnswer(10, "a", 503, "t");
        ringInvite(50, "late");
        assertEquals(violationCount(2), 1);
    }
}
