package martenslip.platform.contact;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import martenslip.InterleavingExplorer;
import martenslip.InterleavingExplorer.SearchResult;
import martenslip.platform.contact.WriteQueueModel.InjectedFault;
import martenslip.platform.contact.WriteQueueModel.Scenario;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Every order of what may happen while an order waits to be written: by all five rules, and nothing for a caller who
 * has left.
 */
public class WriteQueueInterleavingTest {
    private static SearchResult search(Scenario plan, InjectedFault plant, int depth) {
        return InterleavingExplorer.search(() -> new WriteQueueModel(plan, plant), depth);
    }

    /** Name, plan (offers, circuits, connection up from the start), choices. */
    @DataProvider
    public Object[][] worlds() {
        return new Object[][] {
            {"one caller", new Scenario(1, 2, true), 6},
            {"one caller, a connection that comes late", new Scenario(1, 2, false), 6},
            {"two callers, one circuit", new Scenario(2, 1, true), 5},
            {"two callers, one circuit, late", new Scenario(2, 1, false), 5},
        };
    }

    @Test(dataProvider = "worlds")
    public void rulesHoldInEveryOrder(String name, Scenario plan, int depth) {
        long begun = System.nanoTime();
        SearchResult found = search(plan, InjectedFault.NONE, depth);
        System.out.printf(
                "every order: %s, depth %d: %d orders in %d ms%n",
                name, depth, found.sequences(), (System.nanoTime() - begun) / 1_000_000);
        assertEquals(found.fault(), null, name);
        assertTrue(found.sequences() > 1000, name + ": only " + found.sequences());
    }

    /** The check itself: each of these, planted, must be found. */
    @DataProvider
    public Object[][] plants() {
        return new Object[][] {
            {InjectedFault.DEPARTED},
            {InjectedFault.DRAINED},
            {InjectedFault.END_NOT_WRITTEN},
            {InjectedFault.NOT_REVOKED}
        };
    }

    @Test(dataProvider = "plants")
    public void aPlantedFaultIsFound(InjectedFault plant) {
        SearchResult found = search(new Scenario(1, 2, true), plant, 5);
        assertTrue(found.fault() != null, plant + " was not found in " + found.sequences() + " orders");
        System.out.println("planted " + plant + ": " + found.fault());
    }
}
