package martenslip.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Numbers to exchanges by the longest prefix that was given: a trie by digits, with the plus sign as an eleventh. A
 * look-up costs the number's digits, whatever the number of prefixes. Immutable once built.
 */
public final class PrefixTable {
    private static final int BRANCHES = 11;
    private static final int PLUS_BRANCH = 10;

    private static final class TrieNode {
        final TrieNode[] children = new TrieNode[BRANCHES];
        int exchange = -1;
    }

    private final TrieNode root = new TrieNode();
    private final SortedMap<String, Integer> exchangesByPrefix = new TreeMap<>();

    private static int branch(char character) {
        return character == '+' ? PLUS_BRANCH : character >= '0' && character <= '9' ? character - '0' : -1;
    }

    /** False where the prefix leads elsewhere already. Digits, with a plus sign before them or without. */
    public boolean add(String digits, int exchange) {
        TrieNode node = root;
        for (int i = 0; i < digits.length(); i++) {
            int branch = branch(digits.charAt(i));
            if (branch < 0) {
                throw new IllegalArgumentException("no digits: " + digits);
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

    /** A prefix that leads to the exchange, or null: the first in the order of their text. */
    public String firstPrefixOf(int exchange) {
        return exchangesByPrefix.entrySet().stream()
                .filter(entry -> entry.getValue() == exchange)
                .map(entry -> entry.getKey())
                .findFirst()
                .orElse(null);
    }

    /** All exchanges that some prefix leads to. */
    public SortedSet<Integer> exchanges() {
        return new TreeSet<>(exchangesByPrefix.values());
    }

    /** The exchange where the number ends, or -1. */
    public int exchangeForNumber(String number) {
        return longestPrefixMatch(number, number.length());
    }

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

    /** Prefixes that change nothing, as a shorter one leads to the same exchange. */
    public List<String> redundant() {
        return exchangesByPrefix.entrySet().stream()
                .filter(entry -> longestPrefixMatch(entry.getKey(), entry.getKey().length() - 1) == entry.getValue())
                .map(entry -> entry.getKey())
                .toList();
    }

    /** Prefixes that no number of further digits meets, as longer ones take each digit that may follow. */
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
