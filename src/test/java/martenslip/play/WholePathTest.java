package martenslip.play;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import martenslip.Logic;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Maker;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RingEnd;
import martenslip.control.Span;
import martenslip.control.SwitchLine;
import martenslip.proof.Verdict;
import martenslip.sip.transport.Hop;
import martenslip.standin.Tally.End;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Callers, controllers and switches over loopback; then each rule with a fault planted in a controller. */
public class WholePathTest {
    private static final Span UNIT = Span.ofMillis(2);

    @DataProvider
    public Object[][] transports() {
        return new Object[][] {{Hop.Kind.UDP}, {Hop.Kind.TCP}};
    }

    @Test(dataProvider = "transports")
    public void contactsStandAndGiveAllBack(Hop.Kind kind) throws Exception {
        SmallWorld world = new SmallWorld(kind, UNIT, Logic::new);
        for (int i = 0; i < 30; i++) {
            world.callers.dial(i % 3, (i + 1) % 3, 0);
        }
        SmallWorld.await(() -> world.ended() == 30, "all ended");
        assertEquals(world.tally(End.IN_TARGET), 30);
        SmallWorld.await(() -> world.trunks.used() == 0, "circuits given back");
        for (int rule = 1; rule <= 5; rule++) {
            Verdict verdict = world.verdict(rule);
            assertTrue(verdict.kept(), verdict.toString());
        }
    }

    @Test
    public void aFullGroupIsGoneRoundByATandem() throws Exception {
        try (SmallWorld world = new SmallWorld(Hop.Kind.UDP, UNIT, Logic::new)) {
            world.trunks.keep("g-0-1", 0);
            SmallWorld.await(() -> world.exchanges.get(0).free(1) == 0, "the group known as full");
            world.callers.dial(0, 1, 0);
            SmallWorld.await(() -> world.ended() == 1, "ended");
            assertEquals(world.tally(End.IN_TARGET), 1);
        }
    }

    @Test
    public void whatAHungSwitchSwallowsIsAnsweredInTime() throws Exception {
        SmallWorld world = new SmallWorld(Hop.Kind.UDP, UNIT, Logic::new);
        world.wires.get(1).silent(true);
        for (int i = 0; i < 5; i++) {
            world.callers.dial(0, 1, 0);
        }
        SmallWorld.await(() -> world.ended() == 5, "all ended");
        assertEquals(world.tally(End.NO_ANSWER), 0);
        assertTrue(world.verdict(1).kept());
        assertTrue(world.verdict(5).kept());
    }

    /** A module that does what a test says with each contact. */
    private abstract static class Faulty implements Controller {
        final Orders orders;

        Faulty(Orders orders) {
            this.orders = orders;
            orders.watchList(true);
        }

        @Override
        public void listed(Moment now, ListKind kind, List<SwitchLine> lines) {}

        @Override
        public void offered(Moment now, Contact contact) {}

        @Override
        public void stands(Moment now, long contact, int ring, long target, Span took) {}

        @Override
        public void ringEnded(Moment now, RingEnd end) {}

        @Override
        public void callerGone(Moment now, long contact) {}

        @Override
        public void clockRung(Moment now, long token) {}

        @Override
        public void reported(Moment now, long target, boolean reached, Span took, float[] report) {}

        @Override
        public void peerNote(Moment now, int peer, byte[] note) {}

        @Override
        public void stopped(Moment now) {}
    }

    private static Maker faulty(java.util.function.Function<Orders, Controller> faulty) {
        return (Map<String, String> settings, long seed, Moment now, Orders orders) ->
                "0".equals(settings.get("family-info.home-no"))
                        ? faulty.apply(orders)
                        : new Logic(settings, seed, now, orders);
    }

    private static long id(SmallWorld world, int exchange) {
        try {
            return martenslip.signal.SwitchText.id(world.machines.get(exchange).at(Hop.Kind.UDP));
        } catch (martenslip.sip.message.BadValue e) {
            throw new IllegalStateException(e);
        }
    }

    private static final class Holder {
        volatile SmallWorld world;
    }

    private static Verdict caught(Verdict verdict) {
        assertFalse(verdict.kept(), verdict.toString());
        return verdict;
    }

    @Test
    public void rule1CatchesAContactThatIsNeverAnswered() throws Exception {
        SmallWorld world = new SmallWorld(Hop.Kind.UDP, UNIT, faulty(orders -> new Faulty(orders) {}));
        // The caller's own CANCEL would be an answer; this one stays on the line, as its CANCEL is lost. A module that
        // is silent alone is not enough, as the lane has the last word: the whole controller ends amid the contact.
        world.callers.dial(0, 1, 0);
        SmallWorld.await(() -> world.exchanges.get(0).figures().contains("taken=1 "), "taken");
        world.wires.get(0).silent(true);
        world.exchanges.get(0).close();
        SmallWorld.await(() -> world.ended() == 1, "the caller gave up");
        long due = System.nanoTime() + 200_000_000;
        SmallWorld.await(() -> System.nanoTime() > due, "its patience over at the controller too");
        world.callers.dial(1, 2, 0);
        SmallWorld.await(() -> world.ended() == 2, "a later contact");
        caught(world.verdict(1));
    }

    @Test
    public void aModuleThatNeverAnswersLeavesTheLastWordToTheLane() throws Exception {
        SmallWorld world = new SmallWorld(Hop.Kind.UDP, UNIT, faulty(orders -> new Faulty(orders) {}));
        world.callers.dial(0, 1, 0);
        SmallWorld.await(() -> world.ended() == 1, "ended");
        assertTrue(
                world.exchanges.get(0).figures().contains("abandoned=1 "),
                world.exchanges.get(0).figures());
        Verdict verdict = world.verdict(1);
        assertTrue(verdict.kept(), verdict.toString());
    }

    @Test
    public void rule2CatchesASecondRingBesideTheFirst() throws Exception {
        Holder holder = new Holder();
        holder.world = new SmallWorld(Hop.Kind.UDP, UNIT, faulty(orders -> new Faulty(orders) {
            @Override
            public void offered(Moment now, Contact contact) {
                orders.ring(contact.id(), id(holder.world, 1), contact.patience());
                PlantedRing.send(holder.world, 0, contact.patience());
            }
        }));
        holder.world.machines.get(1).slow(200);
        holder.world.callers.dial(0, 1, 0);
        SmallWorld.await(() -> holder.world.ended() == 1, "ended");
        caught(holder.world.verdict(2));
    }

    @Test
    public void rule3CatchesARingToADrainedSwitch() throws Exception {
        Holder holder = new Holder();
        holder.world = new SmallWorld(Hop.Kind.UDP, UNIT, faulty(orders -> new Faulty(orders) {
            @Override
            public void offered(Moment now, Contact contact) {
                orders.clock(Span.ofMillis(500), contact.id());
            }

            @Override
            public void clockRung(Moment now, long token) {
                orders.ring(token, id(holder.world, 1), Span.ofMillis(500));
            }
        }));
        holder.world.list(1, SwitchLine.State.DRAINING, false);
        holder.world.callers.dial(0, 1, 0);
        SmallWorld.await(() -> holder.world.ended() == 1, "ended");
        caught(holder.world.verdict(3));
    }

    @Test
    public void rule4CatchesAColdSwitchPushedOver() throws Exception {
        Holder holder = new Holder();
        holder.world = new SmallWorld(Hop.Kind.UDP, Span.ofMillis(60), faulty(orders -> new Faulty(orders) {
            @Override
            public void offered(Moment now, Contact contact) {
                orders.ring(contact.id(), id(holder.world, 1), contact.patience());
            }
        }));
        SmallWorld world = holder.world;
        world.machines.get(1).restart(lost -> {});
        world.capture.fact(
                "cold",
                "at=" + world.place(1) + " capacity=" + world.machines.get(1).capacity() + " from=0.3 warm-ms=10000");
        // The own switch would else be the one that turns them away.
        world.machines.get(0).slow(0.01);
        for (int i = 0; i < 40; i++) {
            world.callers.dial(0, 1, 0);
        }
        SmallWorld.await(() -> world.machines.get(1).fallen(), "pushed over");
        caught(world.verdict(4));
    }

    @Test
    public void rule5CatchesARingWithinTheReleaseTime() throws Exception {
        Holder holder = new Holder();
        holder.world = new SmallWorld(Hop.Kind.UDP, UNIT, faulty(orders -> new Faulty(orders) {
            @Override
            public void offered(Moment now, Contact contact) {
                orders.ring(contact.id(), id(holder.world, 1), Span.ofMillis(200));
            }

            @Override
            public void ringEnded(Moment now, RingEnd end) {
                if (end.ring() == 0) {
                    orders.ring(end.contact(), end.target(), Span.ofMillis(200));
                }
            }
        }));
        holder.world.machines.get(1).slow(500);
        holder.world.callers.dial(0, 1, 0);
        SmallWorld.await(() -> holder.world.ended() == 1, "ended");
        caught(holder.world.verdict(5));
    }
}
