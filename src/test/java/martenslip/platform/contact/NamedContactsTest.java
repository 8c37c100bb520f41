package martenslip.platform.contact;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import org.testng.annotations.Test;

/** Contacts that callers have named: bounded, and fair between connections. */
public class NamedContactsTest {
    private static final long GENUINE = 1;
    private static final long HOSTILE = 2;

    /** Guards against report 9d16c4, picture (c): namings under ever new ids took memory without end. */
    @Test
    public void aFloodOfNamingsDisplacesItsOwnAndNotThoseOfOthers() {
        NamedContacts named = new NamedContacts();
        for (int i = 0; i < 200; i++) {
            assertNull(named.add("genuine " + i, GENUINE));
        }
        for (int i = 0; i < NamedContacts.MAX_COUNT - 200; i++) {
            assertNull(named.add("hostile " + i, HOSTILE));
        }
        for (int i = 0; i < 1000; i++) {
            assertEquals(named.add("late " + i, HOSTILE), "hostile " + i);
        }
        assertEquals(named.count(), NamedContacts.MAX_COUNT);
        assertEquals(named.add("genuine, later", GENUINE), "hostile 1000");
    }

    @Test
    public void whatHasEndedMakesRoom() {
        NamedContacts named = new NamedContacts();
        named.add("a", GENUINE);
        named.remove("a", GENUINE);
        named.remove("a", GENUINE);
        assertEquals(named.count(), 0);
    }
}
