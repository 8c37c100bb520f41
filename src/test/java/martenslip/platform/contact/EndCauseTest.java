package martenslip.platform.contact;

import static org.testng.Assert.assertEquals;

import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Q.850 causes and notes of a switch become causes and reasons of the routing module. */
public class EndCauseTest {
    /** Cause and note as the platform sends them, and the cause that the module is notified of. */
    @DataProvider
    public Object[][] causes() {
        return new Object[][] {
            {34, "no_circuit", RingEndCause.TURNED_BACK, RejectionReason.NO_CIRCUIT},
            {34, "turned_back", RingEndCause.TURNED_BACK, RejectionReason.TANDEM},
            {34, "far_overload", RingEndCause.TURNED_BACK, RejectionReason.BEYOND_FULL},
            {34, "overload", RingEndCause.TURNED_BACK, RejectionReason.PROCESSOR},
            {34, null, RingEndCause.TURNED_BACK, RejectionReason.NONE},
            {17, "lines_busy", RingEndCause.BUSY, RejectionReason.LINES_BUSY},
            {47, null, RingEndCause.BUSY, RejectionReason.NONE},
            {102, "no_circuit", RingEndCause.NOT_SENT, RejectionReason.NO_CIRCUIT},
            {102, "overload", RingEndCause.NOT_SENT, RejectionReason.PROCESSOR},
            {41, null, RingEndCause.CUT, RejectionReason.NONE},
            {16, null, RingEndCause.CUT, RejectionReason.NONE},
            {-1, "something", RingEndCause.CUT, RejectionReason.NONE},
        };
    }

    @Test(dataProvider = "causes")
    public void ofRingEnd(int q850Cause, String note, RingEndCause expected, RejectionReason rejectionReason) {
        assertEquals(EndCause.ofRingEnd(q850Cause, note), new EndCause(expected, rejectionReason));
    }

    @Test
    public void ofEstablishedEnd() {
        assertEquals(EndCause.ofEstablishedEnd(16), RingEndCause.CONCLUDED);
        assertEquals(EndCause.ofEstablishedEnd(41), RingEndCause.CUT);
        assertEquals(EndCause.ofEstablishedEnd(0), RingEndCause.CUT);
    }
}
