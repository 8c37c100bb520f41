package martenslip.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import martenslip.control.Span;
import martenslip.verification.AddedDelay;
import martenslip.verification.CaptureReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Measures from a capture how much delay controllers add to a set-up. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Prints the delay that controllers add to a set-up, measured from a capture.")
final class MeasureCommand implements Callable<Integer> {
    @Parameters(paramLabel = "CAPTURE")
    private Path file;

    @Option(
            names = "--each",
            paramLabel = "SECONDS",
            description = "Also print a row for each interval of this many seconds.")
    private int intervalSeconds;

    @Override
    public Integer call() {
        try {
            AddedDelay addedDelay = new AddedDelay(Span.ofMillis(intervalSeconds * 1000.0));
            CaptureReader.read(file, addedDelay);
            addedDelay.print(System.out);
            return 0;
        } catch (IOException e) {
            System.err.println("martenslip: " + file + ": " + e.getMessage());
            return 2;
        }
    }
}
