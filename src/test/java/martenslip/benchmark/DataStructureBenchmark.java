package martenslip.benchmark;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Group;
import org.openjdk.jmh.annotations.GroupThreads;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The structures that each contact goes through, against the plain ones. Run by hand: docs/measurements/cores.md. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DataStructureBenchmark {
    /** As many timers as stand at 620 contacts a second, most taken back before they ring. */
    @State(Scope.Thread)
    public static class Timers {
        static final int STANDING = 20_000;
        final SplittableRandom chance = new SplittableRandom(1);
        final TimerWheel wheel = new TimerWheel(new Moment(0));
        final ArrayDeque<TimerWheel.Timer> set = new ArrayDeque<>();
        final PriorityQueue<long[]> heap = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        final ArrayDeque<long[]> due = new ArrayDeque<>();
        long now;

        @Setup(Level.Trial)
        public void fill() {
            for (int i = 0; i < STANDING; i++) {
                set.add(wheel.scheduleAfter(Span.ofMillis(500 + chance.nextInt(30_000)), () -> {}));
                long[] one = {500 + chance.nextInt(30_000), 1};
                heap.add(one);
                due.add(one);
            }
        }
    }

    /** Sets one, takes the oldest back, and turns a millisecond each 16 times. */
    @Benchmark
    public void timersWheel(Timers on) {
        on.set.add(on.wheel.scheduleAfter(Span.ofMillis(500 + on.chance.nextInt(30_000)), () -> {}));
        on.set.poll().cancel();
        if ((++on.now & 15) == 0) {
            on.wheel.advanceTo(new Moment((on.now >> 4) * 1_000_000));
        }
    }

    /** The same with a heap; one that is taken back is marked, and left until its time. */
    @Benchmark
    public void timersHeap(Timers on) {
        long[] one = {(on.now >> 4) + 500 + on.chance.nextInt(30_000), 1};
        on.heap.add(one);
        on.due.add(one);
        on.due.poll()[1] = 0;
        if ((++on.now & 15) == 0) {
            while (!on.heap.isEmpty() && on.heap.peek()[0] <= on.now >> 4) {
                on.heap.poll();
            }
        }
    }

    /** Keys as transactions have them. */
    @State(Scope.Thread)
    public static class Table {
        final Map<String, Object> plain = new HashMap<>();
        final Map<String, Object> shared = new ConcurrentHashMap<>();
        final String[] keys = new String[40_000];
        int next;

        @Setup(Level.Trial)
        public void fill() {
            for (int i = 0; i < keys.length; i++) {
                keys[i] = "INVITE z9hG4bK1x8k2j9f0s." + Integer.toString(i, 36);
            }
            for (int i = 0; i < 20_000; i++) {
                plain.put(keys[i], this);
                shared.put(keys[i], this);
            }
        }
    }

    private static Object use(Map<String, Object> map, Table table) {
        int at = table.next++ % 20_000;
        // A fresh text each time, as one read off a message: its hash is not known yet.
        map.put(new String(table.keys[20_000 + at]), table);
        Object found = map.get(new String(table.keys[20_000 + at].toCharArray()));
        map.remove(table.keys[20_000 + at]);
        return found;
    }

    @Benchmark
    public Object tableOfOneThread(Table table) {
        return use(table.plain, table);
    }

    @Benchmark
    public Object tableConcurrent(Table table) {
        return use(table.shared, table);
    }

    /** Three readers and one lane. */
    @State(Scope.Group)
    public static class Inbox {
        @Param({"ArrayBlockingQueue", "LinkedBlockingQueue"})
        String kind;

        Queue<Object> queue;

        @Setup(Level.Iteration)
        public void make() {
            queue = switch (kind) {
                case "ArrayBlockingQueue" -> new ArrayBlockingQueue<>(65_536);
                default -> new LinkedBlockingQueue<>(65_536);
            };
        }
    }

    @Benchmark
    @Group("inbox")
    @GroupThreads(3)
    public boolean offer(Inbox inbox) {
        return inbox.queue.offer(inbox);
    }

    @Benchmark
    @Group("inbox")
    @GroupThreads(1)
    public Object poll(Inbox inbox) {
        return inbox.queue.poll();
    }
}
