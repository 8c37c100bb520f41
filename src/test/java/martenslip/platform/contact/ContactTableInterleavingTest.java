package martenslip.platform.contact;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import martenslip.InterleavingExplorer;
import martenslip.InterleavingExplorer.SearchResult;
import martenslip.control.Span;
import martenslip.platform.contact.ContactTableModel.Scenario;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The contact table with the real routing module in every order of the events of callers, switches and connections. */
public class ContactTableInterleavingTest {
    private static final Span RELEASE_TIME = Span.ofMillis(300);

    private static SearchResult search(Scenario scenario, int depth, Span releaseTime) {
        return InterleavingExplorer.search(() -> new ContactTableModel(scenario, releaseTime), depth);
    }

    /**
     * Name, scenario (offers, circuits, refusals, a caller cancels, a connection breaks, a process ends), depth of the
     * search.
     */
    @DataProvider
    public Object[][] scenarios() {
        return new Object[][] {
            {"one caller, refused and reset", new Scenario(1, 2, 2, true, false, false), 12},
            {"two callers, one circuit", new Scenario(2, 1, 1, true, false, false), 7},
            {"two callers, a connection breaks", new Scenario(2, 2, 1, true, true, false), 7},
            {"two callers, a process dies", new Scenario(2, 2, 0, true, true, true), 11},
            {"over the tandem", new Scenario(2, 0, 1, true, true, false), 6},
        };
    }

    @Test(dataProvider = "scenarios")
    public void rulesHoldInEveryOrder(String name, Scenario scenario, int depth) {
        SearchResult result = search(scenario, depth, RELEASE_TIME);
        assertEquals(result.fault(), null, name);
        assertTrue(result.sequences() > 400, name + ": only " + result.sequences());
    }

    /**
     * Checks the checker: held to a longer release time than the module is given, the same scenario must break a rule.
     */
    @Test
    public void aTooShortReleaseTimeIsFound() {
        assertTrue(search(new Scenario(1, 2, 2, true, false, false), 6, Span.ofMillis(400))
                        .fault()
                != null);
    }
}
