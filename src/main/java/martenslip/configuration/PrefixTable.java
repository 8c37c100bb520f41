package martenslip.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Maps numbers to exchanges by longest prefix. A trie over the digits and the plus sign: a lookup takes time
 * proportional to the number's length, independent of the number of prefixes. It must not change once it is shared
 * between threads.
 */
public final class PrefixTable {
    private static final int BRANCHES = 11;
    private static final int PLUS_BRANCH = 10;

    private static final class TrieNode {
        final TrieNode[] children = new TrieNode[BRANCHES];
        /** The exchange that the prefix is assigned to, or -1. */
        int exchange = -1;
    }

    private final TrieNode root = new TrieNode();
    private final SortedMap<String, Integer> exchangesByPrefix = new TreeMap<>();

    /** Returns the index of the branch for a character, or -1 where it is neither a digit nor a plus sign. */
    private static int branch(char character) {
        return character == '+' ? PLUS_BRANCH : character >= '0' && character <= '9' ? character - '0' : -1;
    }

    /**
     * Adds a prefix.
     *
     * @param digits digits with or without a leading plus sign
     * @return false where the prefix is already assigned to another exchange
     */
    public boolean add(String digits, int exchange) {
        TrieNode node = root;
        for (int i = 0; i < digits.length(); i++) {
            int branch = branch(digits.charAt(i));
            if (branch < 0) {
                throw new IllegalArgumentException("prefix is not made of digits: " + digits);
            }
            if (node.children[branch] == null) {
                node.children[branch] = new TrieNode();
            }
            node = node.children[branch];
        }
        if (node.exchange >= 0) {
            return node.exchange == exchange;
        }
        node.exchange = exchange;
        exchangesByPrefix.put(digits, exchange);
        return true;
    }

    /** Returns the first prefix, in alphabetical order, that is assigned to the exchange; null where there is none. */
    public String firstPrefixOf(int exchange) {
        return exchangesByPrefix.entrySet().stream()
                .filter(entry -> entry.getValue() == exchange)
                .map(entry -> entry.getKey())
                .findFirst()
                .orElse(null);
    }

    /** Returns all exchanges that have a prefix. */
    public SortedSet<Integer> exchanges() {
        return new TreeSet<>(exchangesByPrefix.values());
    }

    /** Returns the exchange that the longest matching prefix is assigned to, or -1. */
    public int exchangeForNumber(String number) {
        return longestPrefixMatch(number, number.length());
    }

    /** Returns the exchange of the longest matching prefix of at most the given length, or -1. */
    private int longestPrefixMatch(String number, int lengthLimit) {
        int exchange = -1;
        TrieNode node = root;
        for (int i = 0; i < lengthLimit && node != null; i++) {
            int branch = branch(number.charAt(i));
            node = branch < 0 ? null : node.children[branch];
            exchange = node != null && node.exchange >= 0 ? node.exchange : exchange;
        }
        return exchange;
    }

    /** Returns the prefixes without effect: without them, a shorter one leads to the same exchange. */
    public List<String> redundant() {
        return exchangesByPrefix.entrySet().stream()
                .filter(entry ->
                        longestPrefixMatch(entry.getKey(), entry.getKey().length() - 1) == entry.getValue())
                .map(entry -> entry.getKey())
                .toList();
    }

    /** Returns the prefixes whose numbers all match longer prefixes, whichever digit follows. */
    public List<String> shadowed() {
        List<String> shadowed = new ArrayList<>();
        exchangesByPrefix.keySet().forEach(digits -> {
            TrieNode node = root;
            for (int i = 0; i < digits.length(); i++) {
                node = node.children[branch(digits.charAt(i))];
            }
            if (coveredByLongerPrefixes(node)) {
                shadowed.add(digits);
            }
        });
        return shadowed;
    }

    private static boolean coveredByLongerPrefixes(TrieNode node) {
        for (int digit = 0; digit < PLUS_BRANCH; digit++) {
            TrieNode child = node.children[digit];
            if (child == null || child.exchange < 0 && !coveredByLongerPrefixes(child)) {
                return false;
            }
        }
        return true;
    }
}
