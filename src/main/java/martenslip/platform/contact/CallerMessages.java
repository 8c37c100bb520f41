package martenslip.platform.contact;

import martenslip.control.Span;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;

/** The messages that go to callers. */
public final class CallerMessages {
    private CallerMessages() {}

    public static byte[] response(Request request, int status, String reason) {
        return request.createResponse(status, reason, null).bytes();
    }

    static byte[] established(Request invite, byte[] description) {
        Response response = invite.createResponse(200, "OK", null);
        response.body("application/sdp", description);
        return response.bytes();
    }

    static byte[] deferred(Request invite, Span retryDelay) {
        Response response = invite.createResponse(503, "Service Unavailable", null);
        if (retryDelay.longerThan(Span.ZERO)) {
            response.headers().add("Come-Back-Ms", retryDelay.ns() / 1_000_000);
        }
        return response.bytes();
    }

    static byte[] release(String callId, String calledNumber, int cause) {
        Headers headers = new Headers();
        headers.add("Via", "SIP/2.0/TCP controller")
                .add("Call-ID", callId)
                .add("CSeq", "2 BYE")
                .add("Reason", "Q.850;cause=" + cause);
        return new Request("BYE", "sip:" + calledNumber + "@net", headers).bytes();
    }
}
