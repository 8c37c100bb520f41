package martenslip;

import static martenslip.ExchangeFixture.CHEAP;
import static martenslip.ExchangeFixture.URGENT;
import static martenslip.ExchangeFixture.at;
import static martenslip.ExchangeFixture.contact;
import static martenslip.ExchangeFixture.switchEntry;
import static martenslip.ExchangeFixture.transitContact;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import martenslip.control.Contact;
import martenslip.control.Controller.ListKind;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import martenslip.control.SwitchEntry.State;
import org.testng.annotations.Test;

/** Decisions of the routing policy, event by event, on simulated time. */
public class RoutingPolicyTest {
    private static RingEnd end(long contact, int ring, RingEndCause cause, RejectionReason reason) {
        return new RingEnd(contact, ring, 101, cause, reason, Span.ofMillis(10), false, new float[0]);
    }

    private static RoutingPolicy.CircuitRequest circuitRequest(ExchangeFixture exchange, int skill, int width) {
        Contact contact = new Contact(1, skill, 0, 1, -1, width, Span.ofMillis(3000), false, false, false);
        return exchange.circuitRequest(contact);
    }

    @Test
    public void ringsDirectlyWhileTheGroupHasCircuits() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        exchange.policy.contactOffered(at(1), contact(1, CHEAP, 3));
        assertEquals(exchange.takeOrders(), List.of("ring 1 101"));
    }

    @Test
    public void ringsTandemWhenTheDirectGroupIsFull() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40).reportGroup(1, 0, 40);
        exchange.policy.contactOffered(at(1), contact(1, URGENT, 3));
        List<String> orders = exchange.takeOrders();
        assertTrue(orders.equals(List.of("ring 1 102")) || orders.equals(List.of("ring 1 103")), orders.toString());
    }

    @Test
    public void transitContactIsRungOrDeferredAtOnce() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        exchange.policy.contactOffered(at(1), transitContact(1, CHEAP));
        assertEquals(exchange.takeOrders(), List.of("ring 1 101"));
        exchange.reportGroup(1, 1, 40);
        exchange.policy.contactOffered(at(1), transitContact(2, CHEAP));
        assertEquals(exchange.takeOrders(), List.of("defer 2"));
    }

    @Test
    public void sharesApplyOnlyNearFullGroup() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        RoutingPolicy.Switch group = exchange.policy.switchById(101);
        group.urgentDemand.add(16, Span.ZERO, at(0));
        assertTrue(group.demandStage() >= 2);
        assertNull(group.checkGroup(circuitRequest(exchange, CHEAP, 1), false));
        exchange.reportGroup(1, 1, 40);
        assertEquals(
                group.checkGroup(circuitRequest(exchange, CHEAP, 1), false), RoutingPolicy.DenialReason.SHARE_EXCEEDED);
        assertNull(group.checkGroup(circuitRequest(exchange, URGENT, 1), false));
    }

    @Test
    public void contactWidthCountsTowardTheShare() {
        ExchangeFixture exchange = new ExchangeFixture().ready(1, 40);
        RoutingPolicy.Switch group = exchange.policy.switchById(101);
        group.urgentDemand.add(10, Span.ZERO, at(0));
        double limit = exchange.policy.skillShare(CHEAP, group.demandStage()) * 40;
        group.heldBySkill[URGENT] = 40 - 1 - (int) limit;
        group.freeCircuits = 1;
        assertEquals(group.occupiedCircuits(CHEAP), (int) limit);
        assertEquals(
                group.checkGroup(circuitRequest(exchange, CHEAP, 1), false), RoutingPolicy.DenialReason.SHARE_EXCEEDED);
        group.heldBySkill[URGENT]++;
        assertNull(group.checkGroup(circuitRequest(exchange, CHEAP, 1), false));
        group.freeCircuits = 2;
        group.heldBySkill[URGENT]--;
        assertEquals(
                group.checkGroup(circuitRequest(exchange, CHEAP, 2), false), RoutingPolicy.DenialReason.SHARE_EXCEEDED);
    }

    @Test
    public void cheapShareShrinksAtHigherStages() {
        ExchangeFixture exchange = new ExchangeFixture().ready(1, 40);
        for (int stage = 1; stage < RoutingPolicy.STAGE_SHARES.length; stage++) {
            assertTrue(exchange.policy.skillShare(CHEAP, stage) < exchange.policy.skillShare(CHEAP, stage - 1));
        }
    }

    @Test
    public void urgentDemandDecays() {
        RoutingPolicy.DecayingHistogram count =
                new RoutingPolicy.DecayingHistogram(1, Span.ofMillis(1000), Span.ofMillis(1000), at(0));
        count.add(8, Span.ZERO, at(0.5));
        assertEquals(count.mean(at(0.9)), 8.0);
        assertEquals(count.mean(at(3.5)), 4 / (3 * (0.5 + 0.5 / 3)), 1e-9);
        assertEquals(count.mean(at(90)), 0.0);
    }

    @Test
    public void redialsCountOnceAsUrgentDemand() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        for (long id = 1; id < 4; id++) {
            exchange.policy.contactOffered(
                    at(1 + 2 * id), new Contact(id, URGENT, 77, 1, -1, 1, Span.ofMillis(1000), false, false, false));
            exchange.policy.callerGone(at(2 + 2 * id), id);
        }
        assertEquals(exchange.policy.switchById(101).urgentDemand.binCounts[0], 1.0);
    }

    @Test
    public void cheapRedialPastItsTargetIsDeferredNearFull() {
        ExchangeFixture exchange = new ExchangeFixture().ready(2, 40);
        for (long id = 1; id < 3; id++) {
            exchange.policy.contactOffered(
                    at(2 * id), new Contact(id, CHEAP, 77, 1, -1, 1, Span.ofMillis(1500), false, false, false));
            exchange.policy.timerExpired(at(2 * id + 1.5), 2 * id);
            exchange.reportGroup(1, 2, 40);
        }
        assertEquals(exchange.takeOrders(), List.of("ring 1 101", "cancel 1 0", "abandon 1", "defer 2"));
    }

    @Test
    public void givesOneFinalAnswerBeforePatienceEnds() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        exchange.policy.contactOffered(at(1), contact(1, CHEAP, 3));
        exchange.takeOrders();
        exchange.policy.timerExpired(at(3.99), 2);
        assertEquals(exchange.takeOrders(), List.of("cancel 1 0", "abandon 1"));
        exchange.policy.ringEnded(at(4.02), end(1, 0, RingEndCause.CALLED_OFF, RejectionReason.NONE));
        exchange.policy.timerExpired(at(5), 2);
        assertEquals(exchange.takeOrders(), List.of());
    }

    @Test
    public void noSecondRingWhileOneIsInFlight() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        exchange.policy.contactOffered(at(1), contact(1, URGENT, 3));
        exchange.takeOrders();
        exchange.policy.timerExpired(at(1.8), 2);
        exchange.policy.switchById(101).retryWaitingRequests();
        assertEquals(exchange.takeOrders(), List.of());
    }

    @Test
    public void waitsForTheReleaseTimeAfterACut() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        exchange.policy.contactOffered(at(1), contact(1, URGENT, 3));
        exchange.policy.ringEnded(at(1.1), end(1, 0, RingEndCause.CUT, RejectionReason.NONE));
        exchange.takeOrders();
        exchange.policy.timerExpired(at(1.6), 2);
        assertEquals(exchange.takeOrders(), List.of());
        exchange.policy.timerExpired(at(1.606), 2);
        assertEquals(exchange.takeOrders(), List.of("ring 1 101"));
    }

    @Test
    public void drainingSwitchGetsNoNewContacts() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        exchange.policy.switchListReceived(at(1), ListKind.CHANGES, List.of(switchEntry(1, State.DRAINING, null)));
        exchange.policy.contactOffered(at(1), contact(1, URGENT, 3));
        assertEquals(exchange.takeOrders(), List.of("defer 1"));
        exchange.policy.switchListReceived(
                at(1),
                ListKind.FULL,
                List.of(
                        switchEntry(0, State.READY, null),
                        switchEntry(1, State.READY, null),
                        switchEntry(2, State.READY, null)));
        exchange.reportGroup(1, 0, 40);
        exchange.policy.contactOffered(at(2), contact(2, URGENT, 3));
        assertEquals(exchange.takeOrders(), List.of("ring 2 102"));
    }

    @Test
    public void routesContactsWhileTheHomeSwitchDrains() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        exchange.policy.switchListReceived(at(1), ListKind.CHANGES, List.of(switchEntry(0, State.DRAINING, null)));
        exchange.policy.contactOffered(at(1), contact(1, CHEAP, 3));
        assertEquals(exchange.takeOrders(), List.of("ring 1 101"));
    }

    @Test
    public void replacementSwitchTakesTheNumber() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        exchange.policy.switchListReceived(
                at(1),
                ListKind.CHANGES,
                List.of(
                        switchEntry(1, State.GONE, null),
                        new martenslip.control.SwitchEntry(900, 1, State.READY, null, 0)));
        assertEquals(exchange.policy.switchByNumber(1).id, 900);
    }

    @Test
    public void coldSwitchGetsOnlyItsShare() {
        ExchangeFixture exchange = new ExchangeFixture().ready(40, 40);
        exchange.policy.switchListReceived(at(20), ListKind.CHANGES, List.of(switchEntry(1, State.READY, at(20))));
        for (int id = 1; id <= 40; id++) {
            exchange.policy.contactOffered(at(20 + id * 0.05), contact(id, CHEAP, 3));
        }
        assertTrue(exchange.takeOrders().stream()
                        .filter(order -> order.startsWith("ring"))
                        .count()
                <= 2);
    }

    @Test
    public void sendersWithSmallSharesReachAColdSwitch() {
        int rings = 0;
        for (int seed = 0; seed < 40; seed++) {
            ExchangeFixture exchange = new ExchangeFixture().ready(40, 40);
            exchange.policy = new RoutingPolicy(exchange.settings, seed, at(0), exchange);
            exchange.policy.switchListReceived(
                    at(20),
                    ListKind.FULL,
                    List.of(switchEntry(0, State.READY, null), switchEntry(1, State.READY, at(20))));
            exchange.reportGroup(1, 40, 40);
            exchange.policy.contactOffered(at(21), contact(1, CHEAP, 3));
            rings += exchange.takeOrders().contains("ring 1 101") ? 1 : 0;
        }
        assertTrue(rings > 2 && rings < 20, "" + rings);
    }

    @Test
    public void replacementSwitchKeepsTandemWeights() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        exchange.policy.switchById(101).tandemGroupReported(2, false);
        exchange.policy.switchListReceived(
                at(1), ListKind.CHANGES, List.of(new martenslip.control.SwitchEntry(900, 1, State.READY, at(1), 0)));
        assertEquals(exchange.policy.switchById(900).tandemWeight(exchange.policy.switchById(102)), 0.0);
    }

    @Test
    public void overloadRejectsCheapContactsAndOldReportsDecay() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        RoutingPolicy.Switch group = exchange.policy.switchById(101);
        exchange.policy.switchReported(at(1), 101, true, Span.ZERO, new float[] {20, 40, 0.8f});
        assertEquals(group.rejectionShare(circuitRequest(exchange, CHEAP, 1).skill(), 0), 0.8, 1e-6);
        assertEquals(group.rejectionShare(circuitRequest(exchange, URGENT, 1).skill(), 0), 0.0);
        exchange.policy.stopped(at(6));
        assertTrue(group.rejectionShare(circuitRequest(exchange, CHEAP, 1).skill(), 0) < 0.05);
    }

    @Test
    public void jammedProcessorGetsNoUrgentContactsEither() {
        ExchangeFixture exchange = new ExchangeFixture();
        exchange.settings.put("report.fields", "spare,total,depth,allowed");
        exchange.ready(20, 40);
        exchange.policy.switchReported(at(0), 101, true, Span.ZERO, new float[] {20, 40, 1, 14});
        assertEquals(
                exchange.policy
                        .switchById(101)
                        .rejectionShare(circuitRequest(exchange, CHEAP, 1).skill(), 0),
                0.0);
        exchange.policy.switchReported(at(1), 101, true, Span.ZERO, new float[] {20, 40, 90, 0.3f});
        exchange.policy.contactOffered(at(1), contact(1, URGENT, 3));
        assertEquals(exchange.takeOrders(), List.of("defer 1"));
    }

    @Test
    public void silentSwitchGetsTrialsOnly() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        for (int id = 1; id < 4; id++) {
            exchange.policy.contactOffered(at(1), contact(id, CHEAP, 9));
        }
        exchange.policy.stopped(at(8));
        RoutingPolicy.Switch group = exchange.policy.switchById(101);
        assertTrue(group.isSilent());
        assertFalse(exchange.policy.switchById(102).isSilent());
        assertNull(group.checkProcessor(circuitRequest(exchange, URGENT, 1)));
        assertEquals(
                group.checkProcessor(circuitRequest(exchange, URGENT, 1)),
                RoutingPolicy.DenialReason.SWITCH_UNAVAILABLE);
    }

    @Test
    public void contactDeniedByTheHomeSwitchRetriesWithinItsTarget() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        exchange.policy.contactOffered(at(1), contact(1, CHEAP, 3));
        RoutingPolicy.OpenContact openContact = new RoutingPolicy.OpenContact(
                contact(2, CHEAP, 3), circuitRequest(exchange, CHEAP, 1).skill(), at(4), at(1), at(1));
        exchange.policy.contactManager.openContacts.put(2L, openContact);
        exchange.takeOrders();
        exchange.policy.contactManager.circuitDenied(openContact, true);
        assertEquals(exchange.takeOrders(), List.of());
        exchange.policy.stopped(at(1.4));
        exchange.policy.contactManager.circuitDenied(openContact, true);
        assertEquals(exchange.takeOrders(), List.of("defer 2"));
    }

    @Test
    public void switchStaysSilentAfterTimeoutUntilASetUpSucceeds() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        RoutingPolicy.Switch group = exchange.policy.switchById(101);
        exchange.policy.contactOffered(at(1), contact(1, CHEAP, 3));
        exchange.policy.contactOffered(at(1), contact(2, CHEAP, 3));
        exchange.policy.ringEnded(at(4), end(1, 0, RingEndCause.TIMED_OUT, RejectionReason.NONE));
        exchange.policy.ringEnded(at(4), end(2, 0, RingEndCause.CONCLUDED, RejectionReason.NONE));
        assertTrue(group.isSilent());
        exchange.policy.established(at(5), 3, 0, 101, Span.ofMillis(100));
        assertFalse(group.isSilent());
    }

    @Test
    public void turnBackLowersTandemWeightAndTimeRestoresIt() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        RoutingPolicy.Switch group = exchange.policy.switchById(101);
        RoutingPolicy.Switch tandem = exchange.policy.switchById(102);
        group.updateTandemWeight(tandem, true);
        group.updateTandemWeight(tandem, false);
        group.updateTandemWeight(tandem, false);
        double low = group.tandemWeight(tandem);
        assertTrue(low < RoutingPolicy.INITIAL_WEIGHT);
        group.updateTandemWeight(tandem, true);
        assertTrue(group.tandemWeight(tandem) > low);
        exchange.policy.stopped(at(500));
        assertTrue(group.tandemWeight(tandem) > 0.95);
    }

    @Test
    public void skillUsesOnlyItsPools() {
        ExchangeFixture exchange = new ExchangeFixture();
        exchange.settings.put("family-info.class-cells.1", "1,3");
        exchange.ready(20, 40).reportGroup(1, 0, 40);
        exchange.policy.contactOffered(at(1), contact(1, URGENT, 3));
        assertEquals(exchange.takeOrders(), List.of("ring 1 103"));
    }

    @Test
    public void failedSubscriptionIsRenewed() {
        ExchangeFixture exchange = new ExchangeFixture();
        exchange.settings.put("discovery", "subscribe");
        exchange.ready(20, 40).policy.switchListReceived(at(1), ListKind.FAILED, List.of());
        assertEquals(exchange.takeOrders(), List.of("watch true", "watch true"));
    }

    @Test
    public void triesEachTandemOnceWithoutADirectGroup() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40).reportGroup(1, 0, 0);
        exchange.policy.contactOffered(at(1), contact(1, CHEAP, 3));
        exchange.policy.ringEnded(at(1.1), end(1, 0, RingEndCause.TURNED_BACK, RejectionReason.TANDEM));
        exchange.policy.timerExpired(at(1.11), 2);
        List<String> orders = exchange.takeOrders();
        assertTrue(orders.containsAll(List.of("ring 1 102", "ring 1 103")), orders.toString());
    }

    @Test
    public void advisedTandemIsDrawnFirst() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40).reportGroup(1, 0, 0);
        exchange.policy.switchById(101).tandemGroupReported(3, true);
        exchange.policy.stopped(at(500));
        Contact advised = new Contact(1, CHEAP, 0, 1, 3, 1, Span.ofMillis(3000), false, false, false);
        assertEquals(
                exchange.policy
                        .switchById(101)
                        .drawTandems(exchange.circuitRequest(advised))
                        .get(0)
                        .number,
                3);
    }

    @Test
    public void peerNoteSetsTandemWeights() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40).reportGroup(1, 0, 0);
        exchange.policy.peerNoteReceived(at(1), 2, new byte[] {0, 2, 1 | 1 << 3});
        assertEquals(
                exchange.policy
                        .switchById(101)
                        .drawTandems(exchange.circuitRequest(contact(1, CHEAP, 3)))
                        .size(),
                1);
        exchange.policy.peerNoteReceived(at(3), 2, new byte[0]);
    }

    @Test
    public void wideContactDrawsAllTandemsOnEachTry() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40).reportGroup(1, 3, 40);
        assertEquals(
                exchange.policy
                        .switchById(101)
                        .drawTandems(circuitRequest(exchange, CHEAP, 4))
                        .size(),
                2);
        assertEquals(
                exchange.policy
                        .switchById(101)
                        .drawTandems(circuitRequest(exchange, CHEAP, 4).asRetry())
                        .size(),
                2);
        assertEquals(
                exchange.policy
                        .switchById(101)
                        .drawTandems(circuitRequest(exchange, CHEAP, 1))
                        .size(),
                1);
        assertEquals(
                exchange.policy
                        .switchById(101)
                        .drawTandems(circuitRequest(exchange, CHEAP, 1).asRetry())
                        .size(),
                0);
    }

    @Test
    public void contactWithoutGroupOrTandemIsDeferredAtOnce() {
        ExchangeFixture exchange = new ExchangeFixture().ready(0, 0);
        exchange.policy.contactOffered(at(1), contact(1, CHEAP, 3));
        assertEquals(exchange.takeOrders(), List.of("defer 1"));
    }

    @Test
    public void answerOfASilentSwitchAllowsTrialsInItsZone() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        RoutingPolicy.Switch group = exchange.policy.switchById(101);
        RoutingPolicy.Switch other = exchange.policy.switchById(102);
        group.unresponsive = true;
        other.nextTrialAt = at(60);
        exchange.policy.established(at(5), 3, 0, 101, Span.ofMillis(100));
        assertTrue(other.nextTrialAt.before(at(5)));
    }

    @Test
    public void reportedButUnlistedSwitchHasNoNumber() {
        ExchangeFixture exchange = new ExchangeFixture().ready(20, 40);
        exchange.policy.switchReported(at(1), 900, true, Span.ZERO, new float[] {5, 9, -1});
        exchange.policy.switchListReceived(
                at(2), ListKind.FULL, List.of(switchEntry(0, State.READY, null), switchEntry(1, State.READY, null)));
        exchange.policy.peerNoteReceived(at(3), 2, new byte[] {0, 2, 1});
        exchange.policy.contactOffered(at(4), contact(1, CHEAP, 3));
        assertNull(exchange.policy.switchByNumber(-1));
    }

    @Test
    public void sameEventsGiveSameOrders() {
        List<List<String>> runs = new java.util.ArrayList<>();
        for (int run = 0; run < 2; run++) {
            ExchangeFixture exchange = new ExchangeFixture().ready(20, 40).reportGroup(1, 0, 40);
            for (int id = 1; id < 30; id++) {
                exchange.policy.contactOffered(at(1 + id * 0.1), contact(id, id % 2, 3));
            }
            runs.add(List.copyOf(exchange.orderLines));
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    /** Only the oldest entries are checked for expiry, so entries must stay in order of time. */
    @Test
    public void firstTryTimesExpireAfterTheMaximumPatience() {
        ExchangeFixture exchange = new ExchangeFixture().ready(9, 9);
        Contact first = new Contact(1, ExchangeFixture.CHEAP, 77, 1, -1, 1, Span.ofMillis(500), false, false, false);
        Contact second = new Contact(2, ExchangeFixture.CHEAP, 78, 1, -1, 1, Span.ofMillis(500), false, false, false);
        exchange.policy.contactOffered(ExchangeFixture.at(0), first);
        exchange.policy.contactOffered(ExchangeFixture.at(5), second);
        Contact redial = new Contact(3, ExchangeFixture.CHEAP, 77, 1, -1, 1, Span.ofMillis(500), true, false, false);
        exchange.policy.contactOffered(ExchangeFixture.at(8), redial);
        assertEquals(List.copyOf(exchange.policy.contactManager.firstTryByNumber.keySet()), List.of(77L, 78L));
        exchange.policy.contactOffered(
                ExchangeFixture.at(9.5),
                new Contact(4, ExchangeFixture.CHEAP, 79, 1, -1, 1, Span.ofMillis(500), false, false, false));
        assertEquals(List.copyOf(exchange.policy.contactManager.firstTryByNumber.keySet()), List.of(78L, 79L));
    }

    /** Guards against a table that grows with the rate of numbers called (review/6). */
    @Test
    public void theFirstTriesThatAreRememberedAreBounded() {
        ExchangeFixture exchange = new ExchangeFixture().ready(0, 40);
        for (int i = 1; i <= RoutingPolicy.MAX_FIRST_TRIES + 100; i++) {
            exchange.policy.contactOffered(
                    at(1), new Contact(i, CHEAP, i, 1, -1, 1, Span.ofMillis(3000), false, true, false));
            exchange.policy.contactOffered(
                    at(1), new Contact(-i, CHEAP, i, 1, -1, 1, Span.ofMillis(3000), false, false, false));
        }
        assertEquals(exchange.policy.contactManager.firstTryByNumber.size(), RoutingPolicy.MAX_FIRST_TRIES);
    }
}
