package martenslip.provision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/** Numbers to exchanges by the longest prefix that was given. Immutable once built. */
public final class Prefixes {
    private final Map<String, Integer> exchanges = new HashMap<>();
    private int longest;

    /** False where the prefix leads elsewhere already. */
    public boolean add(String digits, int exchange) {
        longest = Math.max(longest, digits.length());
        Integer before = exchanges.putIfAbsent(digits, exchange);
        return before == null || before == exchange;
    }

    /** A prefix that leads to the exchange, or null. */
    public String leadingTo(int exchange) {
        return exchanges.entrySet().stream().filter(one -> one.getValue() == exchange).map(Map.Entry::getKey)
                .min(String::compareTo).orElse(null);
    }

    /** All exchanges that some prefix leads to. */
    public SortedSet<Integer> exchanges() {
        return new TreeSet<>(exchanges.values());
    }

    /** Prefixes that change nothing, as a shorter one leads to the same exchange. */
    public List<String> redundant() {
        return exchanges.keySet().stream().filter(digits -> {
            int shorter = exchange(digits.substring(0, digits.length() - 1));
            return shorter >= 0 && shorter == exchanges.get(digits);
        }).sorted().toList();
    }

    /** The exchange where the number ends, or -1. */
    public int exchange(String number) {
        for (int length = Math.min(longest, number.length()); length > 0; length--) {
            Integer exchange = exchanges.get(number.substring(0, length));
            if (exchange != null) {
                return exchange;
            }
        }
        return -1;
    }
}
