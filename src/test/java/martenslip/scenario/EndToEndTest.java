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

/** Callers, controllers and switches over loopback; then each rule with a fault planted in a controller. */
public class EndToEndTest {
    private static final Span UNIT = Span.ofMillis(2);

    @DataProvider
    public Object[][] transports() {
        return new Object[][] {{Hop.Protocol.UDP}, {Hop.Protocol.TCP}};
    }

    @Test(dataProvider = "transports")
    public void contactsStandAndGiveAllBack(Hop.Protocol kind) throws Exception {
        ThreeExchangeEnvironment world = new ThreeExchangeEnvironment(kind, UNIT, RoutingPolicy::new);
        for (int i = 0; i < 30; i++) {
            world.callers.dial(i % 3, (i + 1) % 3, 0);
        }
        ThreeExchangeEnvironment.await(() -> world.ended() == 30, "all ended");
        assertEquals(world.tally(CallOutcome.IN_TARGET), 30);
        ThreeExchangeEnvironment.await(() -> world.trunks.circuitsInUse() == 0, "circuits given back");
        for (int rule = 1; rule <= 5; rule++) {
            RuleResult verdict = world.verdict(rule);
            assertTrue(verdict.passed(), verdict.toString());
        }
    }

    @Test
    public void aFullGroupIsGoneRoundByATandem() throws Exception {
        try (ThreeExchangeEnvironment world =
                new ThreeExchangeEnvironment(Hop.Protocol.UDP, UNIT, RoutingPolicy::new)) {
            world.trunks.reduceCircuits("g-0-1", 0);
            ThreeExchangeEnvironment.await(
                    () -> world.exchanges.get(0).freeCircuits(1) == 0, "the group known as full");
            world.callers.dial(0, 1, 0);
            ThreeExchangeEnvironment.await(() -> world.ended() == 1, "ended");
            assertEquals(world.tally(CallOutcome.IN_TARGET), 1);
        }
    }

    @Test
    public void whatAHungSwitchSwallowsIsAnsweredInTime() throws Exception {
        ThreeExchangeEnvironment world = new ThreeExchangeEnvironment(Hop.Protocol.UDP, UNIT, RoutingPolicy::new);
        world.wires.get(1).setSilent(true);
        for (int i = 0; i < 5; i++) {
            world.callers.dial(0, 1, 0);
        }
        ThreeExchangeEnvironment.await(() -> world.ended() == 5, "all ended");
        assertEquals(world.tally(CallOutcome.NO_ANSWER), 0);
        assertTrue(world.verdict(1).passed());
        assertTrue(world.verdict(5).passed());
    }

    /** A module that does what a test says with each contact. */
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

    private static ControllerFactory faulty(java.util.function.Function<Orders, Controller> faulty) {
        return (Map<String, String> settings, long seed, Moment now, Orders orders) ->
                "0".equals(settings.get("family-info.home-no"))
                        ? faulty.apply(orders)
                        : new RoutingPolicy(settings, seed, now, orders);
    }

    private static long id(ThreeExchangeEnvironment world, int exchange) {
        try {
            return martenslip.signaling.EventPackageCodec.switchId(
                    world.machines.get(exchange).address(Hop.Protocol.UDP));
        } catch (martenslip.sip.message.InvalidValueException e) {
            throw new IllegalStateException(e);
        }
    }

    private static final class Holder {
        volatile ThreeExchangeEnvironment world;
    }

    private static RuleResult caught(RuleResult verdict) {
        assertFalse(verdict.passed(), verdict.toString());
        return verdict;
    }

    @Test
    public void rule1CatchesAContactThatIsNeverAnswered() throws Exception {
        ThreeExchangeEnvironment world =
                new ThreeExchangeEnvironment(Hop.Protocol.UDP, UNIT, faulty(orders -> new FaultyController(orders) {}));
        // The caller's own CANCEL would be an answer; this one stays on the line, as its CANCEL is lost. A module that
        // is silent alone is not enough, as the lane has the last word: the whole controller ends amid the contact.
        world.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(() -> world.exchanges.get(0).statistics().contains("taken=1 "), "taken");
        world.wires.get(0).setSilent(true);
        world.exchanges.get(0).close();
        ThreeExchangeEnvironment.await(() -> world.ended() == 1, "the caller gave up");
        long due = System.nanoTime() + 200_000_000;
        ThreeExchangeEnvironment.await(() -> System.nanoTime() > due, "its patience over at the controller too");
        world.callers.dial(1, 2, 0);
        ThreeExchangeEnvironment.await(() -> world.ended() == 2, "a later contact");
        caught(world.verdict(1));
    }

    @Test
    public void aModuleThatNeverAnswersLeavesTheLastWordToTheLane() throws Exception {
        ThreeExchangeEnvironment world =
                new ThreeExchangeEnvironment(Hop.Protocol.UDP, UNIT, faulty(orders -> new FaultyController(orders) {}));
        world.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(() -> world.ended() == 1, "ended");
        assertTrue(
                world.exchanges.get(0).statistics().contains("abandoned=1 "),
                world.exchanges.get(0).statistics());
        RuleResult verdict = world.verdict(1);
        assertTrue(verdict.passed(), verdict.toString());
    }

    @Test
    public void rule2CatchesASecondRingBesideTheFirst() throws Exception {
        Holder holder = new Holder();
        holder.world =
                new ThreeExchangeEnvironment(Hop.Protocol.UDP, UNIT, faulty(orders -> new FaultyController(orders) {
                    @Override
                    public void contactOffered(Moment now, Contact contact) {
                        orders.ring(contact.id(), id(holder.world, 1), contact.patience());
                        InjectedRing.send(holder.world, 0, contact.patience());
                    }
                }));
        holder.world.machines.get(1).setSlowdown(200);
        holder.world.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(() -> holder.world.ended() == 1, "ended");
        caught(holder.world.verdict(2));
    }

    @Test
    public void rule3CatchesARingToADrainedSwitch() throws Exception {
        Holder holder = new Holder();
        holder.world =
                new ThreeExchangeEnvironment(Hop.Protocol.UDP, UNIT, faulty(orders -> new FaultyController(orders) {
                    @Override
                    public void contactOffered(Moment now, Contact contact) {
                        orders.startTimer(Span.ofMillis(500), contact.id());
                    }

                    @Override
                    public void timerExpired(Moment now, long token) {
                        orders.ring(token, id(holder.world, 1), Span.ofMillis(500));
                    }
                }));
        holder.world.list(1, SwitchEntry.State.DRAINING, false);
        holder.world.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(() -> holder.world.ended() == 1, "ended");
        caught(holder.world.verdict(3));
    }

    @Test
    public void rule4CatchesAColdSwitchPushedOver() throws Exception {
        Holder holder = new Holder();
        holder.world = new ThreeExchangeEnvironment(
                Hop.Protocol.UDP, Span.ofMillis(60), faulty(orders -> new FaultyController(orders) {
                    @Override
                    public void contactOffered(Moment now, Contact contact) {
                        orders.ring(contact.id(), id(holder.world, 1), contact.patience());
                    }
                }));
        ThreeExchangeEnvironment world = holder.world;
        world.machines.get(1).restart(lost -> {});
        world.capture.annotation(
                "cold",
                "at=" + world.place(1) + " capacity=" + world.machines.get(1).capacity() + " from=0.3 warm-ms=10000");
        // The own switch would else be the one that turns them away.
        world.machines.get(0).setSlowdown(0.01);
        for (int i = 0; i < 40; i++) {
            world.callers.dial(0, 1, 0);
        }
        ThreeExchangeEnvironment.await(() -> world.machines.get(1).overloaded(), "pushed over");
        caught(world.verdict(4));
    }

    @Test
    public void rule5CatchesARingWithinTheReleaseTime() throws Exception {
        Holder holder = new Holder();
        holder.world =
                new ThreeExchangeEnvironment(Hop.Protocol.UDP, UNIT, faulty(orders -> new FaultyController(orders) {
                    @Override
                    public void contactOffered(Moment now, Contact contact) {
                        orders.ring(contact.id(), id(holder.world, 1), Span.ofMillis(200));
                    }

                    @Override
                    public void ringEnded(Moment now, RingEnd end) {
                        if (end.ring() == 0) {
                            orders.ring(end.contact(), end.target(), Span.ofMillis(200));
                        }
                    }
                }));
        holder.world.machines.get(1).setSlowdown(500);
        holder.world.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(() -> holder.world.ended() == 1, "ended");
        caught(holder.world.verdict(5));
    }
}
