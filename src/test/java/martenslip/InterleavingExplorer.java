package martenslip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/**
 * Explores every order of a simulation's events, depth first. Each sequence is played from the start because a
 * simulation can't be copied. After {@code depth} choices the remaining events are played in one fixed order until none
 * is left. The search stops at the first violation.
 */
public final class InterleavingExplorer {
    /** An event that may happen next. */
    public record Event(String name, Runnable action) {}

    /** A system under exploration; it checks the rules at each event. */
    public interface Simulation {
        /** Events that may happen next, always in the same order. */
        List<Event> enabledEvents();

        RuleChecker rules();

        /** Checks the remaining state once no event is left. */
        void checkQuiescent();
    }

    /** Number of sequences, and the first violation with the events that led to it, or null. */
    public record SearchResult(long sequences, String fault) {}

    private static final int MAX_TAIL_EVENTS = 400;

    private final Supplier<Simulation> simulations;
    private final int depth;
    private long sequences;
    private String fault;

    private InterleavingExplorer(Supplier<Simulation> simulations, int depth) {
        this.simulations = simulations;
        this.depth = depth;
    }

    /** {@code simulations} must create the same simulation each time. */
    public static SearchResult search(Supplier<Simulation> simulations, int depth) {
        InterleavingExplorer explorer = new InterleavingExplorer(simulations, depth);
        explorer.explore(new int[0]);
        return new SearchResult(explorer.sequences, explorer.fault);
    }

    private void explore(int[] picks) {
        Simulation simulation = simulations.get();
        List<String> names = new ArrayList<>();
        List<Event> next = simulation.enabledEvents();
        for (int pick : picks) {
            next = step(simulation, next.get(pick), names);
        }
        boolean isLeaf = picks.length == depth || next.isEmpty();
        int choices = isLeaf ? 0 : next.size();
        if (isLeaf) {
            sequences++;
            for (int i = 0; i < MAX_TAIL_EVENTS && !next.isEmpty(); i++) {
                next = step(simulation, next.get(0), names);
            }
            simulation.checkQuiescent();
        }
        if (!simulation.rules().violations().isEmpty()) {
            fault = simulation.rules().violations() + " after " + names;
        }
        int[] longer = Arrays.copyOf(picks, picks.length + 1);
        for (int pick = 0; pick < choices && fault == null; pick++) {
            longer[picks.length] = pick;
            explore(longer);
        }
    }

    private static List<Event> step(Simulation simulation, Event event, List<String> names) {
        names.add(event.name());
        event.action().run();
        return simulation.enabledEvents();
    }
}
