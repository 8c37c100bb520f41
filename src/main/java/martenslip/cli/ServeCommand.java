package martenslip.cli;

import picocli.CommandLine.Command;

/** Stands in the help; {@link Main} runs it before any library is loaded. */
@Command(name = "serve", description = "Serves on the platform, as ROUTER_CONFIG says.")
final class ServeCommand implements Runnable {
    @Override
    public void run() {
        throw new IllegalStateException("serve takes no options");
    }
}
