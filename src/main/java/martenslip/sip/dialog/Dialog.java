package martenslip.sip.dialog;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import martenslip.sip.message.Headers;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.NameAddr;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.HopResolver;

/** The state that two user agents share (RFC 3261 12). Owned by the thread of its {@link DialogLayer}. */
public final class Dialog {
    /** More than one call's own requests here: a BYE alone. */
    private static final int TAKEN_OVER = 100;

    private final String callId;
    private final String localTag;
    private final String remoteTag;
    private final String local;
    private final String remote;
    private final List<String> routes;
    private String remoteTarget;
    private long localNumber;
    private long remoteNumber;

    private Dialog(
            String callId,
            NameAddr local,
            NameAddr remote,
            List<String> routes,
            String remoteTarget,
            long localNumber,
            long remoteNumber) {
        this.callId = callId;
        this.localTag = local.tag();
        this.remoteTag = remote.tag();
        this.local = local.toString();
        this.remote = remote.toString();
        this.routes = routes;
        this.remoteTarget = remoteTarget;
        this.localNumber = localNumber;
        this.remoteNumber = remoteNumber;
    }

    /** RFC 3261 12.1.1. */
    public static Dialog asServer(Request request, String localTag) throws InvalidValueException {
        return new Dialog(
                request.callId(),
                request.to().withTag(localTag),
                request.from(),
                request.headers().all("Record-Route"),
                contact(request.headers()),
                0,
                request.cseq().number());
    }

    /** RFC 3261 12.1.2. */
    public static Dialog asClient(Request request, Response response) throws InvalidValueException {
        List<String> routes = new ArrayList<>(response.headers().all("Record-Route"));
        Collections.reverse(routes);
        return new Dialog(
                request.callId(),
                request.from(),
                response.to(),
                routes,
                contact(response.headers()),
                request.cseq().number(),
                -1);
    }

    /** Of a 2xx whose INVITE is no longer known, to end it: all that this needs stands in the response. */
    static Dialog unwanted(Response response) throws InvalidValueException {
        List<String> routes = new ArrayList<>(response.headers().all("Record-Route"));
        Collections.reverse(routes);
        return new Dialog(
                response.callId(),
                response.from(),
                response.to(),
                routes,
                contact(response.headers()),
                response.cseq().number() + TAKEN_OVER,
                -1);
    }

    private static String contact(Headers headers) throws InvalidValueException {
        String contact = headers.first("Contact");
        if (contact == null) {
            throw new InvalidValueException("no Contact, so no dialog");
        }
        String uri = NameAddr.parse(contact).uri();
        SipUri.parse(uri);
        return uri;
    }

    /** Names the dialog as a request or response from the far side does. */
    static String id(String callId, String localTag, String remoteTag) {
        return callId + ' ' + localTag + ' ' + remoteTag;
    }

    String id() {
        return id(callId, localTag, remoteTag);
    }

    public String remoteTag() {
        return remoteTag;
    }

    public String localTag() {
        return localTag;
    }

    /** True, and remembered, where a request of the far side follows the last in order (RFC 3261 12.2.2). */
    boolean follows(long number) {
        if (remoteNumber >= 0 && number <= remoteNumber) {
            return false;
        }
        remoteNumber = number;
        return true;
    }

    /** Numbers that whoever held the dialog before may have used are left out; gaps are allowed (12.2.1.1). */
    void skip() {
        localNumber += TAKEN_OVER;
    }

    /** The next request of this side; an ACK bears the number of the INVITE that it is for. */
    Request request(String method) {
        return request(method, ++localNumber);
    }

    Request ack(long number) {
        return request("ACK", number);
    }

    private Request request(String method, long number) {
        Headers headers = new Headers();
        routes.forEach(route -> headers.add("Route", route));
        headers.add("Max-Forwards", "70").add("From", local).add("To", remote).add("Call-ID", callId);
        headers.add("CSeq", number + " " + method);
        return new Request(method, remoteTarget, headers);
    }

    /** Where requests of this dialog go: the first route, else the far side's contact (RFC 3261 12.2.1.1). */
    Hop hop() throws InvalidValueException {
        return HopResolver.resolve(SipUri.parse(
                routes.isEmpty() ? remoteTarget : NameAddr.parse(routes.get(0)).uri()));
    }
}
