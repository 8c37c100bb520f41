package martenslip.platform.desk;

import static org.testng.Assert.assertEquals;

import martenslip.control.Blame;
import martenslip.control.Cause;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EndedTest {
    /** Cause and note as the platform writes them, what the module is told. */
    @DataProvider
    public Object[][] rows() {
        return new Object[][] {
            {34, "no_circuit", Cause.TURNED_BACK, Blame.NO_CIRCUIT},
            {34, "turned_back", Cause.TURNED_BACK, Blame.TANDEM},
            {34, "far_overload", Cause.TURNED_BACK, Blame.BEYOND_FULL},
            {34, "overload", Cause.TURNED_BACK, Blame.PROCESSOR},
            {34, null, Cause.TURNED_BACK, Blame.NONE},
            {17, "lines_busy", Cause.BUSY, Blame.LINES_BUSY},
            {47, null, Cause.BUSY, Blame.NONE},
            {102, "no_circuit", Cause.NOT_SENT, Blame.NO_CIRCUIT},
            {102, "overload", Cause.NOT_SENT, Blame.PROCESSOR},
            {41, null, Cause.CUT, Blame.NONE},
            {16, null, Cause.CUT, Blame.NONE},
            {-1, "something", Cause.CUT, Blame.NONE},
        };
    }

    @Test(dataProvider = "rows")
    public void ofARing(int cause, String note, Cause expected, Blame blame) {
        assertEquals(Ended.ofRing(cause, note), new Ended(expected, blame));
    }

    @Test
    public void ofWhatStood() {
        assertEquals(Ended.ofStanding(16), Cause.CONCLUDED);
        assertEquals(Ended.ofStanding(41), Cause.CUT);
        assertEquals(Ended.ofStanding(0), Cause.CUT);
    }
}
