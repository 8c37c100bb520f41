package martenslip.cli;

import java.io.FileOutputStream;
import java.io.FileDescriptor;
import java.io.IOException;
import martenslip.Logic;
import martenslip.drill.Drill;
import martenslip.drill.MalformedWire;

/** The command line. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: martenslip drill    decide for the wire on standard input and output");
            System.exit(2);
        }
        try (FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new Drill(System.in, out, Logic::new).run();
        } catch (MalformedWire | IOException e) {
            System.err.println("martenslip: " + e.getMessage());
            System.exit(1);
        }
    }
}
