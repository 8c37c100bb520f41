package martenslip.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import martenslip.control.Span;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reading of exchange files: a valid one, and the errors that invalid ones yield. */
public class ExchangeFileTest {
    private static final Path SAMPLE = Path.of("deploy/exchange.xml");

    private static ExchangeConfiguration read(String text) throws InvalidFileException {
        return ExchangeFile.read("x.xml", text.getBytes(StandardCharsets.UTF_8), Path.of("/"));
    }

    @Test
    public void readsSampleFile() throws IOException, InvalidFileException {
        ExchangeConfiguration configuration = ExchangeFile.read(SAMPLE);
        assertEquals(configuration.groups().get(2).circuits(), 24);
        assertEquals(configuration.numbering().exchangeForNumber("+91484550299999"), 2);
        assertEquals(configuration.numbering().exchangeForNumber("+9148"), -1);
        assertEquals(configuration.settings(Span.ofMillis(10)).get("report.fields"), "spare,total,allowed,depth");
    }

    @DataProvider
    public Object[][] invalidEdits() {
        return new Object[][] {
            {"region=\"north\">", "region=\"east\">", "/exchange/@region", "no region is called east"},
            {"usual=\"status\"", "usual=\"stat\"", "/exchange/skills/@usual", "no skill is called stat"},
            {"far=\"2\"", "far=\"1\"", "/exchange/groups/group/@far", "has a group already"},
            {"far=\"2\"", "far=\"0\"", "/exchange/groups/group/@far", "not to its own"},
            {"far=\"2\"", "far=\"two\"", "/exchange/groups/group", "two"},
            {"digits=\"+914845502\"", "digits=\"+914845501\"", "/exchange/numbering/prefix/@digits", "already"},
            {"patience-ms=\"6000\"", "patience-ms=\"600\"", "/@answer-target-ms", "longer than the patience"},
            {"host=\"127.0.0.1\"", "host=\"example.org\"", "/exchange/listen/@host", "no address"},
            {"<regions>", "<zones>", "/exchange", "regions"},
            {"exchange=\"2\" uri", "exchange=\"1\" uri", "/exchange/peers/peer/@exchange", "appears twice"},
            {"circuits=\"40\"", "circuits=\"0\"", "/exchange/groups/group", "0"},
        };
    }

    @Test(dataProvider = "invalidEdits")
    public void errorNamesLinePathAndReason(String original, String replacement, String path, String reason)
            throws IOException {
        String text = Files.readString(SAMPLE);
        assertTrue(text.contains(original), original);
        InvalidFileException rejected =
                expectThrows(InvalidFileException.class, () -> read(text.replace(original, replacement)));
        String message = rejected.getMessage()
                .lines()
                .filter(line -> line.contains(path) && line.contains(reason))
                .findFirst()
                .orElse("none of: " + rejected.getMessage());
        int expectedLine = text.substring(0, text.indexOf(original)).split("\n", -1).length;
        int reportedLine = Integer.parseInt(message.replaceFirst(".*line (\\d+),.*", "$1"));
        assertTrue(Math.abs(reportedLine - expectedLine) <= 1, message + "; the error is in line " + expectedLine);
    }

    @Test
    public void rejectsDocumentTypesAndIncompleteXml() throws IOException {
        String text = Files.readString(SAMPLE)
                .replace("<exchange ", "<!DOCTYPE exchange [<!ENTITY x SYSTEM \"file:///etc/hostname\">]><exchange ");
        assertThrows(InvalidFileException.class, () -> read(text));
        assertThrows(InvalidFileException.class, () -> read("<exchange"));
        assertThrows(InvalidFileException.class, () -> read(""));
    }
}
