package martenslip.cli;

import picocli.CommandLine.Command;

/** Lists the command in the help; {@link Main} runs it itself, before any library is loaded. */
@Command(name = "serve", description = "Runs as a service of the platform; ROUTER_CONFIG names its configuration file.")
final class ServeCommand implements Runnable {
    @Override
    public void run() {
        throw new IllegalStateException("serve takes no options");
    }
}
