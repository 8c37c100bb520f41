package martenslip.sip.message;

/** A response with its status, 100 to 699. */
public final class Response extends Message {
    private final int status;
    private final String reason;

    public Response(int status, String reason, Headers headers) {
        super(headers);
        this.status = status;
        this.reason = reason;
    }

    public int status() {
        return status;
    }

    public String reason() {
        return reason;
    }

    public boolean isProvisional() {
        return status < 200;
    }

    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** A copy whose headers may be changed; the body is shared. */
    public Response copy() {
        Response copy = new Response(status, reason, headers().copy());
        copy.received(body());
        return copy;
    }

    @Override
    String startLine() {
        return "SIP/2.0 " + status + " " + reason;
    }
}
