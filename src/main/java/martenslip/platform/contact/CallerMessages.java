package martenslip.platform.contact;

import martenslip.control.Span;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;

/** Builds the SIP messages that go to callers. */
public final class CallerMessages {
    private CallerMessages() {}

    /** A response without a body to a request of a caller, encoded as the bytes to send. */
    public static byte[] response(Request request, int status, String reason) {
        return request.createResponse(status, reason, null).bytes();
    }

    /** The 200 response to an INVITE, with the session description of the switch. */
    static byte[] established(Request invite, byte[] description) {
        Response response = invite.createResponse(200, "OK", null);
        response.body("application/sdp", description);
        return response.bytes();
    }

    /** The 503 response to an INVITE; a delay above zero is sent as {@code Come-Back-Ms}. */
    public static byte[] deferred(Request invite, Span retryDelay) {
        Response response = invite.createResponse(503, "Service Unavailable", null);
        if (retryDelay.longerThan(Span.ZERO)) {
            response.headers().add("Come-Back-Ms", retryDelay.ns() / 1_000_000);
        }
        return response.bytes();
    }

    /** The BYE that tells the caller that its contact has ended, with the Q.850 cause. */
    static byte[] release(String callId, String calledNumber, int q850Cause) {
        Headers headers = new Headers();
        headers.add("Via", "SIP/2.0/TCP controller")
                .add("Call-ID", callId)
                .add("CSeq", "2 BYE")
                .add("Reason", "Q.850;cause=" + q850Cause);
        return new Request("BYE", "sip:" + calledNumber + "@net", headers).bytes();
    }
}
