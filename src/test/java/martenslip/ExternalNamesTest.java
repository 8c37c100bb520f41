package martenslip;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;
import martenslip.control.SwitchEntry;
import martenslip.expect.ContactTrial;
import martenslip.expect.Expectation;
import martenslip.sip.transaction.RequestFailure;
import martenslip.sip.transport.Hop;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Enum values that leave the process under their own names: logs, counts, journals and expectation files contain them,
 * and operators' tools match them. Renaming or reordering such a value breaks them, so a rename must keep the text.
 */
public class ExternalNamesTest {
    @DataProvider
    public Object[][] enums() {
        return new Object[][] {
            {
                RingEndCause.class,
                List.of("CONCLUDED", "BUSY", "TURNED_BACK", "TIMED_OUT", "UNREACHABLE", "CUT", "CALLED_OFF", "NOT_SENT")
            },
            {RejectionReason.class, List.of("NONE", "NO_CIRCUIT", "TANDEM", "BEYOND_FULL", "PROCESSOR", "LINES_BUSY")},
            {SwitchEntry.State.class, List.of("READY", "DRAINING", "GONE")},
            {Hop.Protocol.class, List.of("UDP", "TCP")},
            {RequestFailure.class, List.of("TIMED_OUT", "NO_CONNECTION", "BROKEN", "TABLE_FULL")},
            {Expectation.Condition.State.class, List.of("DRAINING", "GONE", "COLD", "PRESSED", "SILENT")},
            {ContactTrial.FinalState.class, List.of("STOOD", "DEFERRED", "ABANDONED")},
        };
    }

    @Test(dataProvider = "enums")
    public <E extends Enum<E>> void valuesKeepTheirNamesAndOrder(Class<E> type, List<String> names) {
        E[] values = type.getEnumConstants();
        assertEquals(Arrays.stream(values).map(Enum::name).toList(), names, type + " by name()");
        assertEquals(Arrays.stream(values).map(String::valueOf).toList(), names, type + " by toString()");
    }
}
