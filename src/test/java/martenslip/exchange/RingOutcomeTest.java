package martenslip.exchange;

import static org.testng.Assert.assertEquals;

import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;
import martenslip.signaling.SipLoadReport;
import martenslip.sip.message.Headers;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Response;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses to a ring are mapped to outcomes, and load reports are written and parsed without loss. */
public class RingOutcomeTest {
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
            {486, "", RingEndCause.BUSY, RejectionReason.LINES_BUSY},
            {600, "Q.850;cause=17", RingEndCause.BUSY, RejectionReason.LINES_BUSY},
            {503, "Q.850;cause=34;location=LN", RingEndCause.TURNED_BACK, RejectionReason.NO_CIRCUIT},
            {503, "Q.850;cause=42;location=LN", RingEndCause.TURNED_BACK, RejectionReason.PROCESSOR},
            {503, "", RingEndCause.TURNED_BACK, RejectionReason.PROCESSOR},
            {503, "SIP;cause=503", RingEndCause.TURNED_BACK, RejectionReason.PROCESSOR},
            {503, "Q.850;cause=34;location=TN", RingEndCause.TURNED_BACK, RejectionReason.TANDEM},
            {503, "Q.850;cause=42;location=rln", RingEndCause.TURNED_BACK, RejectionReason.BEYOND_FULL},
            {504, "Q.850;cause=102;location=TN", RingEndCause.TURNED_BACK, RejectionReason.TANDEM},
            {504, "Q.850;cause=102", RingEndCause.TIMED_OUT, RejectionReason.NONE},
            {408, "", RingEndCause.TIMED_OUT, RejectionReason.NONE},
            {487, "", RingEndCause.CALLED_OFF, RejectionReason.NONE},
            {404, "", RingEndCause.BUSY, RejectionReason.NONE},
            {302, "", RingEndCause.BUSY, RejectionReason.NONE},
        };
    }

    @Test(dataProvider = "responses")
    public void responseMapsToOutcome(int status, String reason, RingEndCause cause, RejectionReason rejectionReason) {
        assertEquals(RingOutcome.of(response(status, reason)), new RingOutcome(cause, rejectionReason));
    }

    @Test
    public void loadReportSurvivesWritingAndParsing() throws InvalidValueException {
        SipLoadReport rateReport = new SipLoadReport(17, -1, 4, 12.5, 9, 40);
        Response response = response(200, "");
        rateReport.writeTo(response, 500, "1.0");
        assertEquals(SipLoadReport.of(response), rateReport);
        SipLoadReport lossReport = new SipLoadReport(-1, 0.25, -1, -1, -1, -1);
        Response lossResponse = response(503, "");
        lossReport.writeTo(lossResponse, 500, "2.0");
        assertEquals(SipLoadReport.of(lossResponse), lossReport);
        Response endedResponse = response(200, "");
        rateReport.writeTo(endedResponse, 0, "3.0");
        assertEquals(
                SipLoadReport.of(endedResponse).allowedRate(), -1.0, "overload control that has ended (RFC 7339 4.4)");
    }
}
