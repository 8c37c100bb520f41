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

/** State of a dialog shared by two user agents (RFC 3261 12). Owned by the thread of its {@link DialogLayer}. */
public final class Dialog {
    /** Exceeds the number of requests that one side sends in a call here, which is a single BYE. */
    private static final int TAKEOVER_CSEQ_GAP = 100;

    private final String callId;
    private final String localTag;
    private final String remoteTag;
    private final String localNameAddr;
    private final String remoteNameAddr;
    private final List<String> routes;
    private String remoteTarget;
    private long localCseq;
    /** Number of the last request of the remote side; -1 before the first. */
    private long remoteCseq;

    private Dialog(
            String callId,
            NameAddr localNameAddr,
            NameAddr remoteNameAddr,
            List<String> routes,
            String remoteTarget,
            long localCseq,
            long remoteCseq) {
        this.callId = callId;
        this.localTag = localNameAddr.tag();
        this.remoteTag = remoteNameAddr.tag();
        this.localNameAddr = localNameAddr.toString();
        this.remoteNameAddr = remoteNameAddr.toString();
        this.routes = routes;
        this.remoteTarget = remoteTarget;
        this.localCseq = localCseq;
        this.remoteCseq = remoteCseq;
    }

    /** The dialog of a UAS (RFC 3261 12.1.1). */
    public static Dialog asUas(Request request, String localTag) throws InvalidValueException {
        return new Dialog(
                request.callId(),
                request.to().withTag(localTag),
                request.from(),
                request.headers().all("Record-Route"),
                contactUri(request.headers()),
                0,
                request.cseq().number());
    }

    /** The dialog of a UAC (RFC 3261 12.1.2). */
    public static Dialog asUac(Request request, Response response) throws InvalidValueException {
        List<String> routes = new ArrayList<>(response.headers().all("Record-Route"));
        Collections.reverse(routes);
        return new Dialog(
                request.callId(),
                request.from(),
                response.to(),
                routes,
                contactUri(response.headers()),
                request.cseq().number(),
                -1);
    }

    /** The dialog of a 2xx whose INVITE is no longer known, for ending it; the response has all the data needed. */
    static Dialog ofUnwantedSuccess(Response response) throws InvalidValueException {
        List<String> routes = new ArrayList<>(response.headers().all("Record-Route"));
        Collections.reverse(routes);
        return new Dialog(
                response.callId(),
                response.from(),
                response.to(),
                routes,
                contactUri(response.headers()),
                response.cseq().number() + TAKEOVER_CSEQ_GAP,
                -1);
    }

    private static String contactUri(Headers headers) throws InvalidValueException {
        String contact = headers.first("Contact");
        if (contact == null) {
            throw new InvalidValueException("no Contact, so no dialog");
        }
        String uri = NameAddr.parse(contact).uri();
        SipUri.parse(uri);
        return uri;
    }

    /** Key of the dialog, built from the values that a message of the remote side contains. */
    static String id(String callId, String localTag, String remoteTag) {
        return callId + ' ' + localTag + ' ' + remoteTag;
    }

    String id() {
        return id(callId, localTag, remoteTag);
    }

    /** The tag of the remote side. */
    public String remoteTag() {
        return remoteTag;
    }

    /** The tag of this side. */
    public String localTag() {
        return localTag;
    }

    /** Checks that a request of the remote side is in order and records its number (RFC 3261 12.2.2). */
    boolean acceptRemoteCseq(long cseq) {
        if (remoteCseq >= 0 && cseq <= remoteCseq) {
            return false;
        }
        remoteCseq = cseq;
        return true;
    }

    /** Skips numbers that the previous owner of the dialog may have used; gaps are allowed (RFC 3261 12.2.1.1). */
    void skipCseqNumbers() {
        localCseq += TAKEOVER_CSEQ_GAP;
    }

    /** The next request of this side. */
    Request createRequest(String method) {
        return createRequest(method, ++localCseq);
    }

    /** An ACK, which has the number of its INVITE. */
    Request createAck(long cseq) {
        return createRequest("ACK", cseq);
    }

    private Request createRequest(String method, long cseq) {
        Headers headers = new Headers();
        routes.forEach(route -> headers.add("Route", route));
        headers.add("Max-Forwards", "70")
                .add("From", localNameAddr)
                .add("To", remoteNameAddr)
                .add("Call-ID", callId);
        headers.add("CSeq", cseq + " " + method);
        return new Request(method, remoteTarget, headers);
    }

    /**
     * Address for requests in this dialog: the first route, else the contact of the remote side (RFC 3261 12.2.1.1).
     */
    Hop nextHop() throws InvalidValueException {
        return HopResolver.resolve(SipUri.parse(
                routes.isEmpty() ? remoteTarget : NameAddr.parse(routes.get(0)).uri()));
    }
}
