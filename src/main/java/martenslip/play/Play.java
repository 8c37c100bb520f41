package martenslip.play;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import martenslip.control.Span;
import martenslip.control.SwitchLine;
import martenslip.proof.CaptureFile;
import martenslip.proof.Proof;
import martenslip.proof.Verdict;
import martenslip.standin.Tally;

/** Plays a day over real sockets: controllers as processes, all else as stand-ins, troubles on schedule. */
public final class Play {
    private static final long SUBSCRIBE_MS = 2_500;
    private static final long SECOND = 1_000_000_000L;

    private final Day day;
    private final Path folder;
    private final List<String> options;
    private final PrintStream out;
    private final int lanes;

    /** {@code options} go to each controller's virtual machine; {@code lanes} of 0 are as the day says. */
    public Play(Day day, Path folder, List<String> options, int lanes, PrintStream out) {
        this.lanes = lanes;
        this.options = options;
        this.day = day;
        this.folder = folder;
        this.out = out;
    }

    /** True where all rules were kept and all controllers ended in good order. */
    public boolean run() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Path capture = folder.resolve("capture");
        Plan plan = new Plan(day);
        int disorderly;
        boolean fell;
        try (Controllers controllers = new Controllers(day, plan, folder, options, lanes);
                World world = new World(day, plan, controllers, capture)) {
            begin(controllers, world);
            double before = controllers.cpuSeconds();
            world.callers().begin();
            Troubles troubles = new Troubles(day, world, controllers);
            schedule(troubles, world);
            troubles.started();
            double cpu = controllers.cpuSeconds() - before;
            settle(world);
            table(world, cpu);
            disorderly = controllers.end();
            fell = !world.fallen().isEmpty();
            if (fell) {
                out.println("pushed over: " + world.fallen());
            }
        }
        if (disorderly > 0) {
            out.println(disorderly + " controllers did not end in good order");
        }
        boolean kept = prove(capture, out);
        return kept && disorderly == 0 && !fell;
    }

    private void begin(Controllers controllers, World world) throws IOException, InterruptedException {
        for (int i = 0; i < day.exchanges(); i++) {
            world.build(i, false);
            world.list(i, world.machine(i), SwitchLine.State.READY, false, Span.ZERO);
            controllers.write(i, world.officeAt());
        }
        for (int i = 0; i < day.exchanges(); i++) {
            controllers.start(i);
            world.controllerUp(i);
        }
        world.office().lag(day.lag());
        out.println("day " + day.name() + ": " + day.exchanges() + " exchanges, "
                + day.traffic().rate() + " contacts a second, " + day.length().ns() / SECOND + " s; kept in " + folder);
        TimeUnit.MILLISECONDS.sleep(SUBSCRIBE_MS);
    }

    private void schedule(Troubles troubles, World world) throws IOException, InterruptedException {
        Deque<Troubles.Deed> left = new ArrayDeque<>(troubles.deeds());
        long start = System.nanoTime();
        long nextLine = start;
        long end = start + day.length().ns();
        while (System.nanoTime() < end) {
            long now = System.nanoTime();
            while (!left.isEmpty() && left.peek().at().ns() <= now - start) {
                Troubles.Deed deed = left.poll();
                out.printf(Locale.ROOT, "%5.1f s  %s%n", (now - start) / 1e9, deed.what());
                world.fact("trouble", "what=" + deed.what().replace(' ', '-'));
                deed.does().run();
            }
            if (now >= nextLine) {
                nextLine += SECOND;
                progress(world, (now - start) / SECOND);
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private void progress(World world, long second) {
        world.callers().look(tally -> {
            long wanted = 0;
            long served = 0;
            for (Tally.Row row : tally.rows().values()) {
                wanted += row.wanted();
                served += row.of(Tally.End.IN_TARGET);
            }
            out.printf(
                    Locale.ROOT,
                    "%5d s  wanted %d, in target %d, standing %d, circuits used %d, waits ms%s%n",
                    second,
                    wanted,
                    served,
                    world.callers().standing(),
                    world.trunks().used(),
                    world.waits());
        });
    }

    /** No more is dialled; what is under way comes to its end. */
    private void settle(World world) throws InterruptedException {
        world.callers().end();
        Span longest = Span.ZERO;
        for (martenslip.provision.Skill skill : day.skills()) {
            longest = longest.least(skill.patience());
        }
        TimeUnit.NANOSECONDS.sleep(longest.plus(Span.ofMillis(2000)).ns());
    }

    private void table(World world, double cpu) throws InterruptedException {
        CompletableFuture<Void> printed = new CompletableFuture<>();
        world.callers().look(tally -> {
            out.printf(
                    Locale.ROOT,
                    "%-14s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s%n",
                    "skill",
                    "wanted",
                    "tries",
                    "in-tgt",
                    "late",
                    "deferred",
                    "abandnd",
                    "gave-up",
                    "no-answ",
                    "cut",
                    "p50-ms",
                    "p99-ms",
                    "p99.9-ms");
            for (Map.Entry<String, Tally.Row> one : tally.rows().entrySet()) {
                Tally.Row row = one.getValue();
                out.printf(
                        Locale.ROOT,
                        "%-14s %8d %8d %8d %8d %8d %8d %8d %8d %8d %8.1f %8.1f %8.1f%n",
                        one.getKey(),
                        row.wanted(),
                        row.tries(),
                        row.of(Tally.End.IN_TARGET),
                        row.of(Tally.End.LATE),
                        row.of(Tally.End.DEFERRED),
                        row.of(Tally.End.ABANDONED),
                        row.of(Tally.End.GAVE_UP),
                        row.of(Tally.End.NO_ANSWER),
                        row.of(Tally.End.CUT),
                        row.setUpMs(50),
                        row.setUpMs(99),
                        row.setUpMs(99.9));
            }
            long tries =
                    tally.rows().values().stream().mapToLong(Tally.Row::tries).sum();
            out.printf(
                    Locale.ROOT,
                    "controllers: %.1f s of CPU since the first contact, %.3f ms a try%n",
                    cpu,
                    cpu * 1000 / Math.max(1, tries));
            printed.complete(null);
        });
        try {
            printed.get(10, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            out.println("the table could not be had: " + e);
        }
    }

    /** Prints the rules; true where all were kept. */
    public static boolean prove(Path capture, PrintStream out) throws IOException {
        Proof proof = new Proof();
        CaptureFile.read(capture, proof);
        boolean kept = true;
        for (Verdict verdict : proof.verdicts()) {
            verdict.print(out);
            kept &= verdict.kept();
        }
        return kept;
    }
}
