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

/** Two deployments in one JVM, one after the other and side by side, decide as each does alone. */
public class DeploymentIsolationTest {
    private static final int STEPS = 600;

    private static ExchangeFixture one() {
        return new ExchangeFixture().ready(20, 40);
    }

    /** Another customer's: three classes, one of them wide, other worths, limits and rules. */
    private static ExchangeFixture other() {
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

    /** The same events for the same seed, whatever the module makes of them. */
    private static void step(ExchangeFixture exchange, SplittableRandom chance, int step) {
        double now = 0.02 * step;
        int number = 1 + chance.nextInt(3);
        int skill = chance.nextInt(2);
        switch (chance.nextInt(8)) {
            case 0 ->
                exchange.logic.switchReported(at(now), 100 + number, true, Span.ZERO, new float[] {
                    chance.nextInt(12), 24, chance.nextInt(100) / 100f
                });
            case 1 ->
                exchange.logic.switchListReceived(
                        at(now),
                        ListKind.CHANGES,
                        List.of(ExchangeFixture.line(
                                number,
                                chance.nextInt(4) == 0 ? State.DRAINING : State.READY,
                                chance.nextInt(3) == 0 ? at(now) : null)));
            case 2 ->
                exchange.logic.ringEnded(
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
            case 3 -> exchange.logic.callerGone(at(now), step - 2);
            case 4 -> {
                for (int target = 101; target <= 103; target++) {
                    exchange.logic.established(at(now), step - 1, 0, target, Span.ofMillis(20));
                }
            }
            default ->
                exchange.logic.contactOffered(
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
                                chance.nextInt(5) == 0,
                                false));
        }
    }

    private static List<String> alone(ExchangeFixture exchange, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        for (int step = 1; step <= STEPS; step++) {
            step(exchange, chance, step);
        }
        return List.copyOf(exchange.ordered);
    }

    @Test
    public void sideBySideEachDecidesAsAlone() {
        List<String> first = alone(one(), 5);
        List<String> second = alone(other(), 6);
        long rings = first.stream().filter(order -> order.startsWith("ring")).count();
        assertTrue(rings > 20, "only " + rings);
        assertNotEquals(first, second);
        assertEquals(alone(one(), 5), first, "one after the other");
        ExchangeFixture one = one();
        ExchangeFixture other = other();
        SplittableRandom ofOne = new SplittableRandom(5);
        SplittableRandom ofOther = new SplittableRandom(6);
        for (int step = 1; step <= STEPS; step++) {
            step(other, ofOther, step);
            step(one, ofOne, step);
        }
        assertEquals(one.ordered, first);
        assertEquals(other.ordered, second);
    }
}
