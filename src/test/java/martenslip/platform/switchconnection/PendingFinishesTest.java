package martenslip.platform.switchconnection;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Set;
import martenslip.control.Moment;
import org.testng.annotations.Test;

/** FINISH messages that a switch has not acknowledged, over a restart of its process. */
public class PendingFinishesTest {
    private static final Moment NOW = new Moment(1_000_000_000);

    /** Guards against report 9d16c4: what was owed to a process that has ended was said to its successor. */
    @Test
    public void onlyTheContactsOfTheRemainingConnectionsAreStillOwedTheirFinish() {
        PendingFinishes finishes = new PendingFinishes();
        finishes.add("earlier process", 16, 5, NOW);
        finishes.add("named by its caller", 16, 0, NOW);
        finishes.add("present process", 16, 6, NOW);
        finishes.retainConnections(Set.of(6L, 7L));
        assertEquals(finishes.unexpired(NOW), Map.of("present process", 16));
    }
}
