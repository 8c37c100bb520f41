package martenslip.platform.contact;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import martenslip.InterleavingExplorer;
import martenslip.InterleavingExplorer.SearchResult;
import martenslip.platform.contact.RestartModel.PlantedFault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against report 038161: a contact's end is lost in no order of the messages after a restart. */
public class RestartInterleavingTest {
    /** Events of which each set of this size is played in every order. */
    private static final int EVENTS_AT_ONCE = 5;

    /** The events, and an answer or a step of time between two of them. */
    private static final int DEPTH = 6;

    /** Plays every set of events in every order until a fault is found. */
    private static SearchResult searchAll(PlantedFault plantedFault) {
        long sequences = 0;
        for (int mask = 0; mask < 1 << RestartModel.EVENT_COUNT; mask++) {
            if (Integer.bitCount(mask) == EVENTS_AT_ONCE) {
                int eventMask = mask;
                SearchResult result =
                        InterleavingExplorer.search(() -> new RestartModel(plantedFault, eventMask), DEPTH);
                sequences += result.sequences();
                if (result.fault() != null) {
                    return new SearchResult(sequences, result.fault());
                }
            }
        }
        return new SearchResult(sequences, null);
    }

    @Test
    public void noEndIsLostInAnyOrderOfAnyFiveEvents() {
        SearchResult result = searchAll(PlantedFault.NONE);
        System.out.println("every order: a contact named after a restart, any " + EVENTS_AT_ONCE + " of "
                + RestartModel.EVENT_COUNT + " events: " + result.sequences() + " orders");
        assertEquals(result.fault(), null);
        assertTrue(result.sequences() > 15_000, "only " + result.sequences());
    }

    @DataProvider
    public Object[][] plantedFaults() {
        return new Object[][] {
            {PlantedFault.RELEASE_BEFORE_NAMING_FORGOTTEN},
            {PlantedFault.BYE_BEFORE_NAMING_FORGOTTEN},
            {PlantedFault.RELEASE_SENT_ONCE}
        };
    }

    @Test(dataProvider = "plantedFaults")
    public void aPlantedFaultIsFound(PlantedFault plantedFault) {
        assertNotNull(searchAll(plantedFault).fault());
    }
}
