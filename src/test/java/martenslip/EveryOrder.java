package martenslip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/**
 * Every order of a world's events: depth first, each sequence played from the start, as a world can't be copied. After
 * so many choices the rest is played in one order until nothing is left to come. It stops at the first fault.
 */
public final class EveryOrder {
    /** One thing that may come next. */
    public record Event(String name, Runnable what) {}

    /** What is explored; it judges itself by the rules as it goes. */
    public interface World {
        /** What may come next, always in the same order. */
        List<Event> enabled();

        FiveRules rules();

        /** Looks at what is left once nothing more can come. */
        void quiet();
    }

    /** How many sequences a world has, and the first fault met with the way there, or null. */
    public record Found(long sequences, String fault) {}

    private static final int MOST_TAIL = 400;

    private final Supplier<World> worlds;
    private final int depth;
    private long sequences;
    private String fault;

    private EveryOrder(Supplier<World> worlds, int depth) {
        this.worlds = worlds;
        this.depth = depth;
    }

    /** {@code worlds} makes the same world each time. */
    public static Found search(Supplier<World> worlds, int depth) {
        EveryOrder search = new EveryOrder(worlds, depth);
        search.from(new int[0]);
        return new Found(search.sequences, search.fault);
    }

    private void from(int[] picks) {
        World world = worlds.get();
        List<String> names = new ArrayList<>();
        List<Event> next = world.enabled();
        for (int pick : picks) {
            next = step(world, next.get(pick), names);
        }
        boolean last = picks.length == depth || next.isEmpty();
        int choices = last ? 0 : next.size();
        if (last) {
            sequences++;
            for (int i = 0; i < MOST_TAIL && !next.isEmpty(); i++) {
                next = step(world, next.get(0), names);
            }
            world.quiet();
        }
        if (!world.rules().broken().isEmpty()) {
            fault = world.rules().broken() + " after " + names;
        }
        int[] longer = Arrays.copyOf(picks, picks.length + 1);
        for (int pick = 0; pick < choices && fault == null; pick++) {
            longer[picks.length] = pick;
            from(longer);
        }
    }

    private static List<Event> step(World world, Event event, List<String> names) {
        names.add(event.name());
        event.what().run();
        return world.enabled();
    }
}
