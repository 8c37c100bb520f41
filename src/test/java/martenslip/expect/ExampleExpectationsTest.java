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

/** The example with 200 expectations among 51 desks: all hold, and a fault in the configuration breaks the related ones. */
public class ExampleExpectationsTest {
    private static final Path FOLDER = Path.of("examples", "expect");
    private static final int[] TANDEMS = {3, 11, 19, 27, 35, 43};

    private static Map<Integer, ExchangeConfiguration> otherConfigurations() throws IOException, InvalidFileException {
        Map<Integer, ExchangeConfiguration> configurations = new TreeMap<>();
        try (Stream<Path> files = Files.list(FOLDER.resolve("others"))) {
            for (Path file : files.sorted().toList()) {
                ExchangeConfiguration configuration = ExchangeFile.read(file);
                configurations.put(configuration.number(), configuration);
            }
        }
        return configurations;
    }

    private static ExchangeConfiguration parseConfiguration(String xml) throws InvalidFileException {
        return ExchangeFile.read("desk07.xml", xml.getBytes(StandardCharsets.UTF_8), FOLDER);
    }

    private static ExpectationFile.Contents readExpectations(ExchangeConfiguration configuration)
            throws IOException, InvalidFileException {
        return ExpectationFile.read("desk07.expect", Files.readString(FOLDER.resolve("desk07.expect")), configuration);
    }

    private static ExpectationChecker newChecker(ExchangeConfiguration configuration, ExpectationFile.Contents contents)
            throws IOException, InvalidFileException {
        Map<Integer, ExchangeConfiguration> configurations = otherConfigurations();
        configurations.put(7, configuration);
        return new ExpectationChecker(configurations, 7, contents, RoutingPolicy::new);
    }

    @Test
    public void allExpectationsHoldWithoutContradictions() throws Exception {
        ExchangeConfiguration configuration = parseConfiguration(Files.readString(FOLDER.resolve("desk07.xml")));
        ExpectationFile.Contents contents = readExpectations(configuration);
        assertEquals(contents.expectations().size(), 200);
        assertEquals(Contradictions.find(contents.expectations()), List.of());
        ExpectationChecker checker = newChecker(configuration, contents);
        for (Expectation expectation : contents.expectations()) {
            ExpectationChecker.Result result = checker.check(expectation);
            assertTrue(result.holds(), expectation.text() + ": " + result.reason());
        }
    }

    /**
     * Each row: a text of the file, its replacement, a text that all expectations contain which it may break, and the
     * start of one that it must break.
     */
    @DataProvider
    public Object[][] configurationFaults() {
        List<Object[]> faults = new ArrayList<>();
        for (int tandem : TANDEMS) {
            String group = "g-" + Math.min(7, tandem) + "-" + Math.max(7, tandem);
            String desk = "desk" + tandem + ".example.org";
            String groupElement = "<group name=\"" + group + "\" far=\"" + tandem + "\" circuits=\"60\"/>";
            String prefixElement = String.format("<prefix digits=\"+91484%02d\" exchange=\"%d\"/>", tandem, tandem);
            faults.add(new Object[] {
                groupElement, groupElement.replace("60", "1"), desk, "pickup-slot to " + desk + " goes direct"
            });
            faults.add(new Object[] {
                prefixElement,
                prefixElement + String.format("<prefix digits=\"+91484%02d00\" exchange=\"1\"/>", tandem),
                desk,
                "label-status to " + desk + " goes direct"
            });
        }
        faults.add(new Object[] {
            "name=\"pickup-slot\" value=\"8\" width=\"2\"",
            "name=\"pickup-slot\" value=\"8\" width=\"61\"",
            "",
            "pickup-slot to desk3.example.org goes direct"
        });
        return faults.toArray(new Object[0][]);
    }

    @Test(dataProvider = "configurationFaults")
    public void faultBreaksOnlyRelatedExpectations(
            String original, String replacement, String relatedText, String expectedText) throws Exception {
        String xml = Files.readString(FOLDER.resolve("desk07.xml"));
        assertTrue(xml.contains(original), original);
        ExchangeConfiguration configuration = parseConfiguration(xml.replace(original, replacement));
        // Removes lines that ask for more circuits than the group now has, as reading the file would fail.
        String expectations = Files.readString(FOLDER.resolve("desk07.expect")).replaceAll("(?m)^.* has 30 free$", "");
        ExpectationFile.Contents contents = ExpectationFile.read("desk07.expect", expectations, configuration);
        ExpectationChecker checker = newChecker(configuration, contents);
        List<String> broken = new ArrayList<>();
        for (Expectation expectation : contents.expectations()) {
            // A tandem whose group has a single circuit may still be chosen; the contact is then deferred as the group
            // is full.
            boolean related = expectation.text().contains(relatedText)
                    || replacement.contains("\"1\"") && expectation.text().contains("tandems");
            // Of the unrelated expectations, every tenth is checked.
            if ((expectation.text().contains(relatedText) || expectation.line() % 10 == 0)
                    && !checker.check(expectation).holds()) {
                broken.add(expectation.text());
                assertTrue(
                        related,
                        "unrelated expectation broken: " + expectation.text() + ": "
                                + checker.check(expectation).reason());
            }
        }
        assertTrue(
                broken.stream().anyMatch(expectation -> expectation.startsWith(expectedText)),
                expectedText + " not in " + broken);
    }

    /** An expectation that names a removed group, or more circuits than the group has, is an error of the file. */
    @Test
    public void rejectsExpectationsThatGroupCannotMeet() throws Exception {
        String xml = Files.readString(FOLDER.resolve("desk07.xml"));
        for (int tandem : TANDEMS) {
            String group = "g-" + Math.min(7, tandem) + "-" + Math.max(7, tandem);
            String groupElement = "<group name=\"" + group + "\" far=\"" + tandem + "\" circuits=\"60\"/>";
            for (String replacement : new String[] {"", groupElement.replace("60", "29")}) {
                try {
                    readExpectations(parseConfiguration(xml.replace(groupElement, replacement)));
                } catch (InvalidFileException e) {
                    assertTrue(e.getMessage().contains(group), e.getMessage());
                    assertFalse(e.errors().isEmpty());
                    continue;
                }
                throw new AssertionError("accepted: " + group + " as '" + replacement + "'");
            }
        }
    }
}
