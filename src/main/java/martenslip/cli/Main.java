package martenslip.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import martenslip.Logic;
import martenslip.drill.Drill;
import martenslip.drill.MalformedWire;
import martenslip.platform.Rehearsal;
import martenslip.platform.Reloads;
import martenslip.platform.Serve;
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
            System.exit(Program.run(args));
        }
    }

    /** The signals are taken first of all: a SIGHUP that comes early would end the process. */
    private static void serve() {
        Reloads reloads = new Reloads();
        Signal.handle(new Signal("HUP"), any -> reloads.ask());
        try {
            Path configured = Serve.configured();
            Serve serve;
            try {
                serve = new Serve(configured, Logic::new, System.err);
            } catch (IOException | RuntimeException e) {
                System.err.println("martenslip: " + configured + ": " + e.getMessage());
                System.exit(2);
                return;
            }
            Signal.handle(new Signal("TERM"), any -> serve.term());
            serve.open();
            reloads.begin(serve::reload);
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
            Rehearsal.run(Logic::new);
            System.exit(0);
        } catch (IOException e) {
            System.err.println("martenslip: " + e.getMessage());
            System.exit(1);
        }
    }

    private static void drill() {
        try (FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new Drill(System.in, out, Logic::new).run();
        } catch (MalformedWire | IOException e) {
            System.err.println("martenslip: " + e.getMessage());
            System.exit(1);
        }
    }
}
