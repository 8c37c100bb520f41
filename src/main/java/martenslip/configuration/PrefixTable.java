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
    private static final int WAYS = 11;
    private static final int PLUS = 10;

    private static final class TrieNode {
        final TrieNode[] next = new TrieNode[WAYS];
        int exchange = -1;
    }

    private final TrieNode root = new TrieNode();
    private final SortedMap<String, Integer> given = new TreeMap<>();

    private static int way(char digit) {
        return digit == '+' ? PLUS : digit >= '0' && digit <= '9' ? digit - '0' : -1;
    }

    /** False where the prefix leads elsewhere already. Digits, with a plus sign before them or without. */
    public boolean add(String digits, int exchange) {
        TrieNode at = root;
        for (int i = 0; i < digits.length(); i++) {
            int way = way(digits.charAt(i));
            if (way < 0) {
                throw new IllegalArgumentException("no digits: " + digits);
            }
            if (at.next[way] == null) {
                at.next[way] = new TrieNode();
            }
            at = at.next[way];
        }
        if (at.exchange >= 0) {
            return at.exchange == exchange;
        }
        at.exchange = exchange;
        given.put(digits, exchange);
        return true;
    }

    /** A prefix that leads to the exchange, or null: the first in the order of their text. */
    public String firstPrefixOf(int exchange) {
        return given.entrySet().stream()
                .filter(one -> one.getValue() == exchange)
                .map(one -> one.getKey())
                .findFirst()
                .orElse(null);
    }

    /** All exchanges that some prefix leads to. */
    public SortedSet<Integer> exchanges() {
        return new TreeSet<>(given.values());
    }

    /** The exchange where the number ends, or -1. */
    public int exchangeForNumber(String number) {
        return upTo(number, number.length());
    }

    private int upTo(String number, int length) {
        int found = -1;
        TrieNode at = root;
        for (int i = 0; i < length && at != null; i++) {
            int way = way(number.charAt(i));
            at = way < 0 ? null : at.next[way];
            found = at != null && at.exchange >= 0 ? at.exchange : found;
        }
        return found;
    }

    /** Prefixes that change nothing, as a shorter one leads to the same exchange. */
    public List<String> redundant() {
        return given.entrySet().stream()
                .filter(one -> upTo(one.getKey(), one.getKey().length() - 1) == one.getValue())
                .map(one -> one.getKey())
                .toList();
    }

    /** Prefixes that no number of further digits meets, as longer ones take each digit that may follow. */
    public List<String> shadowed() {
        List<String> all = new ArrayList<>();
        given.keySet().forEach(digits -> {
            TrieNode at = root;
            for (int i = 0; i < digits.length(); i++) {
                at = at.next[way(digits.charAt(i))];
            }
            if (takenByLonger(at)) {
                all.add(digits);
            }
        });
        return all;
    }

    private static boolean takenByLonger(TrieNode at) {
        for (int digit = 0; digit < PLUS; digit++) {
            TrieNode next = at.next[digit];
            if (next == null || next.exchange < 0 && !takenByLonger(next)) {
                return false;
            }
        }
        return true;
    }
}
