package martenslip;

import static org.testng.Assert.assertTrue;

import martenslip.ColdStartFleetSimulation.Parameters;
import martenslip.ColdStartFleetSimulation.Result;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The rings that a whole fleet sends to a cold switch stay within the limit of the settings. */
public class ColdStartFleetTest {
    private static final int SEEDS = 8;

    /**
     * Processes, calls a second, factor after the replacement, share started lately, whether the same machine restarts.
     */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {new Parameters(5, 19, 1, 0, false)},
            {new Parameters(5, 19, 4, 0, true)},
            {new Parameters(20, 19, 1, 0, false)},
            {new Parameters(20, 19, 2, 0.5, false)},
            {new Parameters(20, 19, 4, 0, true)},
            {new Parameters(30, 19, 1, 0, false)},
            {new Parameters(30, 19, 2, 0.5, false)},
            {new Parameters(30, 19, 2, 0.5, true)},
            {new Parameters(30, 19, 4, 0, true)},
            {new Parameters(30, 19, 3, 1, false)},
            {new Parameters(30, 6, 3, 0.5, false)},
            {new Parameters(30, 6, 3, 0.5, true)},
            {new Parameters(48, 19, 3, 0.5, true)},
            {new Parameters(48, 19, 4, 1, false)},
        };
    }

    @Test(dataProvider = "fleets")
    public void fleetStaysWithinTheAllowance(Parameters parameters) {
        Result worst = null;
        double sentShare = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Result result = ColdStartFleetSimulation.play(parameters, seed);
            worst = worst == null || result.worst() > worst.worst() ? result : worst;
            sentShare += result.sentCold() / SEEDS;
        }
        System.out.printf(
                "cold fleet %s: worst window %d sent, %.1f allowed, %.2f of the slack; sent of asked %.2f%n",
                parameters, worst.sent(), worst.allowed(), worst.worst(), sentShare);
        assertTrue(worst.worst() <= 1, parameters + ": " + worst);
    }
}
