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

/** Notifications of the module by the registry, also after a lane or the module was replaced. */
public class ContactRegistryTest {
    private final List<String> notifications = new ArrayList<>();
    private ContactRegistry registry;

    @BeforeMethod
    public void setUp() {
        notifications.clear();
        Map<String, Function<Object[], String>> descriptions = Map.of(
                "contactOffered",
                values -> "offered " + ((Contact) values[1]).id() + " left "
                        + ((Contact) values[1]).patience().ns() / 1_000_000,
                "ringEnded",
                values -> "ended " + ((RingEnd) values[1]).contact() + " " + ((RingEnd) values[1]).ring() + " "
                        + ((RingEnd) values[1]).cause(),
                "established",
                values -> "established " + values[1] + " " + values[2]);
        Set<String> methods =
                Stream.of(Controller.class.getMethods()).map(Method::getName).collect(Collectors.toSet());
        assertTrue(methods.containsAll(descriptions.keySet()), descriptions.keySet() + ", but there are " + methods);
        Controller module = (Controller) Proxy.newProxyInstance(
                Controller.class.getClassLoader(), new Class<?>[] {Controller.class}, (proxy, method, values) -> {
                    notifications.add(descriptions
                            .getOrDefault(method.getName(), arguments -> method.getName() + " " + arguments[1])
                            .apply(values));
                    return null;
                });
        registry = new ContactRegistry(
                module, Span.ofMillis(500), (contact, ring) -> notifications.add("cancel " + contact + " " + ring));
    }

    private static Moment at(double milliseconds) {
        return new Moment(Span.ofMillis(milliseconds).ns());
    }

    private static Contact contact(long id) {
        return new Contact(id, 0, 77, 1, -1, 1, Span.ofMillis(4000), false, false, false);
    }

    private static RingEnd end(long contact, int ring, RingEndCause cause) {
        return new RingEnd(contact, ring, 9, cause, RejectionReason.NONE, Span.ZERO, false, new float[0]);
    }

    private static ContactRegistry.LaneContact laneContact(
            long id, int ringCount, int inFlightRing, boolean established, boolean answered, Moment heldRingEndedAt) {
        return new ContactRegistry.LaneContact(
                contact(id), at(0), ringCount, inFlightRing, 9, established, answered, heldRingEndedAt);
    }

    private List<String> takeNotifications() {
        List<String> all = List.copyOf(notifications);
        notifications.clear();
        return all;
    }

    @Test
    public void notifiesEachEventOnceAndEndsEmpty() {
        registry.contactOffered(at(0), contact(4), 0);
        registry.contactOffered(at(0), contact(4), 0);
        assertEquals(registry.ringOrdered(4, 9), 0);
        assertTrue(registry.ringEnded(at(1), end(4, 0, RingEndCause.TURNED_BACK)));
        assertFalse(registry.ringEnded(at(1), end(4, 0, RingEndCause.TURNED_BACK)));
        assertEquals(registry.ringOrdered(4, 9), 1);
        registry.established(at(2), 4, 0, 9, Span.ZERO);
        registry.established(at(2), 4, 1, 9, Span.ZERO);
        registry.established(at(2), 4, 1, 9, Span.ZERO);
        registry.callerGone(at(3), 4);
        registry.ringEnded(at(4), end(4, 1, RingEndCause.CONCLUDED));
        assertEquals(
                takeNotifications(),
                List.of("offered 4 left 4000", "ended 4 0 TURNED_BACK", "established 4 1", "ended 4 1 CONCLUDED"));
        assertEquals(registry.size(), 0);
        assertEquals(registry.ringOrdered(4, 9), -1);
    }

    @Test
    public void replacedLaneReportsLostEvents() {
        for (long id = 1; id <= 6; id++) {
            registry.contactOffered(at(0), contact(id), 2);
        }
        registry.contactOffered(at(0), contact(9), 1);
        for (long id = 2; id <= 6; id++) {
            registry.ringOrdered(id, 9);
        }
        takeNotifications();
        // 1 waits; 2 is in flight; the notifications that 3 was established and 4 timed out were lost; the order of 5
        // is
        // in the inbox; the lane no longer has 6.
        registry.reconcileLane(
                at(100),
                2,
                List.of(
                        laneContact(1, 0, -1, false, false, null),
                        laneContact(2, 1, 0, false, false, null),
                        laneContact(3, 1, 0, true, true, null),
                        laneContact(4, 1, -1, false, false, at(90)),
                        laneContact(5, 0, -1, false, false, null),
                        laneContact(7, 0, -1, false, false, null)));
        assertEquals(
                takeNotifications(),
                List.of("established 3 0", "ended 4 0 TIMED_OUT", "callerGone 6", "ended 6 0 CUT"));
        registry.offerDue(at(100));
        assertEquals(takeNotifications(), List.of("offered 7 left 3900"), "the offer was lost");
        assertTrue(registry.ringEnded(at(200), end(5, 0, RingEndCause.TIMED_OUT)));
    }

    @Test
    public void newModuleWaitsForTheReleaseTimeOfForeignRings() {
        registry.reconcileLane(
                at(1000),
                0,
                List.of(
                        laneContact(1, 1, -1, false, false, at(900)),
                        laneContact(2, 2, 1, false, false, null),
                        laneContact(3, 1, 0, true, true, null),
                        laneContact(4, 1, -1, false, true, null),
                        laneContact(5, 0, -1, false, false, null)));
        assertEquals(registry.nextOfferAt(), at(1000));
        registry.offerDue(at(1000));
        assertEquals(takeNotifications(), List.of("offered 5 left 3000"));
        // The ring of 1 ended at 900 ms and may hold circuits until 1400 ms.
        registry.offerDue(at(1399));
        assertEquals(takeNotifications(), List.of());
        registry.offerDue(at(1400));
        assertEquals(takeNotifications(), List.of("offered 1 left 2600"));
        assertEquals(registry.ringOrdered(1, 9), 1, "the lane continues its own numbering");
        registry.ringEnded(at(1500), end(1, 1, RingEndCause.TURNED_BACK));
        assertEquals(takeNotifications(), List.of("ended 1 0 TURNED_BACK"), "the module numbers its rings from 0");
        // The ring of 2 belongs to the previous module: its end is not notified, and the contact is offered once it may
        // be
        // sent again.
        registry.ringEnded(at(1600), end(2, 1, RingEndCause.TIMED_OUT));
        registry.offerDue(at(2099));
        assertEquals(takeNotifications(), List.of());
        registry.offerDue(at(2100));
        assertEquals(takeNotifications(), List.of("offered 2 left 1900"));
        registry.ringEnded(at(3000), end(3, 0, RingEndCause.CONCLUDED));
        assertEquals(takeNotifications(), List.of());
    }

    @Test
    public void callerGoneCancelsAForeignRing() {
        registry.reconcileLane(at(0), 0, List.of(laneContact(2, 2, 1, false, false, null)));
        registry.callerGone(at(10), 2);
        assertEquals(takeNotifications(), List.of("cancel 2 1"));
        registry.ringEnded(at(20), end(2, 1, RingEndCause.CALLED_OFF));
        assertEquals(registry.size(), 0);
        assertEquals(takeNotifications(), List.of());
    }

    @Test
    public void contactWithoutPatienceIsNotOffered() {
        registry.reconcileLane(at(3990), 0, List.of(laneContact(1, 1, -1, false, false, at(3900))));
        registry.offerDue(at(4400));
        assertEquals(takeNotifications(), List.of());
    }
}
