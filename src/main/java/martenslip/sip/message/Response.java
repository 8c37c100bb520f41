package martenslip.sip.message;

/** A response; its status is 100 to 699. */
public final class Response extends Message {
    private final int status;
    private final String reason;

    /** Creates a response without a body. {@code headers} is not copied. */
    public Response(int status, String reason, Headers headers) {
        super(headers);
        this.status = status;
        this.reason = reason;
    }

    /** The status code. */
    public int status() {
        return status;
    }

    /** The reason phrase, possibly empty. */
    public String reason() {
        return reason;
    }

    /** True for 1xx. */
    public boolean isProvisional() {
        return status < 200;
    }

    /** True for 2xx. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** A copy with its own headers; the body is shared. */
    public Response copy() {
        Response copy = new Response(status, reason, headers().copy());
        copy.setReceivedBody(body());
        return copy;
    }

    @Override
    String startLine() {
        return "SIP/2.0 " + status + " " + reason;
    }
}
