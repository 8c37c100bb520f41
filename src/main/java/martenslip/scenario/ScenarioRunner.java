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

/** Runs a day over real sockets: controllers as processes, all other systems as stand-ins, faults on schedule. */
public final class ScenarioRunner {
    private static final long SUBSCRIPTION_WAIT_MS = 2_500;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Day day;
    private final Path folder;
    private final List<String> options;
    private final PrintStream out;
    private final int lanes;

    /**
     * Prepares a run.
     *
     * @param folder where the capture, logs and configurations are written
     * @param options JVM options of each controller
     * @param lanes lanes of each controller; 0 for the number in the day file
     */
    public ScenarioRunner(Day day, Path folder, List<String> options, int lanes, PrintStream out) {
        this.lanes = lanes;
        this.options = options;
        this.day = day;
        this.folder = folder;
        this.out = out;
    }

    /** Runs the day; true where all rules passed, all controllers exited normally and no switch was overloaded. */
    public boolean run() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Path capture = folder.resolve("capture");
        TrafficPlan plan = new TrafficPlan(day);
        int failedExits;
        boolean overloaded;
        try (ControllerProcesses controllers = new ControllerProcesses(day, plan, folder, options, lanes);
                StandInEnvironment environment = new StandInEnvironment(day, plan, controllers, capture)) {
            start(controllers, environment);
            double cpuBefore = controllers.cpuSeconds();
            environment.callers().startDialing();
            FaultSchedule faults = new FaultSchedule(day, environment, controllers);
            runFaults(faults, environment);
            faults.awaitStarts();
            double cpuSeconds = controllers.cpuSeconds() - cpuBefore;
            awaitOpenContacts(environment);
            printTable(environment, cpuSeconds);
            failedExits = controllers.terminateAll();
            overloaded = !environment.overloadedSwitches().isEmpty();
            if (overloaded) {
                out.println("pushed over: " + environment.overloadedSwitches());
            }
        }
        if (failedExits > 0) {
            out.println(failedExits + " controllers did not end in good order");
        }
        boolean allPassed = verify(capture, out);
        return allPassed && failedExits == 0 && !overloaded;
    }

    private void start(ControllerProcesses controllers, StandInEnvironment environment)
            throws IOException, InterruptedException {
        for (int i = 0; i < day.exchanges(); i++) {
            environment.buildSwitch(i, false);
            environment.publishState(i, environment.simulatedSwitch(i), SwitchEntry.State.READY, false, Span.ZERO);
            controllers.writeConfiguration(i, environment.directoryAddress());
        }
        for (int i = 0; i < day.exchanges(); i++) {
            controllers.start(i);
            environment.controllerUp(i);
        }
        environment.directory().setNotificationDelay(day.listLag());
        out.println("day " + day.name() + ": " + day.exchanges() + " exchanges, "
                + day.traffic().contactsPerSecond() + " contacts a second, "
                + day.length().ns() / NANOS_PER_SECOND + " s; output in " + folder);
        TimeUnit.MILLISECONDS.sleep(SUBSCRIPTION_WAIT_MS);
    }

    private void runFaults(FaultSchedule faults, StandInEnvironment environment)
            throws IOException, InterruptedException {
        Deque<FaultSchedule.ScheduledAction> remaining = new ArrayDeque<>(faults.actions());
        long start = System.nanoTime();
        long nextProgressAt = start;
        long end = start + day.length().ns();
        while (System.nanoTime() < end) {
            long now = System.nanoTime();
            while (!remaining.isEmpty() && remaining.peek().startsAfter().ns() <= now - start) {
                FaultSchedule.ScheduledAction action = remaining.poll();
                out.printf(Locale.ROOT, "%5.1f s  %s%n", (now - start) / 1e9, action.description());
                environment.annotate("trouble", "what=" + action.description().replace(' ', '-'));
                action.action().run();
            }
            if (now >= nextProgressAt) {
                nextProgressAt += NANOS_PER_SECOND;
                printProgress(environment, (now - start) / NANOS_PER_SECOND);
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private void printProgress(StandInEnvironment environment, long second) {
        environment.callers().readStatistics(statistics -> {
            long intentCount = 0;
            long inTarget = 0;
            for (CallerStatistics.SkillStatistics row : statistics.bySkill().values()) {
                intentCount += row.intentCount();
                inTarget += row.count(CallerStatistics.CallOutcome.IN_TARGET);
            }
            out.printf(
                    Locale.ROOT,
                    "%5d s  wanted %d, in target %d, established %d, circuits used %d, waits ms%s%n",
                    second,
                    intentCount,
                    inTarget,
                    environment.callers().establishedCount(),
                    environment.trunks().circuitsInUse(),
                    environment.queueWaits());
        });
    }

    /** Stops dialing and waits until all open contacts must have ended. */
    private void awaitOpenContacts(StandInEnvironment environment) throws InterruptedException {
        environment.callers().stopDialing();
        Span longestPatience = Span.ZERO;
        for (martenslip.configuration.Skill skill : day.skills()) {
            longestPatience = longestPatience.atLeast(skill.patience());
        }
        TimeUnit.NANOSECONDS.sleep(longestPatience.plus(Span.ofMillis(2000)).ns());
    }

    private void printTable(StandInEnvironment environment, double cpuSeconds) throws InterruptedException {
        CompletableFuture<Void> printed = new CompletableFuture<>();
        environment.callers().readStatistics(statistics -> {
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
            for (Map.Entry<String, CallerStatistics.SkillStatistics> entry :
                    statistics.bySkill().entrySet()) {
                CallerStatistics.SkillStatistics row = entry.getValue();
                out.printf(
                        Locale.ROOT,
                        "%-14s %8d %8d %8d %8d %8d %8d %8d %8d %8d %8.1f %8.1f %8.1f%n",
                        entry.getKey(),
                        row.intentCount(),
                        row.tryCount(),
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
            long tries = statistics.bySkill().values().stream()
                    .mapToLong(CallerStatistics.SkillStatistics::tryCount)
                    .sum();
            out.printf(
                    Locale.ROOT,
                    "controllers: %.1f s of CPU since the first contact, %.3f ms a try%n",
                    cpuSeconds,
                    cpuSeconds * 1000 / Math.max(1, tries));
            printed.complete(null);
        });
        try {
            printed.get(10, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            out.println("no statistics table: " + e);
        }
    }

    /** Checks the rules against a capture and prints the results; true where all passed. */
    public static boolean verify(Path capture, PrintStream out) throws IOException {
        RuleVerifier verifier = new RuleVerifier();
        CaptureReader.read(capture, verifier);
        boolean allPassed = true;
        for (RuleResult result : verifier.results()) {
            result.print(out);
            allPassed &= result.passed();
        }
        return allPassed;
    }
}
