package martenslip.sip.message;

/** A request. Its Request-URI is kept as written; {@link #parsedUri} parses it. */
public final class Request extends Message {
    private final String method;
    private String uri;

    /** Creates a request without a body. {@code headers} is not copied. */
    public Request(String method, String uri, Headers headers) {
        super(headers);
        this.method = method;
        this.uri = uri;
    }

    /** The method. */
    public String method() {
        return method;
    }

    /** The Request-URI as written. */
    public String uri() {
        return uri;
    }

    /** Replaces the Request-URI. */
    public void uri(String newUri) {
        uri = newUri;
    }

    /** True if this is the method; methods are case-sensitive. */
    public boolean hasMethod(String expectedMethod) {
        return method.equals(expectedMethod);
    }

    /** The parsed Request-URI. */
    public SipUri parsedUri() throws InvalidValueException {
        return SipUri.parse(uri);
    }

    /** A copy with its own headers; the body is shared. */
    public Request copy() {
        Request copy = new Request(method, uri, headers().copy());
        copy.setReceivedBody(body());
        return copy;
    }

    /**
     * Creates a response with Via, From, To, Call-ID and CSeq of the request (RFC 3261 8.2.6). {@code toTag} is added
     * to To unless it is null or To has a tag. Record-Route is copied into provisional responses above 100 and 2xx to
     * an INVITE.
     */
    public Response createResponse(int status, String reason, String toTag) {
        Headers responseHeaders = new Headers();
        for (String name : new String[] {"Via", "From", "To", "Call-ID", "CSeq"}) {
            responseHeaders.copyFrom(headers(), name);
        }
        if (status > 100 && status < 300 && hasMethod("INVITE")) {
            responseHeaders.copyFrom(headers(), "Record-Route");
        }
        if (toTag != null) {
            try {
                NameAddr to = NameAddr.parse(responseHeaders.first("To"));
                if (to.tag().isEmpty()) {
                    responseHeaders.set("To", to.withTag(toTag));
                }
            } catch (InvalidValueException e) {
                // An unreadable To is returned as it was received.
                return new Response(status, reason, responseHeaders);
            }
        }
        return new Response(status, reason, responseHeaders);
    }

    @Override
    String startLine() {
        return method + " " + uri + " SIP/2.0";
    }
}
