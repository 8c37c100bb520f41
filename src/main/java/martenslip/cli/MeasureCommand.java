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

/** Reads what controllers add to a set-up from a capture. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Prints what controllers add to a set-up, as a capture shows it.")
final class MeasureCommand implements Callable<Integer> {
    @Parameters(paramLabel = "CAPTURE")
    private Path file;

    @Option(names = "--each", paramLabel = "SECONDS", description = "A row for every so many seconds too.")
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
