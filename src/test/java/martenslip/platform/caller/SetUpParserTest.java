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

/** Tests parsing of INVITEs and refusal of invalid ones. */
public class SetUpParserTest {
    private final SetUpParser parser =
            new SetUpParser(new ContactSettings(List.of("voice", "text"), 10, Span.ofMillis(9000), Span.ofMillis(20)));

    private static Request invite(String tag, String uri, String callKind, String answerWithin, String routingData) {
        Headers headers = new Headers();
        headers.add("Call-ID", tag).add("CSeq", "1 INVITE");
        if (callKind != null) {
            headers.add("Call-Kind", callKind);
        }
        if (answerWithin != null) {
            headers.add("Answer-Within", answerWithin);
        }
        if (routingData != null) {
            headers.add("Routing-Data", routingData);
        }
        Request request = new Request("INVITE", uri, headers);
        request.body("application/sdp", new byte[] {'c', '=', '\r', '\n'});
        return request;
    }

    private SetUpRequest parse(Request request) throws SetUpParser.InvalidSetUpException {
        return parser.parse(4, request, new Moment(5), CANCELLATION);
    }

    private static final CallerCancellation CANCELLATION = new CallerCancellation();
    private static final String TAG = "9b1f03aa5c7e2d41";
    private static final String URI = "sip:ff3a9c21e0b4d655@net";

    @Test
    public void allFieldsAreParsed() throws SetUpParser.InvalidSetUpException {
        SetUpRequest setUp = parse(invite(TAG, URI, "text", "1500", "dest:2;width:1;via:-1;transit:1;again:1"));
        assertEquals(
                setUp,
                new SetUpRequest(
                        4,
                        setUp.invite(),
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
                        CANCELLATION));
    }

    @Test
    public void establishedContactNeedsNoOtherFields() throws SetUpParser.InvalidSetUpException {
        assertEquals(parse(invite(TAG, URI, null, null, "at:s-00c41f7a")).establishedSwitch(), "s-00c41f7a");
    }

    @DataProvider
    public Object[][] invalidRequests() {
        String validRoutingData = "dest:2;width:1;via:-1";
        return new Object[][] {
            {invite("9b1f", URI, "text", "1500", validRoutingData)},
            {invite("9b1f03aa5c7e2d4g", URI, "text", "1500", validRoutingData)},
            {invite(TAG, "sip:7f3a@net", "text", "1500", validRoutingData)},
            {invite(TAG, "sip:7f3a9c21e0b4d655@elsewhere", "text", "1500", validRoutingData)},
            {invite(TAG, URI, "fax", "1500", validRoutingData)},
            {invite(TAG, URI, null, "1500", validRoutingData)},
            {invite(TAG, URI, "text", null, validRoutingData)},
            {invite(TAG, URI, "text", "-5", validRoutingData)},
            {invite(TAG, URI, "text", "0", validRoutingData)},
            {invite(TAG, URI, "text", "NaN", validRoutingData)},
            {invite(TAG, URI, "text", "Infinity", validRoutingData)},
            {invite(TAG, URI, "text", "99999999999", validRoutingData)},
            {invite(TAG, URI, "text", "soon", validRoutingData)},
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

    @Test(dataProvider = "invalidRequests")
    public void invalidRequestIsRefused(Request request) {
        assertThrows(SetUpParser.InvalidSetUpException.class, () -> parse(request));
    }

    @Test
    public void descriptionThatIsNotUtf8IsRefused() {
        Request request = invite(TAG, URI, "text", "1500", "dest:2");
        request.body("application/sdp", new byte[] {(byte) 0xff, 'x'});
        assertThrows(SetUpParser.InvalidSetUpException.class, () -> parse(request));
    }
}
