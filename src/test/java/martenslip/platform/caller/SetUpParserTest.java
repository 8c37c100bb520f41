package martenslip.platform.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.platform.contact.CallerCancellation;
import martenslip.platform.contact.ContactSettings;
import martenslip.platform.contact.SetUpRequest;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Request;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SetUpParserTest {
    private final SetUpParser fit =
            new SetUpParser(new ContactSettings(List.of("voice", "text"), 10, Span.ofMillis(9000), Span.ofMillis(20)));

    private static Request invite(String tag, String uri, String kind, String within, String figures) {
        Headers headers = new Headers();
        headers.add("Call-ID", tag).add("CSeq", "1 INVITE");
        if (kind != null) {
            headers.add("Call-Kind", kind);
        }
        if (within != null) {
            headers.add("Answer-Within", within);
        }
        if (figures != null) {
            headers.add("Routing-Data", figures);
        }
        Request request = new Request("INVITE", uri, headers);
        request.body("application/sdp", new byte[] {'c', '=', '\r', '\n'});
        return request;
    }

    private SetUpRequest read(Request request) throws SetUpParser.InvalidSetUpException {
        return fit.setUp(4, request, new Moment(5), CALLER);
    }

    private static final CallerCancellation CALLER = new CallerCancellation();
    private static final String TAG = "9b1f03aa5c7e2d41";
    private static final String URI = "sip:ff3a9c21e0b4d655@net";

    @Test
    public void figuresAreReadForWhatTheyAre() throws SetUpParser.InvalidSetUpException {
        SetUpRequest asked = read(invite(TAG, URI, "text", "1500", "dest:2;width:1;via:-1;transit:1;again:1"));
        assertEquals(
                asked,
                new SetUpRequest(
                        4,
                        asked.invite(),
                        TAG,
                        "ff3a9c21e0b4d655",
                        1,
                        new Moment(5),
                        Span.ofMillis(1500),
                        2,
                        -1,
                        1,
                        true,
                        true,
                        null,
                        "c=\r\n",
                        CALLER));
    }

    @Test
    public void oneThatStandsNeedsNothingElse() throws SetUpParser.InvalidSetUpException {
        assertEquals(read(invite(TAG, URI, null, null, "at:s-00c41f7a")).establishedSwitch(), "s-00c41f7a");
    }

    @DataProvider
    public Object[][] wrong() {
        String good = "dest:2;width:1;via:-1";
        return new Object[][] {
            {invite("9b1f", URI, "text", "1500", good)},
            {invite("9b1f03aa5c7e2d4g", URI, "text", "1500", good)},
            {invite(TAG, "sip:7f3a@net", "text", "1500", good)},
            {invite(TAG, "sip:7f3a9c21e0b4d655@elsewhere", "text", "1500", good)},
            {invite(TAG, URI, "fax", "1500", good)},
            {invite(TAG, URI, null, "1500", good)},
            {invite(TAG, URI, "text", null, good)},
            {invite(TAG, URI, "text", "-5", good)},
            {invite(TAG, URI, "text", "0", good)},
            {invite(TAG, URI, "text", "NaN", good)},
            {invite(TAG, URI, "text", "Infinity", good)},
            {invite(TAG, URI, "text", "99999999999", good)},
            {invite(TAG, URI, "text", "soon", good)},
            {invite(TAG, URI, "text", "1500", null)},
            {invite(TAG, URI, "text", "1500", "dest:NaN")},
            {invite(TAG, URI, "text", "1500", "dest:-2")},
            {invite(TAG, URI, "text", "1500", "dest:1e30")},
            {invite(TAG, URI, "text", "1500", "dest:2;width:0")},
            {invite(TAG, URI, "text", "1500", "dest:2;width:1e9")},
            {invite(TAG, URI, "text", "1500", "dest:2;via:-7")},
            {invite(TAG, URI, "text", "1500", "dest:2;dest:3")},
            {invite(TAG, URI, "text", "1500", "dest")},
        };
    }

    @Test(dataProvider = "wrong")
    public void whatIsUnfitIsRefused(Request request) {
        assertThrows(SetUpParser.InvalidSetUpException.class, () -> read(request));
    }

    @Test
    public void aDescriptionThatJsonCantCarryIsRefused() {
        Request request = invite(TAG, URI, "text", "1500", "dest:2");
        request.body("application/sdp", new byte[] {(byte) 0xff, 'x'});
        assertThrows(SetUpParser.InvalidSetUpException.class, () -> read(request));
    }
}
