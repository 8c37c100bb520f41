package martenslip.platform.switchconnection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

/** Which connections reach the process that has followed at an address. */
public class SuccessionCheckTest {
    private static final Moment STARTED_AT = atMs(10_000);

    private static Moment atMs(long ms) {
        return new Moment(Span.ofMillis(ms).ns());
    }

    @Test
    public void aConnectionFromBeforeTheStartReachesTheEarlierProcess() {
        SuccessionCheck check = new SuccessionCheck(STARTED_AT);
        assertFalse(check.mayReachPresentProcess(atMs(8_999)));
        assertTrue(check.mayReachPresentProcess(atMs(9_000)), "the start may be dated 1 s late");
    }

    @Test
    public void withoutAStartEveryConnectionIsTested() {
        assertTrue(new SuccessionCheck(null).mayReachPresentProcess(atMs(1)));
    }

    @Test
    public void withoutATestNoConnectionReachesThePresentProcess() {
        SuccessionCheck check = new SuccessionCheck(STARTED_AT);
        assertTrue(check.isComplete());
        assertEquals(check.firstNumber(), SuccessionCheck.NONE);
    }

    @Test
    public void theOldestConnectionThatRepliesIsTheFirstOfThePresentProcess() {
        SuccessionCheck check = new SuccessionCheck(STARTED_AT);
        check.tested(5);
        check.tested(6);
        check.tested(7);
        check.replied(6);
        assertFalse(check.isComplete(), "an older one may still reply");
        check.ended(5);
        assertTrue(check.isComplete(), "a reply of the newer one changes nothing");
        assertEquals(check.firstNumber(), 6);
        check.replied(5);
        assertEquals(check.firstNumber(), 6, "it has ended without a reply");
    }

    @Test
    public void connectionsThatAllEndReachNoPresentProcess() {
        SuccessionCheck check = new SuccessionCheck(null);
        check.tested(5);
        check.ended(5);
        assertTrue(check.isComplete());
        assertEquals(check.firstNumber(), SuccessionCheck.NONE);
    }
}
