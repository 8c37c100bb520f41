package martenslip.cli;

import picocli.CommandLine.Command;

/** Stands in the help; {@link Main} runs it before any library is loaded. */
@Command(name = "drill", description = "Decides for the simulator's wire on standard input and output.")
final class DrillCommand implements Runnable {
    @Override
    public void run() {
        throw new IllegalStateException("drill takes no options");
    }
}
