package martenslip.platform.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** When a caller's connection is in use, on driven time. */
public class ConnectionActivityTest {
    private static final long MS = 1_000_000;
    private final String callId = "9b1f03aa5c7e2d41";

    @Test
    public void aSetUpIsOpenUntilItsFinalResponseIsWritten() {
        ConnectionActivity activity = new ConnectionActivity(0);
        assertTrue(activity.addSetUp());
        assertFalse(activity.isSettled(5000 * MS));
        activity.finalResponseWritten(callId, 5000 * MS);
        assertTrue(activity.isSettled(5000 * MS));
    }

    /** Guards against a caller whose switch took its time counting as idle as soon as it is answered (review/3). */
    @Test
    public void anAnswerCountsAsActivity() {
        ConnectionActivity activity = new ConnectionActivity(0);
        activity.addSetUp();
        activity.finalResponseWritten(callId, 5000 * MS);
        assertFalse(activity.isIdle(5400 * MS));
        assertTrue(activity.isIdle(5401 * MS));
    }

    /** A release goes to the caller that was heard of last; what was written to a caller says nothing of it. */
    @Test
    public void anAnswerIsNoInput() {
        ConnectionActivity activity = new ConnectionActivity(0);
        activity.messageReceived(100 * MS);
        activity.addSetUp();
        activity.finalResponseWritten(callId, 5000 * MS);
        assertEquals(activity.lastReceivedNs(), 100 * MS);
    }

    @Test
    public void anAnswerAwaitsItsAckForALimitedTime() {
        ConnectionActivity activity = new ConnectionActivity(0);
        activity.addSetUp();
        activity.answerQueued(callId, 100 * MS);
        activity.finalResponseWritten(callId, 300 * MS);
        assertFalse(activity.isSettled(1300 * MS));
        assertTrue(activity.isSettled(1301 * MS));
    }

    @Test
    public void anAckEndsTheWait() {
        ConnectionActivity activity = new ConnectionActivity(0);
        activity.addSetUp();
        activity.answerQueued(callId, 100 * MS);
        activity.finalResponseWritten(callId, 300 * MS);
        activity.acknowledged(callId);
        assertTrue(activity.isSettled(300 * MS));
    }

    /** The caller's ACK may be read before the writing thread returns from its write. */
    @Test
    public void anAckMayComeBeforeTheEndOfTheWrite() {
        ConnectionActivity activity = new ConnectionActivity(0);
        activity.addSetUp();
        activity.answerQueued(callId, 100 * MS);
        activity.acknowledged(callId);
        assertFalse(activity.isSettled(101 * MS));
        activity.finalResponseWritten(callId, 102 * MS);
        assertTrue(activity.isSettled(102 * MS));
    }

    @Test
    public void openSetUpsAreBounded() {
        ConnectionActivity activity = new ConnectionActivity(0);
        for (int i = 0; i < ConnectionActivity.MAX_OPEN_SET_UPS; i++) {
            assertTrue(activity.addSetUp());
        }
        assertFalse(activity.addSetUp());
        activity.setUpEnded();
        assertTrue(activity.addSetUp());
        assertEquals(activity.openSetUpCount(), ConnectionActivity.MAX_OPEN_SET_UPS);
    }

    /** A caller that never acknowledges must not make the table grow. */
    @Test
    public void answersWithoutAckAreForgotten() {
        ConnectionActivity activity = new ConnectionActivity(0);
        for (int i = 0; i < 10_000; i++) {
            activity.addSetUp();
            activity.answerQueued("call " + i, i * MS);
            activity.finalResponseWritten("call " + i, i * MS);
        }
        assertEquals(activity.unacknowledgedCount(9999 * MS), ConnectionActivity.MAX_UNACKNOWLEDGED);
    }

    /** Guards against callers that leave their answers without ACK and get ever more calls (review/6). */
    @Test
    public void anAckIsOverdueForALimitedTimeOrUntilItComes() {
        ConnectionActivity activity = new ConnectionActivity(0);
        activity.addSetUp();
        activity.answerQueued(callId, 100 * MS);
        activity.finalResponseWritten(callId, 100 * MS);
        assertFalse(activity.hasOverdueAck(2100 * MS));
        assertTrue(activity.hasOverdueAck(2101 * MS));
        assertFalse(activity.hasOverdueAck(10_101 * MS));

        activity.addSetUp();
        activity.answerQueued(callId, 20_000 * MS);
        activity.finalResponseWritten(callId, 20_000 * MS);
        activity.acknowledged(callId);
        assertFalse(activity.hasOverdueAck(23_000 * MS));
    }

    private static ConnectionActivity refused(int times) {
        ConnectionActivity activity = new ConnectionActivity(0);
        for (int i = 0; i < times; i++) {
            activity.addSetUp();
            activity.finalResponseWritten("refused " + i, i * MS);
        }
        return activity;
    }

    /** Guards against callers at full speed whose connections are never settled and keep all others out (review/8). */
    @Test
    public void aCallerThatIsRefusedAgainAndAgainWithoutACallIsAbusive() {
        ConnectionActivity activity = refused(ConnectionActivity.MANY_REFUSALS);
        activity.addSetUp();
        assertFalse(activity.isOnlyRefused(5000 * MS));
        assertTrue(activity.isAbusive(5000 * MS));
        assertFalse(refused(ConnectionActivity.MANY_REFUSALS - 1).isAbusive(5000 * MS));
    }

    @Test
    public void aCallerThatHasHadACallIsNotAbusiveHoweverOftenItIsRefused() {
        ConnectionActivity activity = new ConnectionActivity(0);
        activity.addSetUp();
        activity.answerQueued(callId, 1 * MS);
        activity.finalResponseWritten(callId, 1 * MS);
        activity.acknowledged(callId);
        for (int i = 0; i < 10 * ConnectionActivity.MANY_REFUSALS; i++) {
            activity.addSetUp();
            activity.finalResponseWritten("refused " + i, i * MS);
        }
        assertFalse(activity.isAbusive(5000 * MS));
        assertFalse(activity.isOnlyRefused(5000 * MS));
    }
}
