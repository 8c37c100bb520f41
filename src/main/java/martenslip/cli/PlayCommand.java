package martenslip.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import martenslip.configuration.InvalidFileException;
import martenslip.scenario.Day;
import martenslip.scenario.ScenarioRunner;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays a day on loopback sockets and checks the rules in its capture. */
@Command(
        name = "play",
        mixinStandardHelpOptions = true,
        description = "Plays a day file over loopback sockets, prints a table and checks the rules.")
final class PlayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DAY")
    private Path file;

    @Option(
            names = "--into",
            paramLabel = "FOLDER",
            description = "Folder for capture, files and logs " + "(default: target/play/NAME).")
    private Path outputFolder;

    @Option(
            names = "--java",
            paramLabel = "OPTIONS",
            description = "JVM options of the controllers " + "(default: ${DEFAULT-VALUE}).",
            defaultValue = "-XX:+UseParallelGC -XX:ParallelGCThreads=2 "
                    + "-XX:TieredStopAtLevel=1 -Xms256m -Xmx512m -Xmn128m")
    private String jvmOptions;

    @Option(names = "--lanes", paramLabel = "N", description = "Lanes of each controller; overrides the day file.")
    private int lanes;

    @Override
    public Integer call() throws InterruptedException {
        try {
            Day day = Day.read(file);
            Path folder = outputFolder != null ? outputFolder : Path.of("target", "play", day.name());
            boolean rulesKept =
                    new ScenarioRunner(day, folder, List.of(jvmOptions.trim().split(" +")), lanes, System.out).run();
            // The process ends while reader threads of stand-ins may still block on sockets, so the output is flushed
            // first.
            System.out.flush();
            return rulesKept ? 0 : 1;
        } catch (InvalidFileException e) {
            System.err.println(e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("martenslip: " + e);
            return 2;
        }
    }
}
