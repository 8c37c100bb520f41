package martenslip.sip.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The unsent bytes that connections share. */
public class UnsentBudgetTest {
    /** Guards against report 9d16c4: answers that many clients leave unread took all memory together. */
    @Test
    public void atTheBoundAConnectionMayHaveItsFairShareOnly() {
        UnsentBudget budget = new UnsentBudget(1000, 100);
        assertTrue(budget.reserve(900, 900));
        assertFalse(budget.reserve(101, 101));
        assertTrue(budget.reserve(100, 100));
        budget.release(900);
        assertTrue(budget.reserve(800, 900));
        assertEquals(budget.usedBytes(), 900);
    }
}
