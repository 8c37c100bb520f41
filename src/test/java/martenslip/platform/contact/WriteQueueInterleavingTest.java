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
 * Every order of the events that may come while a START or FINISH waits to be written: all five rules hold, and nothing
 * is sent for a caller who has left.
 */
public class WriteQueueInterleavingTest {
    private static SearchResult search(Scenario scenario, InjectedFault injectedFault, int depth) {
        return InterleavingExplorer.search(() -> new WriteQueueModel(scenario, injectedFault), depth);
    }

    /** Name, scenario (offers, circuits, connection up from the start), depth of the search. */
    @DataProvider
    public Object[][] scenarios() {
        return new Object[][] {
            {"one caller", new Scenario(1, 2, true), 6},
            {"one caller, connection not yet up", new Scenario(1, 2, false), 6},
            {"two callers, one circuit", new Scenario(2, 1, true), 5},
            {"two callers, one circuit, connection not yet up", new Scenario(2, 1, false), 5},
        };
    }

    @Test(dataProvider = "scenarios")
    public void rulesHoldInEveryOrder(String name, Scenario scenario, int depth) {
        long startedNs = System.nanoTime();
        SearchResult result = search(scenario, InjectedFault.NONE, depth);
        System.out.printf(
                "every order: %s, depth %d: %d orders in %d ms%n",
                name, depth, result.sequences(), (System.nanoTime() - startedNs) / 1_000_000);
        assertEquals(result.fault(), null, name);
        assertTrue(result.sequences() > 1000, name + ": only " + result.sequences());
    }

    /** Checks the checker: each of these injected faults must be found. */
    @DataProvider
    public Object[][] injectedFaults() {
        return new Object[][] {
            {InjectedFault.CANCELLATION_IGNORED},
            {InjectedFault.DRAINING_IGNORED},
            {InjectedFault.FINISH_REPORTED_BEFORE_WRITE},
            {InjectedFault.WRITTEN_AFTER_REVOCATION}
        };
    }

    @Test(dataProvider = "injectedFaults")
    public void anInjectedFaultIsFound(InjectedFault injectedFault) {
        SearchResult result = search(new Scenario(1, 2, true), injectedFault, 5);
        assertTrue(result.fault() != null, injectedFault + " was not found in " + result.sequences() + " orders");
        System.out.println("injected " + injectedFault + ": " + result.fault());
    }
}
