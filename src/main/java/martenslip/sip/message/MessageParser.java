package martenslip.sip.message;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * Bytes into a message (RFC 3261 7). It reads on after a fault, since an answer needs Via, From, To, Call-ID
 * and CSeq; the first fault found is the one told. Without state; any thread may call.
 */
public final class MessageParser {
    public static final int MAX_MESSAGE_BYTES = 64 * 1024;
    public static final int MAX_LINES = 128;
    public static final int MAX_LINE_BYTES = 8 * 1024;

    private static final List<String> ALL = List.of("Via", "From", "To", "Call-ID", "CSeq");
    private static final List<String> LEAN = List.of("Call-ID", "CSeq");

    private final byte[] bytes;
    private final int end;
    private int at;
    private int status;
    private String fault;
    private final Headers headers = new Headers();

    private final List<String> needed;

    private MessageParser(byte[] bytes, int length, List<String> needed) {
        this.bytes = bytes;
        end = length;
        this.needed = needed;
    }

    /** Reads a datagram: its body ends with it, whatever follows the stated length is dropped (18.3). */
    public static ParseResult parse(byte[] bytes, int length) {
        return new MessageParser(bytes, length, ALL).read();
    }

    /** For a stream between two machines that match messages by Call-ID and CSeq alone: nothing else is needed. */
    public static ParseResult parseMinimal(byte[] bytes, int length) {
        return new MessageParser(bytes, length, LEAN).read();
    }

    private ParseResult read() {
        if (end > MAX_MESSAGE_BYTES) {
            return new ParseResult(null, 513, "message over " + MAX_MESSAGE_BYTES + " bytes");
        }
        while (at < end && (bytes[at] == '\r' || bytes[at] == '\n')) {
            at++;
        }
        String start = line();
        if (start == null || start.isEmpty()) {
            return new ParseResult(null, 400, "no start line");
        }
        boolean response = start.startsWith("SIP/");
        Message message = response ? response(start) : request(start);
        if (message == null) {
            return new ParseResult(null, status, fault);
        }
        fields();
        check(message, response);
        body(message);
        boolean usable = needed.stream().allMatch(name -> headers.first(name) != null);
        return new ParseResult(usable ? message : null, status, fault);
    }

    private void wrong(int code, String what) {
        if (status == 0) {
            status = code;
            fault = what.length() > 120 ? what.substring(0, 120) : what;
        }
    }

    /** The next line with what is folded onto it; null at the end of what there is. */
    private String line() {
        if (at >= end) {
            return null;
        }
        String text = plainLine();
        while (at < end && !text.isEmpty() && (bytes[at] == ' ' || bytes[at] == '\t')) {
            text = text + " " + plainLine().trim();
            if (text.length() > MAX_LINE_BYTES) {
                wrong(400, "a line over " + MAX_LINE_BYTES + " bytes");
                text = text.substring(0, 64);
            }
        }
        return text;
    }

    private String plainLine() {
        int from = at;
        while (at < end && bytes[at] != '\n') {
            at++;
        }
        int to = at > from && bytes[at - 1] == '\r' ? at - 1 : at;
        at = Math.min(end, at + 1);
        if (to - from > MAX_LINE_BYTES) {
            wrong(400, "a line over " + MAX_LINE_BYTES + " bytes");
            to = from + 64;
        }
        return new String(bytes, from, to - from, StandardCharsets.UTF_8);
    }

    private Message request(String start) {
        int first = start.indexOf(' ');
        int last = start.lastIndexOf(' ');
        if (first <= 0 || last <= first) {
            wrong(400, "a request line needs method, URI and version");
            return null;
        }
        String method = start.substring(0, first);
        String uri = start.substring(first + 1, last);
        String version = start.substring(last + 1);
        if (!HeaderScanner.token(method)) {
            wrong(400, "the method is no token");
            return null;
        }
        if (!version.equalsIgnoreCase("SIP/2.0")) {
            if (!version.regionMatches(true, 0, "SIP/", 0, 4)) {
                wrong(400, "the request line ends without a SIP version");
                return null;
            }
            wrong(505, "version " + version + " is not supported");
        }
        if (uri.isBlank() || uri.indexOf(' ') >= 0 || uri.startsWith("<")) {
            wrong(400, "a blank or bracket in the Request-URI");
        } else {
            scheme(uri);
        }
        return new Request(method, uri, headers);
    }

    private void scheme(String uri) {
        if (!uri.regionMatches(true, 0, "sip:", 0, 4) && !uri.regionMatches(true, 0, "sips:", 0, 5)) {
            wrong(416, "the scheme of the Request-URI is not supported");
            return;
        }
        try {
            SipUri.parse(uri);
        } catch (InvalidValueException e) {
            wrong(400, "Request-URI: " + e.getMessage());
        }
    }

    private Message response(String start) {
        String[] parts = start.split(" ", 3);
        long code = parts.length > 1 ? HeaderScanner.number(parts[1], 699) : -1;
        if (!parts[0].equalsIgnoreCase("SIP/2.0") || code < 100) {
            wrong(400, "a status line needs SIP/2.0 and a status of 100 to 699");
            return null;
        }
        return new Response((int) code, parts.length > 2 ? parts[2] : "", headers);
    }

    private void fields() {
        int lines = 0;
        while (true) {
            if (plainField()) {
                if (++lines > MAX_LINES) {
                    wrong(400, "over " + MAX_LINES + " header lines");
                }
                continue;
            }
            String line = line();
            if (line == null || line.isEmpty()) {
                return;
            }
            if (++lines > MAX_LINES) {
                wrong(400, "over " + MAX_LINES + " header lines");
                continue;
            }
            int colon = line.indexOf(':');
            String written = colon < 0 ? "" : line.substring(0, colon).trim();
            if (!HeaderScanner.token(written)) {
                wrong(400, "a header line without a name");
                continue;
            }
            field(HeaderNames.canonical(written), line.substring(colon + 1).trim());
        }
    }

    /** Takes a line of a known name that is neither folded nor long; else it leaves the line to the slower way. */
    private boolean plainField() {
        int colon = at;
        while (colon < end && bytes[colon] != ':' && bytes[colon] != '\n') {
            colon++;
        }
        int stop = colon;
        while (stop < end && bytes[stop] != '\n') {
            stop++;
        }
        String name = colon < stop ? HeaderNames.usual(bytes, at, colon) : null;
        boolean folded = stop + 1 < end && (bytes[stop + 1] == ' ' || bytes[stop + 1] == '\t');
        if (name == null || folded || stop >= end || stop - at > MAX_LINE_BYTES || headers.count() >= MAX_LINES) {
            return false;
        }
        int from = colon + 1;
        int to = stop;
        while (from < to && bytes[from] <= ' ' && bytes[from] >= 0) {
            from++;
        }
        while (to > from && bytes[to - 1] <= ' ' && bytes[to - 1] >= 0) {
            to--;
        }
        at = stop + 1;
        field(name, new String(bytes, from, to - from, StandardCharsets.UTF_8));
        return true;
    }

    private void field(String name, String value) {
        if (HeaderNames.single(name) && headers.first(name) != null) {
            wrong(400, "more than one " + name);
            return;
        }
        if (!HeaderNames.list(name)) {
            headers.add(name, value);
            return;
        }
        for (String part : HeaderScanner.split(value, ',')) {
            if (!part.isEmpty()) {
                headers.add(name, part);
            } else if (!name.equals("Supported") && !name.equals("Allow")) {
                wrong(400, "an empty value in " + name);
            }
        }
    }

    private void check(Message message, boolean response) {
        for (String name : needed) {
            if (headers.first(name) == null) {
                wrong(400, "no " + name);
                return;
            }
        }
        try {
            if (needed == ALL) {
                message.via();
                message.from();
                message.to();
            }
            if (message.callId().isBlank()) {
                wrong(400, "an empty Call-ID");
            }
            CSeq cseq = message.cseq();
            if (message instanceof Request request && !request.method().equals(cseq.method())) {
                wrong(400, "the method of CSeq is not the request's");
            }
            for (String name : List.of("Contact", "Route", "Record-Route")) {
                for (String value : headers.all(name)) {
                    if (!value.equals("*")) {
                        NameAddr.parse(value);
                    }
                }
            }
        } catch (InvalidValueException e) {
            wrong(400, e.getMessage());
        }
        number("Max-Forwards", 255);
        number("Expires", (1L << 32) - 1);
    }

    private void number(String name, long most) {
        String value = headers.first(name);
        if (value != null && HeaderScanner.number(value, most) < 0) {
            wrong(400, name + " is no number of 0 to " + most);
        }
    }

    private void body(Message message) {
        String stated = headers.first("Content-Length");
        int left = end - at;
        if (stated == null) {
            message.received(Arrays.copyOfRange(bytes, at, end));
            return;
        }
        long length = HeaderScanner.number(stated, MAX_MESSAGE_BYTES);
        if (length < 0) {
            wrong(HeaderScanner.number(stated, Long.MAX_VALUE) < 0 ? 400 : 413, "Content-Length: " + stated);
        } else if (length > left) {
            wrong(400, "the body ends after " + left + " of " + length + " bytes");
        } else {
            message.received(Arrays.copyOfRange(bytes, at, at + (int) length));
        }
    }
}
