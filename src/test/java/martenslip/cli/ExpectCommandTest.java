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

public class ExpectCommandTest {
    private static final Path SITE = Path.of("examples", "expect", "desk07.xml");
    private static final String DESKS = "desk a is exchange 3\ndesk b is exchange 11\n";
    private Path folder;

    @BeforeMethod
    public void begin() throws IOException {
        folder = Files.createTempDirectory("expect");
    }

    private String lines(String text) throws IOException {
        return Files.writeString(folder.resolve("lines.expect"), DESKS + text).toString();
    }

    /** Exit code, a blank, and what was said on standard output. */
    private static String run(String... args) {
        PrintStream was = System.out;
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
        try {
            return RootCommand.run(args) + " " + said.toString(StandardCharsets.UTF_8);
        } finally {
            System.setOut(was);
        }
    }

    @Test
    public void exitCodesTellBrokenContradictoryAndMalformedApart() throws Exception {
        String site = SITE.toString();
        assertTrue(run("expect", lines("anything to a goes direct"), "--site", site)
                .startsWith("0 "));
        assertTrue(
                run("expect", lines("anything to a goes via b"), "--site", site).startsWith("1 "));
        assertTrue(run("expect", lines("anything to a goes via b\nanything to a goes direct"), "--site", site)
                .startsWith("3 "));
        assertTrue(run("expect", lines("anything to a goes astray"), "--site", site)
                .startsWith("4 "));
        assertTrue(
                run("expect", folder.resolve("none").toString(), "--site", site).startsWith("2 "));
    }

    @Test
    public void whatChangesAgainstAnOlderFileIsToldAndJUnitHasIt() throws Exception {
        String xml = Files.readString(SITE);
        String line = "<group name=\"g-3-7\" far=\"3\" circuits=\"60\"/>";
        assertTrue(xml.contains(line));
        Path changed = Files.writeString(folder.resolve("new.xml"), xml.replace(line, line.replace("60", "1")));
        Path junit = folder.resolve("junit.xml");
        String said = run(
                "expect",
                lines("pickup-slot to a goes direct\npickup-slot to b goes direct"),
                "--site",
                changed.toString(),
                "--against",
                SITE.toString(),
                "--junit",
                junit.toString());
        assertTrue(said.startsWith("1 "), said);
        assertTrue(said.contains(":3 now breaks: pickup-slot to a goes direct"), said);
        assertEquals(said.split("now breaks", -1).length, 2, said);
        String written = Files.readString(junit);
        assertTrue(written.contains("tests=\"2\" failures=\"1\""), written);
        assertTrue(written.contains("<failure message=\"pickup-slot to a went "), written);
    }
}
