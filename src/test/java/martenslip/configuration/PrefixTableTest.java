package martenslip.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class PrefixTableTest {
    private static String digits(SplittableRandom chance, int most) {
        StringBuilder text = new StringBuilder(chance.nextInt(3) == 0 ? "+" : "");
        for (int left = 1 + chance.nextInt(most); left > 0; left--) {
            text.append(chance.nextInt(4));
        }
        return text.toString();
    }

    /** Against a plain search for the longest prefix. */
    @Test
    public void theLongestPrefixLeads() {
        SplittableRandom chance = new SplittableRandom(2);
        for (int round = 0; round < 200; round++) {
            PrefixTable prefixes = new PrefixTable();
            Map<String, Integer> plain = new HashMap<>();
            for (int i = 0; i < 20; i++) {
                String digits = digits(chance, 5);
                int exchange = chance.nextInt(6);
                Integer before = plain.putIfAbsent(digits, exchange);
                assertEquals(prefixes.add(digits, exchange), before == null || before == exchange);
            }
            for (int i = 0; i < 50; i++) {
                String number = digits(chance, 9);
                int best = -1;
                for (int length = 1; length <= number.length(); length++) {
                    best = plain.getOrDefault(number.substring(0, length), best);
                }
                assertEquals(prefixes.exchangeForNumber(number), best, number);
            }
        }
    }

    @Test
    public void prefixesThatChangeNothingOrAreNeverMetAreTold() {
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
        assertEquals(prefixes.shadowed(), List.of(), "one digit is left to it");
        for (int digit = 0; digit < 10; digit++) {
            prefixes.add("779" + digit, 6);
        }
        assertEquals(prefixes.shadowed(), List.of("77"));
        assertEquals(prefixes.firstPrefixOf(6), "7790");
        assertEquals(prefixes.firstPrefixOf(9), null);
        assertEquals(prefixes.exchangeForNumber("no number"), -1);
    }
}
