package martenslip.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line. Exit codes: 0 success, 1 the command ran and what it checks is wrong, 2 wrong arguments or an
 * input/output error. {@link ExpectCommand} has two more.
 */
@Command(
        name = "martenslip",
        mixinStandardHelpOptions = true,
        version = "martenslip 0.2.0",
        description = "A call controller that sets calls up over shared groups of circuits.",
        subcommands = {
            RunCommand.class,
            PlayCommand.class,
            ProveCommand.class,
            MeasureCommand.class,
            CheckCommand.class,
            BenchCommand.class,
            ExpectCommand.class,
            DrillCommand.class,
            ServeCommand.class
        })
final class RootCommand {
    private RootCommand() {}

    static int run(String[] arguments) {
        CommandLine commandLine = new CommandLine(new RootCommand());
        if (arguments.length == 0) {
            commandLine.usage(System.err);
            return 2;
        }
        return commandLine.execute(arguments);
    }
}
