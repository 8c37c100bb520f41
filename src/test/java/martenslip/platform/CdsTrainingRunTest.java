package martenslip.platform;

import static org.testng.Assert.assertThrows;

import java.io.IOException;
import martenslip.RoutingPolicy;
import org.testng.annotations.Test;

/**
 * The training run for the JVM's class archive succeeds with a controller that serves and fails with one that does not.
 */
public class CdsTrainingRunTest {
    @Test
    public void theControllerServesTheTrainingRun() throws IOException {
        CdsTrainingRun.run(RoutingPolicy::new);
    }

    @Test
    public void aControllerThatCantBeMadeFailsTheBuild() {
        assertThrows(
                IllegalStateException.class,
                () -> CdsTrainingRun.run((settings, seed, now, orders) -> {
                    throw new IllegalStateException("injected");
                }));
    }
}
