package martenslip.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Lookup in the prefix table and detection of prefixes without effect. */
public class PrefixTableTest {
    private static String randomDigits(SplittableRandom random, int maxDigits) {
        StringBuilder text = new StringBuilder(random.nextInt(3) == 0 ? "+" : "");
        for (int remaining = 1 + random.nextInt(maxDigits); remaining > 0; remaining--) {
            text.append(random.nextInt(4));
        }
        return text.toString();
    }

    /** Compares with a search that tries each length of prefix. */
    @Test
    public void lookupAgreesWithLinearSearch() {
        SplittableRandom random = new SplittableRandom(2);
        for (int round = 0; round < 200; round++) {
            PrefixTable prefixes = new PrefixTable();
            Map<String, Integer> exchangesByPrefix = new HashMap<>();
            for (int i = 0; i < 20; i++) {
                String digits = randomDigits(random, 5);
                int exchange = random.nextInt(6);
                Integer previous = exchangesByPrefix.putIfAbsent(digits, exchange);
                assertEquals(prefixes.add(digits, exchange), previous == null || previous == exchange);
            }
            for (int i = 0; i < 50; i++) {
                String number = randomDigits(random, 9);
                int expected = -1;
                for (int length = 1; length <= number.length(); length++) {
                    expected = exchangesByPrefix.getOrDefault(number.substring(0, length), expected);
                }
                assertEquals(prefixes.exchangeForNumber(number), expected, number);
            }
        }
    }

    @Test
    public void findsRedundantAndShadowedPrefixes() {
        PrefixTable prefixes = new PrefixTable();
        assertTrue(prefixes.add("+91", 1));
        assertTrue(prefixes.add("+915", 1));
        assertTrue(prefixes.add("+9155", 2));
        assertTrue(prefixes.add("77", 3));
        assertFalse(prefixes.add("77", 4));
        assertEquals(prefixes.redundant(), List.of("+915"));
        assertEquals(prefixes.shadowed(), List.of());
        for (int digit = 0; digit < 9; digit++) {
            prefixes.add("77" + digit, 5);
        }
        assertEquals(prefixes.shadowed(), List.of(), "77 still serves the digit 9");
        for (int digit = 0; digit < 10; digit++) {
            prefixes.add("779" + digit, 6);
        }
        assertEquals(prefixes.shadowed(), List.of("77"));
        assertEquals(prefixes.firstPrefixOf(6), "7790");
        assertEquals(prefixes.firstPrefixOf(9), null);
        assertEquals(prefixes.exchangeForNumber("no number"), -1);
    }
}
