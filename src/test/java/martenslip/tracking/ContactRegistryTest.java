package martenslip.tracking;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Moment;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ContactRegistryTest {
    private final List<String> heard = new ArrayList<>();
    private ContactRegistry roll;

    @BeforeMethod
    public void begin() {
        heard.clear();
        Map<String, Function<Object[], String>> texts = Map.of(
                "contactOffered",
                values -> "offered " + ((Contact) values[1]).id() + " left "
                        + ((Contact) values[1]).patience().ns() / 1_000_000,
                "ringEnded",
                values -> "ended " + ((RingEnd) values[1]).contact() + " " + ((RingEnd) values[1]).ring() + " "
                        + ((RingEnd) values[1]).cause(),
                "established",
                values -> "stands " + values[1] + " " + values[2]);
        Set<String> methods =
                Stream.of(Controller.class.getMethods()).map(Method::getName).collect(Collectors.toSet());
        assertTrue(methods.containsAll(texts.keySet()), texts.keySet() + ", but there are " + methods);
        Controller module = (Controller) Proxy.newProxyInstance(
                Controller.class.getClassLoader(), new Class<?>[] {Controller.class}, (proxy, method, values) -> {
                    heard.add(texts.getOrDefault(method.getName(), given -> method.getName() + " " + given[1])
                            .apply(values));
                    return null;
                });
        roll = new ContactRegistry(
                module, Span.ofMillis(500), (contact, ring) -> heard.add("call off " + contact + " " + ring));
    }

    private static Moment at(double ms) {
        return new Moment(Span.ofMillis(ms).ns());
    }

    private static Contact contact(long id) {
        return new Contact(id, 0, 77, 1, -1, 1, Span.ofMillis(4000), false, false, false);
    }

    private static RingEnd end(long contact, int ring, RingEndCause cause) {
        return new RingEnd(contact, ring, 9, cause, RejectionReason.NONE, Span.ZERO, false, new float[0]);
    }

    private static ContactRegistry.LaneContact held(
            long id, int rings, int out, boolean stood, boolean answered, Moment heldUntil) {
        return new ContactRegistry.LaneContact(contact(id), at(0), rings, out, 9, stood, answered, heldUntil);
    }

    private List<String> said() {
        List<String> all = List.copyOf(heard);
        heard.clear();
        return all;
    }

    @Test
    public void eachThingIsToldOnceAndTheRollEndsEmpty() {
        roll.contactOffered(at(0), contact(4), 0);
        roll.contactOffered(at(0), contact(4), 0);
        assertEquals(roll.ringOrdered(4, 9), 0);
        assertTrue(roll.ringEnded(at(1), end(4, 0, RingEndCause.TURNED_BACK)));
        assertFalse(roll.ringEnded(at(1), end(4, 0, RingEndCause.TURNED_BACK)));
        assertEquals(roll.ringOrdered(4, 9), 1);
        roll.established(at(2), 4, 0, 9, Span.ZERO);
        roll.established(at(2), 4, 1, 9, Span.ZERO);
        roll.established(at(2), 4, 1, 9, Span.ZERO);
        roll.callerGone(at(3), 4);
        roll.ringEnded(at(4), end(4, 1, RingEndCause.CONCLUDED));
        assertEquals(
                said(), List.of("offered 4 left 4000", "ended 4 0 TURNED_BACK", "stands 4 1", "ended 4 1 CONCLUDED"));
        assertEquals(roll.size(), 0);
        assertEquals(roll.ringOrdered(4, 9), -1);
    }

    @Test
    public void aReplacedLaneTellsWhatWasLost() {
        for (long id = 1; id <= 6; id++) {
            roll.contactOffered(at(0), contact(id), 2);
        }
        roll.contactOffered(at(0), contact(9), 1);
        for (long id = 2; id <= 6; id++) {
            roll.ringOrdered(id, 9);
        }
        said();
        // 1 waits, 2 rings still, 3 stands and 4 timed out unheard, 5's order is in the inbox, 6 is gone altogether.
        roll.reconcileLane(
                at(100),
                2,
                List.of(
                        held(1, 0, -1, false, false, null),
                        held(2, 1, 0, false, false, null),
                        held(3, 1, 0, true, true, null),
                        held(4, 1, -1, false, false, at(90)),
                        held(5, 0, -1, false, false, null),
                        held(7, 0, -1, false, false, null)));
        assertEquals(said(), List.of("stands 3 0", "ended 4 0 TIMED_OUT", "callerGone 6", "ended 6 0 CUT"));
        roll.offerDue(at(100));
        assertEquals(said(), List.of("offered 7 left 3900"), "its offer had been lost");
        assertTrue(roll.ringEnded(at(200), end(5, 0, RingEndCause.TIMED_OUT)));
    }

    @Test
    public void aNewModuleWaitsForTheReleaseOfWhatAnotherSent() {
        roll.reconcileLane(
                at(1000),
                0,
                List.of(
                        held(1, 1, -1, false, false, at(900)),
                        held(2, 2, 1, false, false, null),
                        held(3, 1, 0, true, true, null),
                        held(4, 1, -1, false, true, null),
                        held(5, 0, -1, false, false, null)));
        assertEquals(roll.nextOfferAt(), at(1000));
        roll.offerDue(at(1000));
        assertEquals(said(), List.of("offered 5 left 3000"));
        // 1's ring was given up at 900 and may hold something until 1400.
        roll.offerDue(at(1399));
        assertEquals(said(), List.of());
        roll.offerDue(at(1400));
        assertEquals(said(), List.of("offered 1 left 2600"));
        assertEquals(roll.ringOrdered(1, 9), 1, "the lane's own count goes on");
        roll.ringEnded(at(1500), end(1, 1, RingEndCause.TURNED_BACK));
        assertEquals(said(), List.of("ended 1 0 TURNED_BACK"), "the module's begins at 0");
        // 2's ring is another's: its end is not told, and the contact is offered once it may be sent again.
        roll.ringEnded(at(1600), end(2, 1, RingEndCause.TIMED_OUT));
        roll.offerDue(at(2099));
        assertEquals(said(), List.of());
        roll.offerDue(at(2100));
        assertEquals(said(), List.of("offered 2 left 1900"));
        roll.ringEnded(at(3000), end(3, 0, RingEndCause.CONCLUDED));
        assertEquals(said(), List.of());
    }

    @Test
    public void aCallerWhoGivesUpOnAnothersRingHasItCalledOff() {
        roll.reconcileLane(at(0), 0, List.of(held(2, 2, 1, false, false, null)));
        roll.callerGone(at(10), 2);
        assertEquals(said(), List.of("call off 2 1"));
        roll.ringEnded(at(20), end(2, 1, RingEndCause.CALLED_OFF));
        assertEquals(roll.size(), 0);
        assertEquals(said(), List.of());
    }

    @Test
    public void patienceThatIsOverIsNotOffered() {
        roll.reconcileLane(at(3990), 0, List.of(held(1, 1, -1, false, false, at(3900))));
        roll.offerDue(at(4400));
        assertEquals(said(), List.of());
    }
}
