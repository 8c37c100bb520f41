package martenslip;

import static martenslip.ExchangeFixture.at;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import martenslip.control.Contact;
import martenslip.control.Controller.ListKind;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import martenslip.control.SwitchEntry.State;
import org.testng.annotations.Test;

/** Two deployments in one JVM, one after the other or side by side, decide as each does alone. */
public class DeploymentIsolationTest {
    private static final int STEPS = 600;

    private static ExchangeFixture firstDeployment() {
        return new ExchangeFixture().ready(20, 40);
    }

    /** Settings of another deployment: three classes, wide contacts, other worths, limits and rules. */
    private static ExchangeFixture secondDeployment() {
        ExchangeFixture exchange = new ExchangeFixture();
        exchange.settings.put("classes.count", "3");
        exchange.settings.put("classes.0.worth", "9");
        exchange.settings.put("classes.1.worth", "1");
        exchange.settings.put("classes.2.worth", "4");
        exchange.settings.put("classes.2.aim-ns", "400000000");
        exchange.settings.put("family-info.widths", "1,2,3");
        exchange.settings.put("family-info.mean-hold-ns", "3000000000,9000000000,1000000000");
        exchange.settings.put("family-info.release-ns", "100000000");
        exchange.settings.put("guarantees.warm-within-ns", "4000000000");
        exchange.settings.put("guarantees.fall-multiple", "2");
        exchange.settings.put("policy-limits.send-cap", "2");
        exchange.settings.put("policy-limits.cancel", "false");
        return exchange.ready(12, 24);
    }

    /** Sends one event; the same seed gives the same events whatever the module orders. */
    private static void step(ExchangeFixture exchange, SplittableRandom random, int step) {
        double now = 0.02 * step;
        int number = 1 + random.nextInt(3);
        int skill = random.nextInt(2);
        switch (random.nextInt(8)) {
            case 0 ->
                exchange.policy.switchReported(at(now), 100 + number, true, Span.ZERO, new float[] {
                    random.nextInt(12), 24, random.nextInt(100) / 100f
                });
            case 1 ->
                exchange.policy.switchListReceived(
                        at(now),
                        ListKind.CHANGES,
                        List.of(ExchangeFixture.switchEntry(
                                number,
                                random.nextInt(4) == 0 ? State.DRAINING : State.READY,
                                random.nextInt(3) == 0 ? at(now) : null)));
            case 2 ->
                exchange.policy.ringEnded(
                        at(now),
                        new RingEnd(
                                step - 3,
                                0,
                                100 + number,
                                RingEndCause.CUT,
                                RejectionReason.NONE,
                                Span.ofMillis(30),
                                false,
                                new float[0]));
            case 3 -> exchange.policy.callerGone(at(now), step - 2);
            case 4 -> {
                for (int target = 101; target <= 103; target++) {
                    exchange.policy.established(at(now), step - 1, 0, target, Span.ofMillis(20));
                }
            }
            default ->
                exchange.policy.contactOffered(
                        at(now),
                        new Contact(
                                step,
                                skill,
                                0,
                                number,
                                -1,
                                1 + skill,
                                Span.ofMillis(2000),
                                false,
                                random.nextInt(5) == 0,
                                false));
        }
    }

    private static List<String> playAlone(ExchangeFixture exchange, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int step = 1; step <= STEPS; step++) {
            step(exchange, random, step);
        }
        return List.copyOf(exchange.orderLines);
    }

    @Test
    public void deploymentsSideBySideDecideAsAlone() {
        List<String> first = playAlone(firstDeployment(), 5);
        List<String> second = playAlone(secondDeployment(), 6);
        long rings = first.stream().filter(order -> order.startsWith("ring")).count();
        assertTrue(rings > 20, "only " + rings);
        assertNotEquals(first, second);
        assertEquals(playAlone(firstDeployment(), 5), first, "one after the other");
        ExchangeFixture firstExchange = firstDeployment();
        ExchangeFixture secondExchange = secondDeployment();
        SplittableRandom firstRandom = new SplittableRandom(5);
        SplittableRandom secondRandom = new SplittableRandom(6);
        for (int step = 1; step <= STEPS; step++) {
            step(secondExchange, secondRandom, step);
            step(firstExchange, firstRandom, step);
        }
        assertEquals(firstExchange.orderLines, first);
        assertEquals(secondExchange.orderLines, second);
    }
}
