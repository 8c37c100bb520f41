package martenslip.platform;

import static org.testng.Assert.assertThrows;

import java.io.IOException;
import martenslip.Logic;
import org.testng.annotations.Test;

public class RehearsalTest {
    @Test
    public void theControllerServesItsRehearsal() throws IOException {
        Rehearsal.run(Logic::new);
    }

    @Test
    public void aControllerThatCantBeMadeFailsTheBuild() {
        assertThrows(
                IllegalStateException.class,
                () -> Rehearsal.run((settings, seed, now, orders) -> {
                    throw new IllegalStateException("planted");
                }));
    }
}
