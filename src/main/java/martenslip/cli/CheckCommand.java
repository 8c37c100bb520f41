package martenslip.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.configuration.ExchangeFile;
import martenslip.configuration.InvalidFileException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Validates an exchange's configuration file without starting the exchange. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks an exchange's XML file; prints line, path and reason of each error.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() {
        try {
            ExchangeConfiguration configuration = ExchangeFile.read(file);
            System.out.println("exchange " + configuration.number() + ": "
                    + configuration.groups().size() + " groups, "
                    + configuration.skills().size() + " skills, "
                    + configuration.peers().size() + " peers");
            return 0;
        } catch (InvalidFileException e) {
            System.err.println(e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("martenslip: " + file + " can't be read: " + e);
            return 2;
        }
    }
}
