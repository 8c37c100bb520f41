package martenslip.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import martenslip.RoutingPolicy;
import martenslip.control.Span;
import martenslip.exchange.Exchange;
import martenslip.sip.transport.Hop;
import martenslip.standin.CallerStatistics.CallOutcome;
import martenslip.verification.RuleResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Whole exchanges with several lanes over real sockets, with threads that stall. */
public class MultiLaneTest {
    private static final Span UNIT = Span.ofMillis(2);
    /** Longer than any test: a thread that never comes back. */
    private static final Span FOR_GOOD = Span.ofMillis(60_000);

    private static void kept(ThreeExchangeEnvironment world) throws Exception {
        for (int rule = 1; rule <= 5; rule++) {
            RuleResult verdict = world.verdict(rule);
            assertTrue(verdict.passed(), verdict.toString());
        }
    }

    @DataProvider
    public Object[][] lanes() {
        return new Object[][] {{Hop.Protocol.UDP, 2}, {Hop.Protocol.TCP, 3}, {Hop.Protocol.UDP, 4}};
    }

    @Test(dataProvider = "lanes")
    public void contactsOfAllLanesStandAndGiveAllBack(Hop.Protocol kind, int lanes) throws Exception {
        ThreeExchangeEnvironment world = new ThreeExchangeEnvironment(kind, UNIT, RoutingPolicy::new, lanes);
        for (int i = 0; i < 60; i++) {
            world.callers.dial(i % 3, (i + 1) % 3, 0);
        }
        ThreeExchangeEnvironment.await(() -> world.ended() == 60, "all ended");
        assertEquals(world.tally(CallOutcome.IN_TARGET), 60);
        ThreeExchangeEnvironment.await(() -> world.trunks.circuitsInUse() == 0, "circuits given back");
        ThreeExchangeEnvironment.await(
                () -> world.exchanges.stream().allMatch(one -> one.trackedContactCount() == 0), "nothing on the roll");
        kept(world);
    }

    @DataProvider
    public Object[][] stalls() {
        Span two = Span.ofMillis(2000);
        return new Object[][] {
            {Hop.Protocol.UDP, 1, 0, "INVITE ", two},
            {Hop.Protocol.UDP, 1, 0, null, FOR_GOOD},
            {Hop.Protocol.UDP, 3, 1, "SIP/2.0 200", two},
            {Hop.Protocol.UDP, 3, 1, "INVITE ", FOR_GOOD},
            {Hop.Protocol.TCP, 3, 1, "ACK ", two},
            {Hop.Protocol.TCP, 3, 0, "BYE ", FOR_GOOD},
            {Hop.Protocol.UDP, 3, 0, null, two},
            {Hop.Protocol.UDP, 3, 3, null, two},
            {Hop.Protocol.TCP, 3, 3, null, FOR_GOOD}
        };
    }

    /** Place 3 of 3 lanes is the decider. Contacts come before, while and after the thread hangs. */
    @Test(dataProvider = "stalls")
    public void aThreadThatStallsCostsNoContact(Hop.Protocol kind, int lanes, int place, String amid, Span span)
            throws Exception {
        ThreeExchangeEnvironment world = new ThreeExchangeEnvironment(kind, UNIT, RoutingPolicy::new, lanes);
        Exchange exchange = world.exchanges.get(0);
        for (int i = 0; i < 20; i++) {
            world.callers.dial(0, 1 + i % 2, 0);
        }
        ThreeExchangeEnvironment.await(() -> world.callers.establishedCount() > 5, "some stand");
        exchange.injectStall(place, span, amid);
        int dialled = 20;
        long end = System.nanoTime() + 20_000_000_000L;
        while (exchange.replacedThreadCount() == 0 && System.nanoTime() < end) {
            world.callers.dial(0, 1 + dialled % 2, 0);
            dialled++;
            Thread.sleep(10);
        }
        assertTrue(exchange.replacedThreadCount() > 0, "never replaced");
        for (int i = 0; i < 20; i++) {
            world.callers.dial(0, 1 + i % 2, 0);
        }
        int all = dialled + 20;
        ThreeExchangeEnvironment.await(() -> world.ended() == all, "all ended");
        assertEquals(world.tally(CallOutcome.NO_ANSWER) + world.tally(CallOutcome.GAVE_UP), 0);
        assertTrue(world.tally(CallOutcome.IN_TARGET) >= all * 0.9, world.tally(CallOutcome.IN_TARGET) + " of " + all);
        ThreeExchangeEnvironment.await(() -> world.trunks.circuitsInUse() == 0, "circuits given back");
        ThreeExchangeEnvironment.await(() -> exchange.trackedContactCount() == 0, "nothing on the roll");
        kept(world);
    }

    /** The thread hangs with a ring in its hand, which is given up and answered without it before it wakes. */
    @Test
    public void whatAStalledThreadStillHoldsReachesNobody() throws Exception {
        ThreeExchangeEnvironment world = new ThreeExchangeEnvironment(Hop.Protocol.UDP, UNIT, RoutingPolicy::new, 2);
        Exchange exchange = world.exchanges.get(0);
        world.wires.get(1).setSilent(true);
        exchange.injectStall(0, Span.ofMillis(3500), "INVITE ");
        exchange.injectStall(1, Span.ofMillis(3500), "INVITE ");
        long due = System.nanoTime() + 4_000_000_000L;
        world.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(() -> world.ended() == 1, "ended");
        assertEquals(world.tally(CallOutcome.NO_ANSWER), 0);
        ThreeExchangeEnvironment.await(() -> System.nanoTime() > due, "the thread awake again");
        kept(world);
    }
}
