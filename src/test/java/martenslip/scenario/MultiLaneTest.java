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

/** Exchanges with several lanes over real sockets, with and without stalled threads. */
public class MultiLaneTest {
    private static final Span SET_UP_TIME = Span.ofMillis(2);
    /** Longer than any test: the thread never resumes. */
    private static final Span INDEFINITE = Span.ofMillis(60_000);

    private static void assertAllRulesKept(ThreeExchangeEnvironment environment) throws Exception {
        for (int rule = 1; rule <= 5; rule++) {
            RuleResult result = environment.result(rule);
            assertTrue(result.passed(), result.toString());
        }
    }

    @DataProvider
    public Object[][] lanes() {
        return new Object[][] {{Hop.Protocol.UDP, 2}, {Hop.Protocol.TCP, 3}, {Hop.Protocol.UDP, 4}};
    }

    @Test(dataProvider = "lanes")
    public void contactsOfAllLanesAreEstablishedAndReleaseTheirCircuits(Hop.Protocol protocol, int lanes)
            throws Exception {
        ThreeExchangeEnvironment environment =
                new ThreeExchangeEnvironment(protocol, SET_UP_TIME, RoutingPolicy::new, lanes);
        for (int i = 0; i < 60; i++) {
            environment.callers.dial(i % 3, (i + 1) % 3, 0);
        }
        ThreeExchangeEnvironment.await(() -> environment.endedCount() == 60, "all ended");
        assertEquals(environment.outcomeCount(CallOutcome.IN_TARGET), 60);
        ThreeExchangeEnvironment.await(() -> environment.trunks.circuitsInUse() == 0, "all circuits released");
        ThreeExchangeEnvironment.await(
                () -> environment.exchanges.stream().allMatch(exchange -> exchange.trackedContactCount() == 0),
                "no contact tracked");
        assertAllRulesKept(environment);
    }

    @DataProvider
    public Object[][] stalls() {
        Span twoSeconds = Span.ofMillis(2000);
        return new Object[][] {
            {Hop.Protocol.UDP, 1, 0, "INVITE ", twoSeconds},
            {Hop.Protocol.UDP, 1, 0, null, INDEFINITE},
            {Hop.Protocol.UDP, 3, 1, "SIP/2.0 200", twoSeconds},
            {Hop.Protocol.UDP, 3, 1, "INVITE ", INDEFINITE},
            {Hop.Protocol.TCP, 3, 1, "ACK ", twoSeconds},
            {Hop.Protocol.TCP, 3, 0, "BYE ", INDEFINITE},
            {Hop.Protocol.UDP, 3, 0, null, twoSeconds},
            {Hop.Protocol.UDP, 3, 3, null, twoSeconds},
            {Hop.Protocol.TCP, 3, 3, null, INDEFINITE}
        };
    }

    /** Index 3 with 3 lanes is the decision thread. Contacts arrive before, during and after the stall. */
    @Test(dataProvider = "stalls")
    public void stalledThreadLosesNoContact(
            Hop.Protocol protocol, int lanes, int threadIndex, String messagePrefix, Span duration) throws Exception {
        ThreeExchangeEnvironment environment =
                new ThreeExchangeEnvironment(protocol, SET_UP_TIME, RoutingPolicy::new, lanes);
        Exchange exchange = environment.exchanges.get(0);
        for (int i = 0; i < 20; i++) {
            environment.callers.dial(0, 1 + i % 2, 0);
        }
        ThreeExchangeEnvironment.await(() -> environment.callers.establishedCount() > 5, "some established");
        exchange.injectStall(threadIndex, duration, messagePrefix);
        int dialled = 20;
        long deadline = System.nanoTime() + 20_000_000_000L;
        while (exchange.replacedThreadCount() == 0 && System.nanoTime() < deadline) {
            environment.callers.dial(0, 1 + dialled % 2, 0);
            dialled++;
            Thread.sleep(10);
        }
        assertTrue(exchange.replacedThreadCount() > 0, "thread never replaced");
        for (int i = 0; i < 20; i++) {
            environment.callers.dial(0, 1 + i % 2, 0);
        }
        int total = dialled + 20;
        ThreeExchangeEnvironment.await(() -> environment.endedCount() == total, "all ended");
        assertEquals(
                environment.outcomeCount(CallOutcome.NO_ANSWER) + environment.outcomeCount(CallOutcome.GAVE_UP), 0);
        assertTrue(
                environment.outcomeCount(CallOutcome.IN_TARGET) >= total * 0.9,
                environment.outcomeCount(CallOutcome.IN_TARGET) + " of " + total);
        ThreeExchangeEnvironment.await(() -> environment.trunks.circuitsInUse() == 0, "all circuits released");
        ThreeExchangeEnvironment.await(() -> exchange.trackedContactCount() == 0, "no contact tracked");
        assertAllRulesKept(environment);
    }

    /** A thread stalls while sending a ring; the contact gets its final answer without it before the thread resumes. */
    @Test
    public void stalledThreadSendsNothingAfterItsContactEnded() throws Exception {
        ThreeExchangeEnvironment environment =
                new ThreeExchangeEnvironment(Hop.Protocol.UDP, SET_UP_TIME, RoutingPolicy::new, 2);
        Exchange exchange = environment.exchanges.get(0);
        environment.links.get(1).setSilent(true);
        exchange.injectStall(0, Span.ofMillis(3500), "INVITE ");
        exchange.injectStall(1, Span.ofMillis(3500), "INVITE ");
        long stallEnd = System.nanoTime() + 4_000_000_000L;
        environment.callers.dial(0, 1, 0);
        ThreeExchangeEnvironment.await(() -> environment.endedCount() == 1, "ended");
        assertEquals(environment.outcomeCount(CallOutcome.NO_ANSWER), 0);
        ThreeExchangeEnvironment.await(() -> System.nanoTime() > stallEnd, "the stall over");
        assertAllRulesKept(environment);
    }
}
