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

/**
 * The entry point. {@code drill} and {@code serve} start before any library is loaded: the CPU time of {@code drill} is
 * billed, and {@code serve} runs with little memory.
 */
public final class Main {
    private Main() {}

    /** Runs the command that the arguments name; the exit code is described at {@link RootCommand}. */
    public static void main(String[] arguments) {
        if (arguments.length == 1 && arguments[0].equals("drill")) {
            serveSimulatorProtocol();
        } else if (arguments.length == 1 && arguments[0].equals("serve")) {
            serve();
        } else if (arguments.length == 1 && arguments[0].equals("rehearse")) {
            recordClassArchive();
        } else {
            System.exit(RootCommand.run(arguments));
        }
    }

    /** Installs the signal handlers first: a SIGHUP that arrived before them would end the process. */
    private static void serve() {
        ReloadSignal reloadSignal = new ReloadSignal();
        Signal.handle(new Signal("HUP"), signal -> reloadSignal.request());
        try {
            Path configurationFile = ControllerService.configurationFile();
            ControllerService service;
            try {
                service = new ControllerService(configurationFile, RoutingPolicy::new, System.err);
            } catch (IOException | RuntimeException e) {
                System.err.println("martenslip: " + configurationFile + ": " + e.getMessage());
                System.exit(2);
                return;
            }
            Signal.handle(new Signal("TERM"), signal -> service.requestShutdown());
            service.startServing();
            reloadSignal.start(service::reload);
            service.await();
            System.exit(0);
        } catch (IOException e) {
            System.err.println("martenslip: " + e.getMessage());
            System.exit(2);
        } catch (InterruptedException e) {
            System.exit(1);
        }
    }

    /** Used by the build: the JVM archives the classes that this loads (class data sharing). */
    private static void recordClassArchive() {
        try {
            CdsTrainingRun.run(RoutingPolicy::new);
            System.exit(0);
        } catch (IOException e) {
            System.err.println("martenslip: " + e.getMessage());
            System.exit(1);
        }
    }

    private static void serveSimulatorProtocol() {
        try (FileOutputStream output = new FileOutputStream(FileDescriptor.out)) {
            new SimulatorProtocol(System.in, output, RoutingPolicy::new).run();
        } catch (MalformedInputException | IOException e) {
            System.err.println("martenslip: " + e.getMessage());
            System.exit(1);
        }
    }
}
