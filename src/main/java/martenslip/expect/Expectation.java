package martenslip.expect;

import java.util.List;
import java.util.Set;

/**
 * One expectation of a file, with its line number and text. {@code skill} is an index, or -1 for any skill; empty
 * {@code origins} or {@code destinations} mean any exchange. {@code percent} applies to {@link Quantifier#AT_LEAST}.
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
    /** How many of the contacts must have the outcome. */
    public enum Quantifier {
        ALWAYS,
        NEVER,
        MAY,
        AT_LEAST
    }

    /** What is expected of a contact. */
    public sealed interface Outcome {
        /** The rings take these routes in this order; the last route applies to all later rings. */
        record Routed(List<Route> routes) implements Outcome {}

        /** The contact is established. */
        record Established() implements Outcome {}

        /** The contact is deferred. */
        record Deferred() implements Outcome {}
    }

    /** The route of a ring: direct where {@code via} is empty, else through one of these exchanges. */
    public record Route(Set<Integer> via) {
        boolean takes(int exchange, int destination) {
            return via.isEmpty() ? exchange == destination : via.contains(exchange);
        }

        @Override
        public String toString() {
            return via.isEmpty() ? "direct" : "via " + via;
        }
    }

    /** A condition under which an expectation applies. */
    public sealed interface Condition {
        /** State of a switch. {@code PRESSED} means that its processor is overloaded. */
        enum State {
            DRAINING,
            GONE,
            COLD,
            PRESSED,
            SILENT
        }

        /** The switch of an exchange is in this state. */
        record Desk(int exchange, State state) implements Condition {}

        /** The group has this many free circuits; -1 for a group that is gone. */
        record Group(String name, int free) implements Condition {}

        /** The region is cut off from all others. */
        record Cut(String region) implements Condition {}
    }
}
