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

public class ExchangeFileTest {
    private static final Path SAMPLE = Path.of("deploy/exchange.xml");

    private static ExchangeConfiguration read(String text) throws InvalidFileException {
        return ExchangeFile.read("x.xml", text.getBytes(StandardCharsets.UTF_8), Path.of("/"));
    }

    @Test
    public void theSampleIsRead() throws IOException, InvalidFileException {
        ExchangeConfiguration site = ExchangeFile.read(SAMPLE);
        assertEquals(site.groups().get(2).circuits(), 24);
        assertEquals(site.numbering().exchangeForNumber("+91484550299999"), 2);
        assertEquals(site.numbering().exchangeForNumber("+9148"), -1);
        assertEquals(site.settings(Span.ofMillis(10)).get("report.fields"), "spare,total,allowed,depth");
    }

    @DataProvider
    public Object[][] faults() {
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
            {"exchange=\"2\" uri", "exchange=\"1\" uri", "/exchange/peers/peer/@exchange", "stands twice"},
            {"circuits=\"40\"", "circuits=\"0\"", "/exchange/groups/group", "0"},
        };
    }

    @Test(dataProvider = "faults")
    public void aFaultIsNamedByLinePathAndReason(String good, String bad, String path, String reason)
            throws IOException {
        String text = Files.readString(SAMPLE);
        assertTrue(text.contains(good), good);
        InvalidFileException rejected = expectThrows(InvalidFileException.class, () -> read(text.replace(good, bad)));
        String line = rejected.getMessage()
                .lines()
                .filter(one -> one.contains(path) && one.contains(reason))
                .findFirst()
                .orElse("none of: " + rejected.getMessage());
        int expected = text.substring(0, text.indexOf(good)).split("\n", -1).length;
        int told = Integer.parseInt(line.replaceFirst(".*line (\\d+),.*", "$1"));
        assertTrue(Math.abs(told - expected) <= 1, line + "; the fault stands in line " + expected);
    }

    @Test
    public void documentTypesAndEntitiesAreNotRead() throws IOException {
        String text = Files.readString(SAMPLE)
                .replace("<exchange ", "<!DOCTYPE exchange [<!ENTITY x SYSTEM \"file:///etc/hostname\">]><exchange ");
        assertThrows(InvalidFileException.class, () -> read(text));
        assertThrows(InvalidFileException.class, () -> read("<exchange"));
        assertThrows(InvalidFileException.class, () -> read(""));
    }
}
