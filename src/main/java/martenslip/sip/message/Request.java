package martenslip.sip.message;

/** A request; its URI stays as written until {@link #parsedUri} reads it. */
public final class Request extends Message {
    private final String method;
    private String uri;

    public Request(String method, String uri, Headers headers) {
        super(headers);
        this.method = method;
        this.uri = uri;
    }

    public String method() {
        return method;
    }

    public String uri() {
        return uri;
    }

    public void uri(String next) {
        uri = next;
    }

    public boolean hasMethod(String wanted) {
        return method.equals(wanted);
    }

    public SipUri parsedUri() throws InvalidValueException {
        return SipUri.parse(uri);
    }

    /** A copy whose headers may be changed; the body is shared. */
    public Request copy() {
        Request copy = new Request(method, uri, headers().copy());
        copy.received(body());
        return copy;
    }

    /** A response as RFC 3261 8.2.6 wants it: Via, From, To, Call-ID and CSeq of the request. */
    public Response createResponse(int status, String reason, String toTag) {
        Headers out = new Headers();
        for (String name : new String[] {"Via", "From", "To", "Call-ID", "CSeq"}) {
            out.copyFrom(headers(), name);
        }
        if (status > 100 && status < 300 && hasMethod("INVITE")) {
            out.copyFrom(headers(), "Record-Route");
        }
        if (toTag != null) {
            try {
                NameAddr to = NameAddr.parse(out.first("To"));
                if (to.tag().isEmpty()) {
                    out.set("To", to.withTag(toTag));
                }
            } catch (InvalidValueException e) {
                // What can't be read is given back as it came; the asker knows it.
                return new Response(status, reason, out);
            }
        }
        return new Response(status, reason, out);
    }

    @Override
    String startLine() {
        return method + " " + uri + " SIP/2.0";
    }
}
