package martenslip.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import martenslip.RoutingPolicy;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.ControllerFactory;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RingEnd;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.sip.transport.Hop;
import martenslip.standin.CallerStatistics.CallOutcome;
import martenslip.verification.RuleResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Callers, controllers and switches over loopback, and whether each rule detects a faulty controller. */
public class EndToEndTest {
    private static final Span SET_UP_TIME = Span.ofMillis(2);

    @DataProvider
    public Object[][] transports() {
        return new Object[][] {{Hop.Protocol.UDP}, {Hop.Protocol.TCP}};
    }

    @Test(dataProvider = "transports")
    public void contactsAreEstablishedAndReleaseTheirCircuits(Hop.Protocol protocol) throws Exception {
        ThreeExchangeEnvironment environment = new ThreeExchangeEnvironment(protocol, SET_UP_TIME, RoutingPolicy::new);
        for (int i = 0; i < 30; i++) {
            environment.callers.dial(i % 3, (i + 1) % 3, 0);
        }
        ThreeExchangeEnvironment.await(() -> environment.endedCount() == 30, "all ended");
        assertEquals(environment.outcomeCount(CallOutcome.IN_TARGET), 30);
        ThreeExchangeEnvironment.await(() -> environment.trunks.circuitsInUse() == 0, "all circuits released");
        for (int rule = 1; rule <= 5; rule++) {
            RuleResult result = environment.result(rule);
            assertTrue(result.passed(), result.toString());
        }
    }

    @Test
    public void fullGroupIsBypassedThroughTandem() throws Exception {
        try (ThreeExchangeEnvironment environment =
                new ThreeExchangeEnvironment(Hop.Protocol.UDP, SET_UP_TIME, RoutingPolicy::new)) {
            environment.trunks.reduceCircuits("g-0-1", 0);
            ThreeExchangeEnvironment.await(
                    () -> environment.exchanges.get(0).freeCircuits(1) == 0, "exchange 0 notified of the full group");
            environment.callers.dial(0, 1, 0);
            ThreeExchangeEnvironment.await(() -> environment.endedCount() == 1, "ended");
            assertEquals(environment.outcomeCount(CallOutcome.IN_TARGET), 1);
        }
    }

    @Test
    public void contactsSentToSilentSwitchAreAnsweredInTime() throws Exception {
        ThreeExchangeEnvironment environment =
                new ThreeExchangeEnvironment(Hop.Protocol.UDP, SET_UP_TIME, RoutingPolicy::new);
        environment.links.get(1).setSilent(true);
        for (int i = 0; i < 5; i++) {
            environment.callers.dial(0, 1, 0);
        }
        ThreeExchangeEnvironment.await(() -> environment.endedCount() == 5, "all ended");
        assertEquals(environment.outcomeCount(CallOutcome.NO_ANSWER), 0);
        assertTrue(environment.result(1).passed());
        assertTrue(environment.result(5).passed());
    }

    /** A controller that does nothing; tests override the events that their fault needs. */
    private abstract static class FaultyController implements Controller {
        final Orders orders;

        FaultyController(Orders orders) {
            this.orders = orders;
            orders.watchSwitchList(true);
        }

        @Override
        public void switchListReceived(Moment now, ListKind kind, List<SwitchEntry> lines) {}

        @Override
        public void contactOffered(Moment now, Contact contact) {}

        @Override
        public void established(Moment now, long contact, int ring, long target, Span took) {}

        @Override
        public void ringEnded(Moment now, RingEnd end) {}

        @Override
        public void callerGone(Moment now, long contact) {}

        @Override
        public void timerExpired(Moment now, long token) {}

        @Override
        public void switchReported(Moment now, long target, boolean reached, Span took, float[] report) {}

        @Override
        public void peerNoteReceived(Moment now, int peer, byte[] note) {}

        @Override
        public void stopped(Moment now) {}
    }

    private static ControllerFactory faultyFactory(java.util.function.Function<Orders, Controller> createController) {
        return (Map<String, String> settings, long seed, Moment now, Orders orders) ->
                "0".equals(settings.get("family-info.home-no"))
                        ? createController.apply(orders)
                        : new RoutingPolicy(settings, seed, now, orders);
    }

    private static long switchId(ThreeExchangeEnvironment environment, int exchange) {
        try {
            return martenslip.signaling.EventPackageCodec.switchId(
                    environment.switches.get(exchange).address(Hop.Protocol.UDP));
        } catch (martenslip.sip.message.InvalidValueException e) {
            throw new IllegalStateException(e);
        }
    }

    private static final class EnvironmentHolder {
        volatile ThreeExchangeEnvironment environment;
    }

    private static RuleResult assertViolated(RuleResult result) {
        assertFalse(result.passed(), result.toString());
        return result;
    }

    @Test
    public void rule1DetectsUnansweredContact() throws Exception {
        ThreeExchangeEnvironment environment = new ThreeExchangeEnvironment(
                Hop.Protocol.UDP, SET_UP_TIME, faultyFactory(orders -> new FaultyController(orders) {}));
        // A module that never answers is not enough, because the lane abandons the contact: the exchange is closed.
        // The caller's CANCEL would lead to a final answer, so the switch's link is silenced and the CANCEL lost.
        environment.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(
                () -> environment.exchanges.get(0).statistics().contains("taken=1 "), "taken");
        environment.links.get(0).setSilent(true);
        environment.exchanges.get(0).close();
        ThreeExchangeEnvironment.await(() -> environment.endedCount() == 1, "the caller's end");
        long patienceEnd = System.nanoTime() + 200_000_000;
        ThreeExchangeEnvironment.await(
                () -> System.nanoTime() > patienceEnd, "the patience ended at the controller too");
        environment.callers.dial(1, 2, 0);
        ThreeExchangeEnvironment.await(() -> environment.endedCount() == 2, "a later contact");
        assertViolated(environment.result(1));
    }

    @Test
    public void laneAbandonsContactThatTheModuleNeverAnswers() throws Exception {
        ThreeExchangeEnvironment environment = new ThreeExchangeEnvironment(
                Hop.Protocol.UDP, SET_UP_TIME, faultyFactory(orders -> new FaultyController(orders) {}));
        environment.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(() -> environment.endedCount() == 1, "ended");
        assertTrue(
                environment.exchanges.get(0).statistics().contains("abandoned=1 "),
                environment.exchanges.get(0).statistics());
        RuleResult result = environment.result(1);
        assertTrue(result.passed(), result.toString());
    }

    @Test
    public void rule2DetectsSecondRingInFlight() throws Exception {
        EnvironmentHolder holder = new EnvironmentHolder();
        holder.environment = new ThreeExchangeEnvironment(
                Hop.Protocol.UDP, SET_UP_TIME, faultyFactory(orders -> new FaultyController(orders) {
                    @Override
                    public void contactOffered(Moment now, Contact contact) {
                        orders.ring(contact.id(), switchId(holder.environment, 1), contact.patience());
                        InjectedRing.send(holder.environment, 0, contact.patience());
                    }
                }));
        holder.environment.switches.get(1).setSlowdown(200);
        holder.environment.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(() -> holder.environment.endedCount() == 1, "ended");
        assertViolated(holder.environment.result(2));
    }

    @Test
    public void rule3DetectsRingToDrainedSwitch() throws Exception {
        EnvironmentHolder holder = new EnvironmentHolder();
        holder.environment = new ThreeExchangeEnvironment(
                Hop.Protocol.UDP, SET_UP_TIME, faultyFactory(orders -> new FaultyController(orders) {
                    @Override
                    public void contactOffered(Moment now, Contact contact) {
                        orders.startTimer(Span.ofMillis(500), contact.id());
                    }

                    @Override
                    public void timerExpired(Moment now, long token) {
                        orders.ring(token, switchId(holder.environment, 1), Span.ofMillis(500));
                    }
                }));
        holder.environment.publishState(1, SwitchEntry.State.DRAINING, false);
        holder.environment.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(() -> holder.environment.endedCount() == 1, "ended");
        assertViolated(holder.environment.result(3));
    }

    @Test
    public void rule4DetectsOverloadOfColdSwitch() throws Exception {
        EnvironmentHolder holder = new EnvironmentHolder();
        holder.environment = new ThreeExchangeEnvironment(
                Hop.Protocol.UDP, Span.ofMillis(60), faultyFactory(orders -> new FaultyController(orders) {
                    @Override
                    public void contactOffered(Moment now, Contact contact) {
                        orders.ring(contact.id(), switchId(holder.environment, 1), contact.patience());
                    }
                }));
        ThreeExchangeEnvironment environment = holder.environment;
        environment.switches.get(1).restart(ignored -> {});
        environment.capture.annotation(
                "cold",
                "at=" + environment.switchHostPort(1) + " capacity="
                        + environment.switches.get(1).capacity() + " from=0.3 warm-ms=10000");
        // Otherwise the originating switch would reject the contacts.
        environment.switches.get(0).setSlowdown(0.01);
        for (int i = 0; i < 40; i++) {
            environment.callers.dial(0, 1, 0);
        }
        ThreeExchangeEnvironment.await(() -> environment.switches.get(1).overloaded(), "switch 1 overloaded");
        assertViolated(environment.result(4));
    }

    @Test
    public void rule5DetectsRingWithinReleaseTime() throws Exception {
        EnvironmentHolder holder = new EnvironmentHolder();
        holder.environment = new ThreeExchangeEnvironment(
                Hop.Protocol.UDP, SET_UP_TIME, faultyFactory(orders -> new FaultyController(orders) {
                    @Override
                    public void contactOffered(Moment now, Contact contact) {
                        orders.ring(contact.id(), switchId(holder.environment, 1), Span.ofMillis(200));
                    }

                    @Override
                    public void ringEnded(Moment now, RingEnd end) {
                        if (end.ring() == 0) {
                            orders.ring(end.contact(), end.target(), Span.ofMillis(200));
                        }
                    }
                }));
        holder.environment.switches.get(1).setSlowdown(500);
        holder.environment.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(() -> holder.environment.endedCount() == 1, "ended");
        assertViolated(holder.environment.result(5));
    }
}
