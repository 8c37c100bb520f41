package martenslip.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Exit codes and output of the expect command. */
public class ExpectCommandTest {
    private static final Path CONFIGURATION = Path.of("examples", "expect", "desk07.xml");
    private static final String DESK_DEFINITIONS = "desk a is exchange 3\ndesk b is exchange 11\n";
    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("expect");
    }

    private String writeExpectations(String text) throws IOException {
        return Files.writeString(folder.resolve("lines.expect"), DESK_DEFINITIONS + text)
                .toString();
    }

    /** Returns the exit code, a blank and the text printed on standard output. */
    private static String run(String... arguments) {
        PrintStream originalOut = System.out;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        try {
            return RootCommand.run(arguments) + " " + output.toString(StandardCharsets.UTF_8);
        } finally {
            System.setOut(originalOut);
        }
    }

    @Test
    public void exitCodeDependsOnOutcome() throws Exception {
        String configuration = CONFIGURATION.toString();
        assertTrue(run("expect", writeExpectations("anything to a goes direct"), "--site", configuration)
                .startsWith("0 "));
        assertTrue(run("expect", writeExpectations("anything to a goes via b"), "--site", configuration)
                .startsWith("1 "));
        assertTrue(run(
                        "expect",
                        writeExpectations("anything to a goes via b\nanything to a goes direct"),
                        "--site",
                        configuration)
                .startsWith("3 "));
        assertTrue(run("expect", writeExpectations("anything to a goes astray"), "--site", configuration)
                .startsWith("4 "));
        assertTrue(run("expect", folder.resolve("none").toString(), "--site", configuration)
                .startsWith("2 "));
    }

    @Test
    public void reportsChangesFromOlderFileAndWritesJUnitReport() throws Exception {
        String configuration = Files.readString(CONFIGURATION);
        String groupElement = "<group name=\"g-3-7\" far=\"3\" circuits=\"60\"/>";
        assertTrue(configuration.contains(groupElement));
        Path changed = Files.writeString(
                folder.resolve("new.xml"), configuration.replace(groupElement, groupElement.replace("60", "1")));
        Path junitFile = folder.resolve("junit.xml");
        String output = run(
                "expect",
                writeExpectations("pickup-slot to a goes direct\npickup-slot to b goes direct"),
                "--site",
                changed.toString(),
                "--against",
                CONFIGURATION.toString(),
                "--junit",
                junitFile.toString());
        assertTrue(output.startsWith("1 "), output);
        assertTrue(output.contains(":3 now breaks: pickup-slot to a goes direct"), output);
        assertEquals(output.split("now breaks", -1).length, 2, output);
        String report = Files.readString(junitFile);
        assertTrue(report.contains("tests=\"2\" failures=\"1\""), report);
        assertTrue(report.contains("<failure message=\"pickup-slot to a went "), report);
    }
}
