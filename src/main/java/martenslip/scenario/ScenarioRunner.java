package martenslip.scenario;

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
import martenslip.control.SwitchEntry;
import martenslip.standin.CallerStatistics;
import martenslip.verification.CaptureReader;
import martenslip.verification.RuleResult;
import martenslip.verification.RuleVerifier;

/** Plays a day over real sockets: controllers as processes, all else as stand-ins, troubles on schedule. */
public final class ScenarioRunner {
    private static final long SUBSCRIBE_MS = 2_500;
    private static final long SECOND = 1_000_000_000L;

    private final Day day;
    private final Path folder;
    private final List<String> options;
    private final PrintStream out;
    private final int lanes;

    /** {@code options} go to each controller's virtual machine; {@code lanes} of 0 are as the day says. */
    public ScenarioRunner(Day day, Path folder, List<String> options, int lanes, PrintStream out) {
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
        TrafficPlan plan = new TrafficPlan(day);
        int disorderly;
        boolean fell;
        try (ControllerProcesses controllers = new ControllerProcesses(day, plan, folder, options, lanes);
                StandInEnvironment world = new StandInEnvironment(day, plan, controllers, capture)) {
            begin(controllers, world);
            double before = controllers.cpuSeconds();
            world.callers().startDialing();
            FaultSchedule troubles = new FaultSchedule(day, world, controllers);
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
        boolean kept = verify(capture, out);
        return kept && disorderly == 0 && !fell;
    }

    private void begin(ControllerProcesses controllers, StandInEnvironment world)
            throws IOException, InterruptedException {
        for (int i = 0; i < day.exchanges(); i++) {
            world.build(i, false);
            world.list(i, world.machine(i), SwitchEntry.State.READY, false, Span.ZERO);
            controllers.write(i, world.officeAt());
        }
        for (int i = 0; i < day.exchanges(); i++) {
            controllers.start(i);
            world.controllerUp(i);
        }
        world.office().setNotificationDelay(day.lag());
        out.println("day " + day.name() + ": " + day.exchanges() + " exchanges, "
                + day.traffic().rate() + " contacts a second, " + day.length().ns() / SECOND + " s; kept in " + folder);
        TimeUnit.MILLISECONDS.sleep(SUBSCRIBE_MS);
    }

    private void schedule(FaultSchedule troubles, StandInEnvironment world) throws IOException, InterruptedException {
        Deque<FaultSchedule.ScheduledAction> left = new ArrayDeque<>(troubles.deeds());
        long start = System.nanoTime();
        long nextLine = start;
        long end = start + day.length().ns();
        while (System.nanoTime() < end) {
            long now = System.nanoTime();
            while (!left.isEmpty() && left.peek().at().ns() <= now - start) {
                FaultSchedule.ScheduledAction deed = left.poll();
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

    private void progress(StandInEnvironment world, long second) {
        world.callers().readStatistics(tally -> {
            long wanted = 0;
            long served = 0;
            for (CallerStatistics.SkillStatistics row : tally.rows().values()) {
                wanted += row.wanted();
                served += row.count(CallerStatistics.CallOutcome.IN_TARGET);
            }
            out.printf(
                    Locale.ROOT,
                    "%5d s  wanted %d, in target %d, standing %d, circuits used %d, waits ms%s%n",
                    second,
                    wanted,
                    served,
                    world.callers().establishedCount(),
                    world.trunks().circuitsInUse(),
                    world.waits());
        });
    }

    /** No more is dialled; what is under way comes to its end. */
    private void settle(StandInEnvironment world) throws InterruptedException {
        world.callers().stopDialing();
        Span longest = Span.ZERO;
        for (martenslip.configuration.Skill skill : day.skills()) {
            longest = longest.atLeast(skill.patience());
        }
        TimeUnit.NANOSECONDS.sleep(longest.plus(Span.ofMillis(2000)).ns());
    }

    private void table(StandInEnvironment world, double cpu) throws InterruptedException {
        CompletableFuture<Void> printed = new CompletableFuture<>();
        world.callers().readStatistics(tally -> {
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
            for (Map.Entry<String, CallerStatistics.SkillStatistics> one :
                    tally.rows().entrySet()) {
                CallerStatistics.SkillStatistics row = one.getValue();
                out.printf(
                        Locale.ROOT,
                        "%-14s %8d %8d %8d %8d %8d %8d %8d %8d %8d %8.1f %8.1f %8.1f%n",
                        one.getKey(),
                        row.wanted(),
                        row.tries(),
                        row.count(CallerStatistics.CallOutcome.IN_TARGET),
                        row.count(CallerStatistics.CallOutcome.LATE),
                        row.count(CallerStatistics.CallOutcome.DEFERRED),
                        row.count(CallerStatistics.CallOutcome.ABANDONED),
                        row.count(CallerStatistics.CallOutcome.GAVE_UP),
                        row.count(CallerStatistics.CallOutcome.NO_ANSWER),
                        row.count(CallerStatistics.CallOutcome.CUT),
                        row.setUpMs(50),
                        row.setUpMs(99),
                        row.setUpMs(99.9));
            }
            long tries = tally.rows().values().stream()
                    .mapToLong(CallerStatistics.SkillStatistics::tries)
                    .sum();
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
    public static boolean verify(Path capture, PrintStream out) throws IOException {
        RuleVerifier proof = new RuleVerifier();
        CaptureReader.read(capture, proof);
        boolean kept = true;
        for (RuleResult verdict : proof.verdicts()) {
            verdict.print(out);
            kept &= verdict.passed();
        }
        return kept;
    }
}
