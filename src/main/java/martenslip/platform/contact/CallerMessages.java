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

    static byte[] stands(Request invite, byte[] description) {
        Response answer = invite.createResponse(200, "OK", null);
        answer.body("application/sdp", description);
        return answer.bytes();
    }

    static byte[] deferred(Request invite, Span comeBack) {
        Response answer = invite.createResponse(503, "Service Unavailable", null);
        if (comeBack.longerThan(Span.ZERO)) {
            answer.headers().add("Come-Back-Ms", comeBack.ns() / 1_000_000);
        }
        return answer.bytes();
    }

    static byte[] release(String tag, String key, int cause) {
        Headers headers = new Headers();
        headers.add("Via", "SIP/2.0/TCP controller")
                .add("Call-ID", tag)
                .add("CSeq", "2 BYE")
                .add("Reason", "Q.850;cause=" + cause);
        return new Request("BYE", "sip:" + key + "@net", headers).bytes();
    }
}
