package martenslip.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import martenslip.RoutingPolicy;
import martenslip.platform.CdsTrainingRun;
import martenslip.platform.ControllerService;
import martenslip.platform.ReloadSignal;
import martenslip.simulatorprotocol.MalformedInputException;
import martenslip.simulatorprotocol.SimulatorProtocol;
import sun.misc.Signal;

/** The way in. The drill's CPU is billed and a controller in service has little memory, so both are
 * reached before any library is. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("drill")) {
            drill();
        } else if (args.length == 1 && args[0].equals("serve")) {
            serve();
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            rehearse();
        } else {
            System.exit(RootCommand.run(args));
        }
    }

    /** The signals are taken first of all: a SIGHUP that comes early would end the process. */
    private static void serve() {
        ReloadSignal reloads = new ReloadSignal();
        Signal.handle(new Signal("HUP"), any -> reloads.request());
        try {
            Path configured = ControllerService.configurationFile();
            ControllerService serve;
            try {
                serve = new ControllerService(configured, RoutingPolicy::new, System.err);
            } catch (IOException | RuntimeException e) {
                System.err.println("martenslip: " + configured + ": " + e.getMessage());
                System.exit(2);
                return;
            }
            Signal.handle(new Signal("TERM"), any -> serve.requestShutdown());
            serve.startServing();
            reloads.start(serve::reload);
            serve.await();
            System.exit(0);
        } catch (IOException e) {
            System.err.println("martenslip: " + e.getMessage());
            System.exit(2);
        } catch (InterruptedException e) {
            System.exit(1);
        }
    }

    /** For the build: the JVM keeps an archive of what this loads. */
    private static void rehearse() {
        try {
            CdsTrainingRun.run(RoutingPolicy::new);
            System.exit(0);
        } catch (IOException e) {
            System.err.println("martenslip: " + e.getMessage());
            System.exit(1);
        }
    }

    private static void drill() {
        try (FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new SimulatorProtocol(System.in, out, RoutingPolicy::new).run();
        } catch (MalformedInputException | IOException e) {
            System.err.println("martenslip: " + e.getMessage());
            System.exit(1);
        }
    }
}
