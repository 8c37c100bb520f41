package martenslip.platform.contact;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import martenslip.platform.contact.NamedContacts.NamedContact;
import org.testng.annotations.Test;

/** Which contact gives way where callers name more than is kept. */
public class NamedContactsTest {
    private static final long SWITCH = 1;
    private static final long OTHER_SWITCH = 2;
    private static final long GENUINE = 1;
    private static final long HOSTILE = 2;
    private static final int GROUP_SIZE = 150;

    private static NamedContacts newContacts() {
        return new NamedContacts(switchId -> GROUP_SIZE);
    }

    private static NamedContact contact(String tag, long switchId, long connectionId) {
        return new NamedContact(tag, "00000000000000aa", switchId, connectionId);
    }

    @Test
    public void aFloodOfNamingsDisplacesItsOwnAndNotThoseOfOthers() {
        NamedContacts named = newContacts();
        for (int i = 0; i < 200; i++) {
            assertNull(named.add(contact("genuine " + i, SWITCH, GENUINE)));
        }
        for (int i = 0; i < NamedContacts.MAX_COUNT - 200; i++) {
            assertNull(named.add(contact("hostile " + i, SWITCH, HOSTILE)));
        }
        for (int i = 0; i < 1000; i++) {
            assertEquals(named.add(contact("late " + i, SWITCH, HOSTILE)).tag(), "hostile " + i);
        }
        assertEquals(named.count(), NamedContacts.MAX_COUNT);
        assertEquals(named.add(contact("genuine, later", SWITCH, GENUINE)).tag(), "hostile 1000");
    }

    /**
     * Guards against review/9: namings on many connections, each with fewer than a usual client has calls, displaced the
     * usual client's at another switch.
     */
    @Test
    public void namingsBeyondTheCircuitsOfASwitchDisplaceNoneOfAnother() {
        NamedContacts named = newContacts();
        for (int i = 0; i < 60; i++) {
            assertNull(named.add(contact("genuine " + i, SWITCH, GENUINE)));
        }
        for (int i = 0; i < 2 * NamedContacts.MAX_COUNT; i++) {
            named.add(contact("hostile " + i, OTHER_SWITCH, 100 + i % 500));
        }
        assertEquals(named.count(), NamedContacts.MAX_COUNT);
        for (int i = 0; i < 60; i++) {
            assertNotNull(named.get("genuine " + i));
        }
    }

    @Test
    public void whatHasEndedMakesRoom() {
        NamedContacts named = newContacts();
        named.add(contact("a", SWITCH, GENUINE));
        assertEquals(named.remove("a"), contact("a", SWITCH, GENUINE));
        assertNull(named.remove("a"));
        assertEquals(named.count(), 0);
        assertEquals(named.countAt(SWITCH), 0);
    }

    @Test
    public void theContactsOfOneSwitchAreTakenTogether() {
        NamedContacts named = newContacts();
        named.add(contact("a", SWITCH, GENUINE));
        named.add(contact("b", SWITCH, HOSTILE));
        named.add(contact("c", OTHER_SWITCH, GENUINE));
        assertEquals(named.removeAllAt(SWITCH).size(), 2);
        assertEquals(named.count(), 1);
        assertNotNull(named.get("c"));
    }
}
