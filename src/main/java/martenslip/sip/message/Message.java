package martenslip.sip.message;

import java.util.Arrays;

/** A request or a response. Its typed values are read when asked for; what arrived was checked before. */
public abstract sealed class Message permits Request, Response {
    private static final byte[] NO_BODY = {};
    private final Headers headers;
    private byte[] body = NO_BODY;
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

    public Headers headers() {
        return headers;
    }

    public byte[] body() {
        return body;
    }

    /** Sets body and type; without a body the type goes too. */
    public void body(String type, byte[] bytes) {
        body = bytes;
        headers.removeAll("Content-Type");
        if (bytes.length > 0) {
            headers.add("Content-Type", type);
        }
    }

    void received(byte[] bytes) {
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

    public CSeq cseq() throws InvalidValueException {
        if (cseq == null) {
            cseq = CSeq.parse(need("CSeq"));
        }
        return cseq;
    }

    public NameAddr from() throws InvalidValueException {
        String text = need("From");
        if (!text.equals(fromText)) {
            from = NameAddr.parse(text);
            fromText = text;
        }
        return from;
    }

    public NameAddr to() throws InvalidValueException {
        String text = need("To");
        if (!text.equals(toText)) {
            to = NameAddr.parse(text);
            toText = text;
        }
        return to;
    }

    public String callId() {
        return headers.first("Call-ID");
    }

    private String need(String name) throws InvalidValueException {
        String value = headers.first(name);
        if (value == null) {
            throw new InvalidValueException("no " + name);
        }
        return value;
    }

    abstract String startLine();

    /** As it goes on the wire, with Content-Length last. */
    public byte[] bytes() {
        StringBuilder text = new StringBuilder(512).append(startLine()).append("\r\n");
        headers.removeAll("Content-Length");
        headers.write(text);
        byte[] head = HeaderScanner.utf8(text.append("Content-Length: ")
                .append(body.length)
                .append("\r\n\r\n")
                .toString());
        if (body.length == 0) {
            return head;
        }
        byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    @Override
    public String toString() {
        return startLine();
    }
}
