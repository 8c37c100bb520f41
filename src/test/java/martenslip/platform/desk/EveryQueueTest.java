package martenslip.platform.desk;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import martenslip.EveryOrder;
import martenslip.EveryOrder.Found;
import martenslip.platform.desk.QueueWorld.Plan;
import martenslip.platform.desk.QueueWorld.Plant;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Every order of what may happen while an order waits to be written: by all five rules, and nothing for a caller who
 * has left.
 */
public class EveryQueueTest {
    private static Found search(Plan plan, Plant plant, int depth) {
        return EveryOrder.search(() -> new QueueWorld(plan, plant), depth);
    }

    /** Name, plan (offers, circuits, connection up from the start), choices. */
    @DataProvider
    public Object[][] worlds() {
        return new Object[][] {
            {"one caller", new Plan(1, 2, true), 6},
            {"one caller, a connection that comes late", new Plan(1, 2, false), 6},
            {"two callers, one circuit", new Plan(2, 1, true), 5},
            {"two callers, one circuit, late", new Plan(2, 1, false), 5},
        };
    }

    @Test(dataProvider = "worlds")
    public void rulesHoldInEveryOrder(String name, Plan plan, int depth) {
        long begun = System.nanoTime();
        Found found = search(plan, Plant.NONE, depth);
        System.out.printf(
                "every order: %s, depth %d: %d orders in %d ms%n",
                name, depth, found.sequences(), (System.nanoTime() - begun) / 1_000_000);
        assertEquals(found.fault(), null, name);
        assertTrue(found.sequences() > 1000, name + ": only " + found.sequences());
    }

    /** The check itself: each of these, planted, must be found. */
    @DataProvider
    public Object[][] plants() {
        return new Object[][] {{Plant.DEPARTED}, {Plant.DRAINED}, {Plant.END_NOT_WRITTEN}, {Plant.NOT_REVOKED}};
    }

    @Test(dataProvider = "plants")
    public void aPlantedFaultIsFound(Plant plant) {
        Found found = search(new Plan(1, 2, true), plant, 5);
        assertTrue(found.fault() != null, plant + " was not found in " + found.sequences() + " orders");
        System.out.println("planted " + plant + ": " + found.fault());
    }
}
