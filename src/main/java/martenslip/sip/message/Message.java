package martenslip.sip.message;

import java.util.Arrays;

/** A request or a response. Typed header values are parsed on access; a received message has been checked before. */
public abstract sealed class Message permits Request, Response {
    private static final byte[] NO_BODY = {};
    private final Headers headers;
    private byte[] body = NO_BODY;
    // Parsed values, each with the text it was parsed from where that may change.
    private CSeq cseq;
    private Via via;
    private String viaText;
    private NameAddr from;
    private String fromText;
    private NameAddr to;
    private String toText;

    Message(Headers headers) {
        this.headers = headers;
    }

    /** The header fields; they may be changed. */
    public Headers headers() {
        return headers;
    }

    /** The body, empty if there is none. It is not copied. */
    public byte[] body() {
        return body;
    }

    /** Sets the body and its Content-Type; an empty body removes the Content-Type. */
    public void body(String type, byte[] bytes) {
        body = bytes;
        headers.removeAll("Content-Type");
        if (bytes.length > 0) {
            headers.add("Content-Type", type);
        }
    }

    void setReceivedBody(byte[] bytes) {
        body = bytes;
    }

    /** The topmost Via. */
    public Via via() throws InvalidValueException {
        String text = headers.first("Via");
        if (text == null) {
            throw new InvalidValueException("no Via");
        }
        if (!text.equals(viaText)) {
            via = Via.parse(text);
            viaText = text;
        }
        return via;
    }

    /** The parsed CSeq. */
    public CSeq cseq() throws InvalidValueException {
        if (cseq == null) {
            cseq = CSeq.parse(require("CSeq"));
        }
        return cseq;
    }

    /** The parsed From. */
    public NameAddr from() throws InvalidValueException {
        String text = require("From");
        if (!text.equals(fromText)) {
            from = NameAddr.parse(text);
            fromText = text;
        }
        return from;
    }

    /** The parsed To. */
    public NameAddr to() throws InvalidValueException {
        String text = require("To");
        if (!text.equals(toText)) {
            to = NameAddr.parse(text);
            toText = text;
        }
        return to;
    }

    /** The Call-ID, or null if there is none. */
    public String callId() {
        return headers.first("Call-ID");
    }

    private String require(String name) throws InvalidValueException {
        String value = headers.first(name);
        if (value == null) {
            throw new InvalidValueException("no " + name);
        }
        return value;
    }

    abstract String startLine();

    /** The message as it is sent, with Content-Length as its last header. */
    public byte[] bytes() {
        StringBuilder text = new StringBuilder(512).append(startLine()).append("\r\n");
        headers.removeAll("Content-Length");
        headers.write(text);
        byte[] header = HeaderScanner.utf8(text.append("Content-Length: ")
                .append(body.length)
                .append("\r\n\r\n")
                .toString());
        if (body.length == 0) {
            return header;
        }
        byte[] encoded = Arrays.copyOf(header, header.length + body.length);
        System.arraycopy(body, 0, encoded, header.length, body.length);
        return encoded;
    }

    @Override
    public String toString() {
        return startLine();
    }
}
