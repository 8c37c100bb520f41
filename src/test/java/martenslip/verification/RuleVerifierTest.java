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

/** What excuses and what does not, record by record. */
public class RuleVerifierTest {
    private static final String CONTROLLER = "127.0.1.10";
    private RuleVerifier proof;

    private static Moment at(double ms) {
        return new Moment(Span.ofMillis(ms).ns());
    }

    @BeforeMethod
    public void begin() {
        proof = new RuleVerifier();
        controller(0, "up");
        proof.annotation(at(0), "machine", Map.of("local", "switch-1", "at", "127.0.2.1:5"));
        proof.annotation(
                at(0),
                "rules",
                Map.of("release-ms", "500", "drain-grace-ms", "2000", "fall-multiple", "3", "fall-ms", "1500"));
    }

    private void controller(double ms, String state) {
        proof.annotation(at(ms), "controller", Map.of("number", "0", "host", CONTROLLER, "state", state));
    }

    private void pass(double ms, boolean in, String start, String branch, String call, String toTag, String cseq) {
        String text = start + "\r\nVia: SIP/2.0/UDP 127.0.0.1:1;branch=z9hG4bK" + branch
                + "\r\nFrom: <sip:a@h>;tag=f\r\n"
                + "To: <sip:b@h>" + toTag + "\r\nCall-ID: " + call + "\r\nCSeq: 1 " + cseq + "\r\nSession-ID: s\r\n"
                + "Martenslip-Patience: 1000\r\n\r\n";
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        Message message = MessageParser.parse(bytes, bytes.length).message();
        proof.message(at(ms), in, "switch-1", CONTROLLER, false, message);
    }

    private void taken(double ms, String branch) {
        pass(ms, false, "INVITE sip:b@h SIP/2.0", branch, "caller", "", "INVITE");
    }

    private void answered(double ms, String branch, int status, String tag) {
        pass(ms, true, "SIP/2.0 " + status + " x", branch, "caller", ";tag=" + tag, "INVITE");
    }

    private void ring(double ms, String call) {
        pass(ms, true, "INVITE sip:b@h SIP/2.0", call, call, "", "INVITE");
    }

    private void ringAnswered(double ms, String call, int status) {
        pass(ms, false, "SIP/2.0 " + status + " x", call, call, ";tag=r", "INVITE");
    }

    /** Something later, so that what was owed before can be judged. */
    private int broken(int rule) {
        taken(90_000, "last");
        answered(90_001, "last", 503, "z");
        return proof.verdicts().get(rule - 1).violations().size();
    }

    @Test
    public void oneAnswerHoweverOftenRepeated() {
        taken(0, "a");
        answered(10, "a", 503, "t");
        answered(600, "a", 503, "t");
        assertEquals(broken(1), 0);
    }

    @Test
    public void twoAnswersALateOneAndNoneAreBroken() {
        taken(0, "a");
        answered(10, "a", 503, "t");
        answered(20, "a", 200, "t");
        taken(0, "b");
        answered(1030, "b", 503, "t");
        taken(0, "c");
        assertEquals(broken(1), 3);
    }

    @Test
    public void aKilledControllerOwesNothingAndOneThatIsDownTookNothing() {
        taken(0, "a");
        controller(100, "killed");
        taken(200, "b");
        controller(300, "up");
        taken(400, "c");
        assertEquals(broken(1), 1);
    }

    @Test
    public void aResetExcusesOnlyWhatItMayHaveSwallowed() {
        taken(70, "before");
        taken(95, "swallowed");
        proof.annotation(at(100), "resetting", Map.of("number", "0"));
        taken(110, "swallowed too");
        proof.annotation(at(120), "reset", Map.of("number", "0"));
        taken(121, "after");
        assertEquals(broken(1), 2);
    }

    @Test
    public void aSecondRingMayFollowTheFirstOnesEndOnly() {
        ring(0, "one");
        ringAnswered(10, "one", 503);
        ring(11, "two");
        ringAnswered(20, "two", 100);
        ring(30, "three");
        assertEquals(broken(2), 1);
    }

    @Test
    public void aCancelledRingAndOneNeverHeardOfAwaitTheRelease() {
        ring(0, "one");
        ringAnswered(5, "one", 100);
        pass(100, true, "CANCEL sip:b@h SIP/2.0", "one", "one", "", "CANCEL");
        ring(601, "two");
        ring(1000, "two");
        ring(1200, "three");
        assertEquals(broken(2), 0);
        assertEquals(proof.verdicts().get(4).violations().size(), 1);
    }

    @Test
    public void nothingIsSentAfterTheFinalAnswer() {
        taken(0, "a");
        answered(10, "a", 503, "t");
        ring(50, "late");
        assertEquals(broken(2), 1);
    }
}
