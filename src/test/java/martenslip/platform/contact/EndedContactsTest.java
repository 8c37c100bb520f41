package martenslip.platform.contact;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.List;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.platform.contact.EndedContacts.EarlyRelease;
import martenslip.platform.contact.EndedContacts.SettledEnd;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The bounds of the ends that are kept, and what is reported when one is reached. */
public class EndedContactsTest {
    private static final Moment START = new Moment(0);
    private static final EarlyRelease RELEASE = new EarlyRelease(7, 40, 16);
    private List<String> givenUp;
    private EndedContacts endedContacts;

    @BeforeMethod
    public void begin() {
        givenUp = new ArrayList<>();
        endedContacts = new EndedContacts((tag, end) -> givenUp.add(tag + " " + end));
    }

    @Test
    public void anEarlyReleaseIsClaimedOnce() {
        endedContacts.releasedBySwitch("a", RELEASE, START);
        assertEquals(endedContacts.unclaimedCount(), 1);
        assertEquals(endedContacts.claimRelease("a", START), RELEASE);
        assertNull(endedContacts.claimRelease("a", START));
        assertEquals(endedContacts.unclaimedCount(), 0);
        assertEquals(givenUp, List.of());
    }

    @Test
    public void anEarlyReleaseThatNobodyClaimsIsReportedWhenItsLifetimeEnds() {
        endedContacts.releasedBySwitch("a", RELEASE, START);
        Moment end = START.plus(EndedContacts.UNCLAIMED_LIFETIME);
        assertNotNull(endedContacts.claimRelease("a", end.plus(Span.ofMillis(-1))));
        endedContacts.releasedBySwitch("b", RELEASE, START);
        assertNull(endedContacts.claimRelease("b", end));
        assertEquals(givenUp, List.of("b " + RELEASE));
    }

    @Test
    public void theOldestEarlyReleaseIsReportedWhenTheTableIsFull() {
        for (int i = 0; i <= EndedContacts.MAX_EARLY_RELEASES; i++) {
            endedContacts.releasedBySwitch("t" + i, RELEASE, START);
        }
        assertEquals(endedContacts.unclaimedCount(), EndedContacts.MAX_EARLY_RELEASES);
        assertEquals(givenUp, List.of("t0 " + RELEASE));
    }

    /** Any caller can send a BYE for an id that does not exist. */
    @Test
    public void aFloodOfByesDisplacesNoRelease() {
        endedContacts.releasedBySwitch("a", RELEASE, START);
        for (int i = 0; i < 10 * EndedContacts.MAX_EARLY_BYES; i++) {
            endedContacts.releasedByCaller("t" + i, START);
        }
        assertEquals(endedContacts.unclaimedCount(), 1 + EndedContacts.MAX_EARLY_BYES);
        assertEquals(endedContacts.claimRelease("a", START), RELEASE);
    }

    @Test
    public void aSettledEndIsForgottenWithoutAReport() {
        SettledEnd end = new SettledEnd(true, 16);
        endedContacts.settled("a", end, START);
        assertEquals(endedContacts.settledEnd("a", START), end);
        assertNull(endedContacts.settledEnd("a", START.plus(EndedContacts.SETTLED_LIFETIME)));
        assertEquals(givenUp, List.of());
    }
}
