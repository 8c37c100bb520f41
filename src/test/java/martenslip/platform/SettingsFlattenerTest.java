package martenslip.platform;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import martenslip.platform.json.Json;
import org.testng.annotations.Test;

/** Nested settings become the paths of the simulator's protocol; text that is not one JSON value is refused. */
public class SettingsFlattenerTest {
    private static Map<String, String> flatten(String json) throws IOException {
        return SettingsFlattener.flatten((Map<?, ?>) Json.parse(json.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    public void settingsAreFlattenedToThePathsOfTheSimulatorProtocol() throws IOException {
        Map<String, String> flattened = flatten("""
                {"classes":[{"name":"a b,c","aim-ns":1200000000,"stream":true,"worth":8.0}],"round-ns":5000000,
                 "family-info":{"widths":[1,2],"class-cells":[]},"zones":["x","y z"],"empty":null,
                 "nested":[[1,2],[3]]}""");
        assertEquals(
                flattened,
                Map.ofEntries(
                        Map.entry("classes.count", "1"),
                        Map.entry("classes.0.name", "a_b_c"),
                        Map.entry("classes.0.aim-ns", "1200000000"),
                        Map.entry("classes.0.stream", "true"),
                        Map.entry("classes.0.worth", "8.0"),
                        Map.entry("round-ns", "5000000"),
                        Map.entry("family-info.widths", "1,2"),
                        Map.entry("family-info.class-cells", ""),
                        Map.entry("zones", "x,y_z"),
                        Map.entry("empty", ""),
                        Map.entry("nested.count", "2"),
                        Map.entry("nested.0", "1,2"),
                        Map.entry("nested.1", "3")));
    }

    @Test(expectedExceptions = IOException.class)
    public void textAfterTheValueIsRefused() throws IOException {
        flatten("{} {}");
    }

    @Test(expectedExceptions = IOException.class)
    public void tooDeepNestingIsRefused() throws IOException {
        flatten("[".repeat(100));
    }
}
