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

/** Compares data structures on the path of each contact with simpler ones. Run by hand: docs/measurements/cores.md. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DataStructureBenchmark {
    /** As many active timers as at 620 contacts a second; most are cancelled before they expire. */
    @State(Scope.Thread)
    public static class Timers {
        static final int ACTIVE_TIMER_COUNT = 20_000;
        final SplittableRandom random = new SplittableRandom(1);
        final TimerWheel wheel = new TimerWheel(new Moment(0));
        final ArrayDeque<TimerWheel.Timer> activeTimers = new ArrayDeque<>();
        final PriorityQueue<long[]> heap = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        final ArrayDeque<long[]> heapEntries = new ArrayDeque<>();
        long operationCount;

        @Setup(Level.Trial)
        public void fill() {
            for (int i = 0; i < ACTIVE_TIMER_COUNT; i++) {
                activeTimers.add(wheel.scheduleAfter(Span.ofMillis(500 + random.nextInt(30_000)), () -> {}));
                long[] entry = {500 + random.nextInt(30_000), 1};
                heap.add(entry);
                heapEntries.add(entry);
            }
        }
    }

    /** Starts a timer, cancels the oldest, and advances the wheel by a millisecond every 16 operations. */
    @Benchmark
    public void timersWheel(Timers timers) {
        timers.activeTimers.add(
                timers.wheel.scheduleAfter(Span.ofMillis(500 + timers.random.nextInt(30_000)), () -> {}));
        timers.activeTimers.poll().cancel();
        if ((++timers.operationCount & 15) == 0) {
            timers.wheel.advanceTo(new Moment((timers.operationCount >> 4) * 1_000_000));
        }
    }

    /** The same with a heap; a cancelled timer is marked and stays in the heap until it is due. */
    @Benchmark
    public void timersHeap(Timers timers) {
        long[] entry = {(timers.operationCount >> 4) + 500 + timers.random.nextInt(30_000), 1};
        timers.heap.add(entry);
        timers.heapEntries.add(entry);
        timers.heapEntries.poll()[1] = 0;
        if ((++timers.operationCount & 15) == 0) {
            while (!timers.heap.isEmpty() && timers.heap.peek()[0] <= timers.operationCount >> 4) {
                timers.heap.poll();
            }
        }
    }

    /** Tables with keys like those of the transaction tables. */
    @State(Scope.Thread)
    public static class TransactionTable {
        final Map<String, Object> hashMap = new HashMap<>();
        final Map<String, Object> concurrentMap = new ConcurrentHashMap<>();
        final String[] keys = new String[40_000];
        int nextIndex;

        @Setup(Level.Trial)
        public void fill() {
            for (int i = 0; i < keys.length; i++) {
                keys[i] = "INVITE z9hG4bK1x8k2j9f0s." + Integer.toString(i, 36);
            }
            for (int i = 0; i < 20_000; i++) {
                hashMap.put(keys[i], this);
                concurrentMap.put(keys[i], this);
            }
        }
    }

    private static Object putGetRemove(Map<String, Object> map, TransactionTable table) {
        int index = table.nextIndex++ % 20_000;
        // A new string each time, as when read from a message: its hash is not cached yet.
        map.put(new String(table.keys[20_000 + index]), table);
        Object found = map.get(new String(table.keys[20_000 + index].toCharArray()));
        map.remove(table.keys[20_000 + index]);
        return found;
    }

    @Benchmark
    public Object tableOfOneThread(TransactionTable table) {
        return putGetRemove(table.hashMap, table);
    }

    @Benchmark
    public Object tableConcurrent(TransactionTable table) {
        return putGetRemove(table.concurrentMap, table);
    }

    /** A queue with three producers (network readers) and one consumer (a lane). */
    @State(Scope.Group)
    public static class Inbox {
        @Param({"ArrayBlockingQueue", "LinkedBlockingQueue"})
        String kind;

        Queue<Object> queue;

        @Setup(Level.Iteration)
        public void createQueue() {
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
