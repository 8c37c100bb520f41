package martenslip.expect;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import martenslip.RoutingPolicy;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.configuration.ExchangeFile;
import martenslip.configuration.InvalidFileException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The example of 200 lines on 51 desks: it holds, and breaks planted in the configuration are named. */
public class ExampleExpectationsTest {
    private static final Path FOLDER = Path.of("examples", "expect");
    private static final int[] TANDEMS = {3, 11, 19, 27, 35, 43};

    private static Map<Integer, ExchangeConfiguration> others() throws IOException, InvalidFileException {
        Map<Integer, ExchangeConfiguration> sites = new TreeMap<>();
        try (Stream<Path> all = Files.list(FOLDER.resolve("others"))) {
            for (Path one : all.sorted().toList()) {
                ExchangeConfiguration site = ExchangeFile.read(one);
                sites.put(site.number(), site);
            }
        }
        return sites;
    }

    private static ExchangeConfiguration site(String xml) throws InvalidFileException {
        return ExchangeFile.read("desk07.xml", xml.getBytes(StandardCharsets.UTF_8), FOLDER);
    }

    private static ExpectationFile.Contents lines(ExchangeConfiguration site) throws IOException, InvalidFileException {
        return ExpectationFile.read("desk07.expect", Files.readString(FOLDER.resolve("desk07.expect")), site);
    }

    private static ExpectationChecker check(ExchangeConfiguration site, ExpectationFile.Contents read)
            throws IOException, InvalidFileException {
        Map<Integer, ExchangeConfiguration> sites = others();
        sites.put(7, site);
        return new ExpectationChecker(sites, 7, read, RoutingPolicy::new);
    }

    @Test
    public void allOfItHoldsAndNoneContradictsAnother() throws Exception {
        ExchangeConfiguration site = site(Files.readString(FOLDER.resolve("desk07.xml")));
        ExpectationFile.Contents read = lines(site);
        assertEquals(read.expectations().size(), 200);
        assertEquals(Contradictions.find(read.expectations()), List.of());
        ExpectationChecker check = check(site, read);
        for (Expectation one : read.expectations()) {
            ExpectationChecker.Result verdict = check.check(one);
            assertTrue(verdict.holds(), one.text() + ": " + verdict.reason());
        }
    }

    /** A break is a change of the file, the lines that it may touch (by a part of their text), one that it must. */
    @DataProvider
    public Object[][] breaks() {
        List<Object[]> all = new ArrayList<>();
        for (int tandem : TANDEMS) {
            String group = "g-" + Math.min(7, tandem) + "-" + Math.max(7, tandem);
            String desk = "desk" + tandem + ".example.org";
            String line = "<group name=\"" + group + "\" far=\"" + tandem + "\" circuits=\"60\"/>";
            String prefix = String.format("<prefix digits=\"+91484%02d\" exchange=\"%d\"/>", tandem, tandem);
            all.add(new Object[] {line, line.replace("60", "1"), desk, "pickup-slot to " + desk + " goes direct"});
            all.add(new Object[] {
                prefix,
                prefix + String.format("<prefix digits=\"+91484%02d00\" exchange=\"1\"/>", tandem),
                desk,
                "label-status to " + desk + " goes direct"
            });
        }
        all.add(new Object[] {
            "name=\"pickup-slot\" value=\"8\" width=\"2\"",
            "name=\"pickup-slot\" value=\"8\" width=\"61\"",
            "",
            "pickup-slot to desk3.example.org goes direct"
        });
        return all.toArray(new Object[0][]);
    }

    @Test(dataProvider = "breaks")
    public void aPlantedBreakIsNamedAndNoneBeside(String was, String becomes, String touched, String named)
            throws Exception {
        String xml = Files.readString(FOLDER.resolve("desk07.xml"));
        assertTrue(xml.contains(was), was);
        ExchangeConfiguration site = site(xml.replace(was, becomes));
        // A line may ask for more circuits than the group now has, which is told when the file is read.
        String text = Files.readString(FOLDER.resolve("desk07.expect")).replaceAll("(?m)^.* has 30 free$", "");
        ExpectationFile.Contents read = ExpectationFile.read("desk07.expect", text, site);
        ExpectationChecker check = check(site, read);
        List<String> broken = new ArrayList<>();
        for (Expectation one : read.expectations()) {
            // A tandem with a single circuit is still drawn, and what it was drawn for is deferred near full.
            boolean mentions = one.text().contains(touched)
                    || becomes.contains("\"1\"") && one.text().contains("tandems");
            // Of those that may not mind, every tenth.
            if ((one.text().contains(touched) || one.line() % 10 == 0)
                    && !check.check(one).holds()) {
                broken.add(one.text());
                assertTrue(
                        mentions,
                        "broken beside: " + one.text() + ": " + check.check(one).reason());
            }
        }
        assertTrue(broken.stream().anyMatch(one -> one.startsWith(named)), named + " not in " + broken);
    }

    /** Removed or shrunk groups that lines speak of by name or number are told before anything is tried. */
    @Test
    public void aLineThatTheFileCantMeetIsNamed() throws Exception {
        String xml = Files.readString(FOLDER.resolve("desk07.xml"));
        for (int tandem : TANDEMS) {
            String group = "g-" + Math.min(7, tandem) + "-" + Math.max(7, tandem);
            String line = "<group name=\"" + group + "\" far=\"" + tandem + "\" circuits=\"60\"/>";
            for (String becomes : new String[] {"", line.replace("60", "29")}) {
                try {
                    lines(site(xml.replace(line, becomes)));
                } catch (InvalidFileException e) {
                    assertTrue(e.getMessage().contains(group), e.getMessage());
                    assertFalse(e.errors().isEmpty());
                    continue;
                }
                throw new AssertionError("taken: " + group + " as '" + becomes + "'");
            }
        }
    }
}
