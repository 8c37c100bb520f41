package martenslip.play;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import martenslip.Logic;
import martenslip.control.Span;
import martenslip.exchange.Exchange;
import martenslip.proof.Verdict;
import martenslip.sip.transport.Hop;
import martenslip.standin.Tally.End;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Whole exchanges with several lanes over real sockets, with threads that stall. */
public class LanesTest {
    private static final Span UNIT = Span.ofMillis(2);
    /** Longer than any test: a thread that never comes back. */
    private static final Span FOR_GOOD = Span.ofMillis(60_000);

    private static void kept(SmallWorld world) throws Exception {
        for (int rule = 1; rule <= 5; rule++) {
            Verdict verdict = world.verdict(rule);
            assertTrue(verdict.kept(), verdict.toString());
        }
    }

    @DataProvider
    public Object[][] lanes() {
        return new Object[][] {{Hop.Kind.UDP, 2}, {Hop.Kind.TCP, 3}, {Hop.Kind.UDP, 4}};
    }

    @Test(dataProvider = "lanes")
    public void contactsOfAllLanesStandAndGiveAllBack(Hop.Kind kind, int lanes) throws Exception {
        SmallWorld world = new SmallWorld(kind, UNIT, Logic::new, lanes);
        for (int i = 0; i < 60; i++) {
            world.callers.dial(i % 3, (i + 1) % 3, 0);
        }
        SmallWorld.await(() -> world.ended() == 60, "all ended");
        assertEquals(world.tally(End.IN_TARGET), 60);
        SmallWorld.await(() -> world.trunks.used() == 0, "circuits given back");
        SmallWorld.await(() -> world.exchanges.stream().allMatch(one -> one.onRoll() == 0), "nothing on the roll");
        kept(world);
    }

    @DataProvider
    public Object[][] stalls() {
        Span two = Span.ofMillis(2000);
        return new Object[][] {
            {Hop.Kind.UDP, 1, 0, "INVITE ", two},
            {Hop.Kind.UDP, 1, 0, null, FOR_GOOD},
            {Hop.Kind.UDP, 3, 1, "SIP/2.0 200", two},
            {Hop.Kind.UDP, 3, 1, "INVITE ", FOR_GOOD},
            {Hop.Kind.TCP, 3, 1, "ACK ", two},
            {Hop.Kind.TCP, 3, 0, "BYE ", FOR_GOOD},
            {Hop.Kind.UDP, 3, 0, null, two},
            {Hop.Kind.UDP, 3, 3, null, two},
            {Hop.Kind.TCP, 3, 3, null, FOR_GOOD}
        };
    }

    /** Place 3 of 3 lanes is the decider. Contacts come before, while and after the thread hangs. */
    @Test(dataProvider = "stalls")
    public void aThreadThatStallsCostsNoContact(Hop.Kind kind, int lanes, int place, String amid, Span span)
            throws Exception {
        SmallWorld world = new SmallWorld(kind, UNIT, Logic::new, lanes);
        Exchange exchange = world.exchanges.get(0);
        for (int i = 0; i < 20; i++) {
            world.callers.dial(0, 1 + i % 2, 0);
        }
        SmallWorld.await(() -> world.callers.standing() > 5, "some stand");
        exchange.plant(place, span, amid);
        int dialled = 20;
        long end = System.nanoTime() + 20_000_000_000L;
        while (exchange.replaced() == 0 && System.nanoTime() < end) {
            world.callers.dial(0, 1 + dialled % 2, 0);
            dialled++;
            Thread.sleep(10);
        }
        assertTrue(exchange.replaced() > 0, "never replaced");
        for (int i = 0; i < 20; i++) {
            world.callers.dial(0, 1 + i % 2, 0);
        }
        int all = dialled + 20;
        SmallWorld.await(() -> world.ended() == all, "all ended");
        assertEquals(world.tally(End.NO_ANSWER) + world.tally(End.GAVE_UP), 0);
        assertTrue(world.tally(End.IN_TARGET) >= all * 0.9, world.tally(End.IN_TARGET) + " of " + all);
        SmallWorld.await(() -> world.trunks.used() == 0, "circuits given back");
        SmallWorld.await(() -> exchange.onRoll() == 0, "nothing on the roll");
        kept(world);
    }

    /** The thread hangs with a ring in its hand, which is given up and answered without it before it wakes. */
    @Test
    public void whatAStalledThreadStillHoldsReachesNobody() throws Exception {
        SmallWorld world = new SmallWorld(Hop.Kind.UDP, UNIT, Logic::new, 2);
        Exchange exchange = world.exchanges.get(0);
        world.wires.get(1).silent(true);
        exchange.plant(0, Span.ofMillis(3500), "INVITE ");
        exchange.plant(1, Span.ofMillis(3500), "INVITE ");
        long due = System.nanoTime() + 4_000_000_000L;
        world.callers.dial(0, 1, 0);
        SmallWorld.await(() -> world.ended() == 1, "ended");
        assertEquals(world.tally(End.NO_ANSWER), 0);
        SmallWorld.await(() -> System.nanoTime() > due, "the thread awake again");
        kept(world);
    }
}
