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

/** Each setting in turn gone, of a wrong type, sign or range: it is taken with its default, or refused by its path. */
public class ConfigurationTest {
    private static final String GOOD = PlatformStandIn.configuration(1, PlatformStandIn.event(1, true));

    private static void read(String text) throws IOException {
        Path file = PlatformStandIn.written(text);
        try {
            Configuration.read(file);
        } finally {
            Files.delete(file);
        }
    }

    /** Path as the error names it, the text of the setting as it stands, a wrong one. */
    @DataProvider
    public Object[][] wrong() {
        List<Object[]> all = new ArrayList<>();
        for (Map.Entry<String, String> one : Map.of(
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
            String name = one.getValue().substring(0, one.getValue().indexOf(':') + 1);
            for (String bad :
                    new String[] {"\"many\"", "-2", "\"NaN\"", "1e300", "{\"a\":1}", "\"Infinity\"", "true"}) {
                all.add(new Object[] {one.getKey(), one.getValue(), name + bad});
            }
        }
        all.add(new Object[] {"policy-limits.cancel", "\"cancel\":true", "\"cancel\":\"yes\""});
        all.add(new Object[] {"policy-limits.peers", "\"peers\":false", "\"peers\":0"});
        all.add(new Object[] {"classes.0.worth", "\"worth\":1}", "\"worth\":\"dear\"}"});
        all.add(new Object[] {
            "classes.1.hard-limit-ns", "\"hard-limit-ns\":9000000000,\"worth\":8", "\"hard-limit-ns\":-1,\"worth\":8"
        });
        return all.toArray(Object[][]::new);
    }

    @Test(dataProvider = "wrong")
    public void aWrongSettingIsRefusedByItsPath(String path, String stands, String bad) throws IOException {
        String text = GOOD.replace(stands, bad);
        assertTrue(!text.equals(GOOD), stands + " is not there");
        try {
            read(text);
        } catch (IOException e) {
            assertTrue(e.getMessage().startsWith("settings." + path + " is "), e.getMessage());
            assertEquals(e.getMessage().lines().count(), 1L);
            return;
        }
        throw new AssertionError(bad + " was taken");
    }

    /** Whatever else is gone from the file: it is read, or one line names what is missing. */
    @Test
    public void withoutAnyOneMemberItIsReadOrRefusedInOneLine() throws IOException {
        int refused = 0;
        int members = 0;
        for (int at = GOOD.indexOf('"'); at >= 0; at = GOOD.indexOf('"', at + 1)) {
            int end = GOOD.indexOf('"', at + 1);
            if (end < 0 || GOOD.charAt(end + 1) != ':') {
                continue;
            }
            members++;
            try {
                read(GOOD.substring(0, at + 1) + "gone-" + GOOD.substring(at + 1));
            } catch (IOException e) {
                refused++;
                assertEquals(e.getMessage().lines().count(), 1L, e.getMessage());
                assertTrue(e.getMessage().matches(".*(missing|without|null|no address).*"), e.getMessage());
            }
            at = end;
        }
        assertTrue(members > 25 && refused > 5 && refused < members, refused + " of " + members);
    }
}
