package martenslip.platform.switchconnection;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests parsing of load reports, also of absent fields. */
public class LoadReportParserTest {
    private static final float ABSENT = Float.NaN;

    @DataProvider
    public Object[][] reports() {
        return new Object[][] {
            {"spare:12;total:40;allowed:3.5", new float[] {12, 40, 3.5f}},
            {"x0:12;x1:40;qps:3", new float[] {12, 40, 3}},
            {"total:40;spare:12", new float[] {12, 40, -1}},
            {"x0:0;x1:0", new float[] {0, 0, -1}},
            {"qps:7", new float[] {ABSENT, ABSENT, 7}},
            {"x0:-1;x1:-1;qps:-1", new float[] {ABSENT, ABSENT, -1}},
            {"x0:NaN;x1:1e99;qps:many", new float[] {ABSENT, ABSENT, -1}},
            {"queue:3", new float[] {}},
            {"", new float[] {}},
            {null, new float[] {}},
            {":;::;x0", new float[] {}},
        };
    }

    @Test(dataProvider = "reports")
    public void absentFieldIsNeverZero(String text, float[] expected) {
        assertEquals(new LoadReportParser(List.of("spare", "total", "allowed")).parse(text), expected, 0f);
    }

    @Test
    public void circuitFieldsAreLeftOutOfAReportThatMayBeOutdated() {
        LoadReportParser parser = new LoadReportParser(List.of("spare", "total", "allowed"));
        assertEquals(parser.parseWithoutCircuits("spare:12;total:40;allowed:3"), new float[] {ABSENT, ABSENT, 3}, 0f);
        assertEquals(parser.parseWithoutCircuits(null), new float[] {});
    }
}
