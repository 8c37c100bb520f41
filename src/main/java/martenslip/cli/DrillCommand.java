package martenslip.cli;

import picocli.CommandLine.Command;

/** Lists the command in the help; {@link Main} runs it itself, before any library is loaded. */
@Command(name = "drill", description = "Serves the simulator protocol on standard input and output.")
final class DrillCommand implements Runnable {
    @Override
    public void run() {
        throw new IllegalStateException("drill takes no options");
    }
}
