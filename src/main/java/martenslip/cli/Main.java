package martenslip.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import martenslip.Logic;
import martenslip.drill.Drill;
import martenslip.drill.MalformedWire;

/** The way in. The drill's CPU is billed, so it is reached before any library is. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("drill")) {
            drill();
        } else {
            System.exit(Program.run(args));
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
