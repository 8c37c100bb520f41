package martenslip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/**
 * Every order of a world's events: depth first, each sequence played from the start, as a world can't be copied. After
 * so many choices the rest is played in one order until nothing is left to come. It stops at the first fault.
 */
public final class InterleavingExplorer {
    /** One thing that may come next. */
    public record Event(String name, Runnable action) {}

    /** What is explored; it judges itself by the rules as it goes. */
    public interface Simulation {
        /** What may come next, always in the same order. */
        List<Event> enabledEvents();

        RuleChecker rules();

        /** Looks at what is left once nothing more can come. */
        void checkQuiescent();
    }

    /** How many sequences a world has, and the first fault met with the way there, or null. */
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

    /** {@code worlds} makes the same world each time. */
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
