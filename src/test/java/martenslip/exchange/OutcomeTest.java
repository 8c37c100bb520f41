package martenslip.exchange;

import static org.testng.Assert.assertEquals;

import martenslip.control.Blame;
import martenslip.control.Cause;
import martenslip.signal.Load;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Response;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OutcomeTest {
    private static Response response(int status, String reason) {
        Headers headers = new Headers();
        headers.add("Via", "SIP/2.0/UDP 127.0.0.1:5060;branch=z9hG4bKa;oc;oc-algo=\"loss,rate\"");
        headers.add("CSeq", "1 INVITE");
        if (!reason.isEmpty()) {
            headers.add("Reason", reason);
        }
        return new Response(status, "x", headers);
    }

    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {486, "", Cause.BUSY, Blame.LINES_BUSY},
            {600, "Q.850;cause=17", Cause.BUSY, Blame.LINES_BUSY},
            {503, "Q.850;cause=34;location=LN", Cause.TURNED_BACK, Blame.NO_CIRCUIT},
            {503, "Q.850;cause=42;location=LN", Cause.TURNED_BACK, Blame.PROCESSOR},
            {503, "", Cause.TURNED_BACK, Blame.PROCESSOR},
            {503, "SIP;cause=503", Cause.TURNED_BACK, Blame.PROCESSOR},
            {503, "Q.850;cause=34;location=TN", Cause.TURNED_BACK, Blame.TANDEM},
            {503, "Q.850;cause=42;location=rln", Cause.TURNED_BACK, Blame.BEYOND_FULL},
            {504, "Q.850;cause=102;location=TN", Cause.TURNED_BACK, Blame.TANDEM},
            {504, "Q.850;cause=102", Cause.TIMED_OUT, Blame.NONE},
            {408, "", Cause.TIMED_OUT, Blame.NONE},
            {487, "", Cause.CALLED_OFF, Blame.NONE},
            {404, "", Cause.BUSY, Blame.NONE},
            {302, "", Cause.BUSY, Blame.NONE},
        };
    }

    @Test(dataProvider = "responses")
    public void aResponseIsAnOutcome(int status, String reason, Cause cause, Blame blame) {
        assertEquals(Outcome.of(response(status, reason)), new Outcome(cause, blame));
    }

    @Test
    public void aLoadReportComesBackAsItWasPut() throws BadValue {
        Load rate = new Load(17, -1, 4, 12.5, 9, 40);
        Response response = response(200, "");
        rate.put(response, 500, "1.0");
        assertEquals(Load.of(response), rate);
        Load loss = new Load(-1, 0.25, -1, -1, -1, -1);
        Response other = response(503, "");
        loss.put(other, 500, "2.0");
        assertEquals(Load.of(other), loss);
        Response ended = response(200, "");
        rate.put(ended, 0, "3.0");
        assertEquals(Load.of(ended).allowed(), -1.0, "overload control that has ended (RFC 7339 4.4)");
    }
}
