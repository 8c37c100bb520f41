package martenslip.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import martenslip.scenario.ScenarioRunner;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks the rules in a capture. */
@Command(
        name = "prove",
        mixinStandardHelpOptions = true,
        description = "Checks the five rules in a capture; exit code 1 if one is broken.")
final class ProveCommand implements Callable<Integer> {
    @Parameters(paramLabel = "CAPTURE")
    private Path file;

    @Override
    public Integer call() {
        try {
            return ScenarioRunner.verify(file, System.out) ? 0 : 1;
        } catch (IOException e) {
            System.err.println("martenslip: " + file + ": " + e.getMessage());
            return 2;
        }
    }
}
