package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Each setting in turn is missing or has a wrong type, sign or range: it takes its default or is refused with its path.
 */
public class ConfigurationTest {
    private static final String VALID = PlatformStandIn.configuration(1, PlatformStandIn.switchListEvent(1, true));

    private static void readConfiguration(String text) throws IOException {
        Path file = PlatformStandIn.writeTemporary(text);
        try {
            Configuration.read(file);
        } finally {
            Files.delete(file);
        }
    }

    /** The path as the error names it, the valid text of the setting, a wrong text. */
    @DataProvider
    public Object[][] wrongSettings() {
        List<Object[]> cases = new ArrayList<>();
        for (Map.Entry<String, String> setting : Map.of(
                        "family-info.mean-hold-ns",
                        "\"mean-hold-ns\":[10000000000,5000000000]",
                        "family-info.widths",
                        "\"widths\":[1,1]",
                        "family-info.home-no",
                        "\"home-no\":0",
                        "family-info.release-ns",
                        "\"release-ns\":200000000",
                        "guarantees.warm-within-ns",
                        "\"warm-within-ns\":1000000000",
                        "guarantees.cold-share",
                        "\"cold-share\":0.3",
                        "policy-limits.send-cap",
                        "\"send-cap\":5",
                        "policy-limits.max-open",
                        "\"max-open\":50",
                        "round-ns",
                        "\"round-ns\":5000000",
                        "me",
                        "\"me\":0")
                .entrySet()) {
            String settingName =
                    setting.getValue().substring(0, setting.getValue().indexOf(':') + 1);
            for (String wrongValue :
                    new String[] {"\"many\"", "-2", "\"NaN\"", "1e300", "{\"a\":1}", "\"Infinity\"", "true"}) {
                cases.add(new Object[] {setting.getKey(), setting.getValue(), settingName + wrongValue});
            }
        }
        cases.add(new Object[] {"policy-limits.cancel", "\"cancel\":true", "\"cancel\":\"yes\""});
        cases.add(new Object[] {"policy-limits.peers", "\"peers\":false", "\"peers\":0"});
        cases.add(new Object[] {"classes.0.worth", "\"worth\":1}", "\"worth\":\"dear\"}"});
        cases.add(new Object[] {
            "classes.1.hard-limit-ns", "\"hard-limit-ns\":9000000000,\"worth\":8", "\"hard-limit-ns\":-1,\"worth\":8"
        });
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "wrongSettings")
    public void aWrongSettingIsRefusedByItsPath(String path, String validText, String wrongValue) throws IOException {
        String text = VALID.replace(validText, wrongValue);
        assertTrue(!text.equals(VALID), validText + " is not in the configuration");
        try {
            readConfiguration(text);
        } catch (IOException e) {
            assertTrue(e.getMessage().startsWith("settings." + path + " is "), e.getMessage());
            assertEquals(e.getMessage().lines().count(), 1L);
            return;
        }
        throw new AssertionError(wrongValue + " was accepted");
    }

    /** Renames each member of the file in turn: the file is read, or one line names what is missing. */
    @Test
    public void withoutAnyOneMemberItIsReadOrRefusedInOneLine() throws IOException {
        int refused = 0;
        int members = 0;
        int nameStart = VALID.indexOf('"');
        for (; nameStart >= 0; nameStart = VALID.indexOf('"', nameStart + 1)) {
            int nameEnd = VALID.indexOf('"', nameStart + 1);
            if (nameEnd < 0 || VALID.charAt(nameEnd + 1) != ':') {
                continue;
            }
            members++;
            try {
                readConfiguration(VALID.substring(0, nameStart + 1) + "gone-" + VALID.substring(nameStart + 1));
            } catch (IOException e) {
                refused++;
                assertEquals(e.getMessage().lines().count(), 1L, e.getMessage());
                assertTrue(e.getMessage().matches(".*(missing|without|null|no address).*"), e.getMessage());
            }
            nameStart = nameEnd;
        }
        assertTrue(members > 25 && refused > 5 && refused < members, refused + " of " + members);
    }
}
