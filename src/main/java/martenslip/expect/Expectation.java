package martenslip.expect;

import java.util.List;
import java.util.Set;

/**
 * One expectation as written: {@code skill}, {@code from} and {@code to} are -1 where any will do. {@code percent} is
 * for {@link Quantifier#AT_LEAST}.
 */
public record Expectation(
        int line,
        String text,
        int skill,
        Set<Integer> origins,
        Set<Integer> destinations,
        Quantifier quantifier,
        int percent,
        Outcome outcome,
        List<Condition> conditions) {
    public enum Quantifier {
        ALWAYS,
        NEVER,
        MAY,
        AT_LEAST
    }

    /** What is expected of a contact. */
    public sealed interface Outcome {
        /** Its rings go these ways, one after the other; the last stands for all later ones. */
        record Routed(List<Route> routes) implements Outcome {}

        record Established() implements Outcome {}

        record Deferred() implements Outcome {}
    }

    /** One ring's way: direct where {@code via} is empty, else by one of these exchanges. */
    public record Route(Set<Integer> via) {
        boolean takes(int exchange, int destination) {
            return via.isEmpty() ? exchange == destination : via.contains(exchange);
        }

        @Override
        public String toString() {
            return via.isEmpty() ? "direct" : "via " + via;
        }
    }

    /** What must be so for the expectation to be demanded. */
    public sealed interface Condition {
        enum State {
            DRAINING,
            GONE,
            COLD,
            PRESSED,
            SILENT
        }

        record Desk(int exchange, State state) implements Condition {}

        /** Circuits that the group has free; -1 for a group that is gone. */
        record Group(String name, int free) implements Condition {}

        record Cut(String region) implements Condition {}
    }
}
