package martenslip.sip.message;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * Parses bytes into a message (RFC 3261 7). Parsing continues after a fault, since an error response needs Via, From,
 * To, Call-ID and CSeq; the first fault found is reported. The fault text can reach the peer as a reason phrase. The
 * static methods may be called by any thread.
 */
public final class MessageParser {
    /** Limit of a whole message; a longer one is answered with 513. */
    public static final int MAX_MESSAGE_BYTES = 64 * 1024;
    /** Limit of header lines. */
    public static final int MAX_LINES = 128;
    /** Limit of header values; one line may hold several, separated by commas. */
    public static final int MAX_VALUES = 256;
    /** Limit of one header line including its folded continuation lines. */
    public static final int MAX_LINE_BYTES = 8 * 1024;

    private static final int MAX_FAULT_TEXT_LENGTH = 120;
    private static final int TRUNCATED_LINE_LENGTH = 64;

    private static final List<String> ALL_MANDATORY = List.of("Via", "From", "To", "Call-ID", "CSeq");
    private static final List<String> MINIMAL_MANDATORY = List.of("Call-ID", "CSeq");

    private final byte[] bytes;
    private final int end;
    private int position;
    /** Status of the response to the first fault; 0 while there is none. */
    private int status;

    private String fault;
    private final Headers headers = new Headers();

    private final List<String> mandatoryNames;

    private MessageParser(byte[] bytes, int length, List<String> mandatoryNames) {
        this.bytes = bytes;
        end = length;
        this.mandatoryNames = mandatoryNames;
    }

    /**
     * Parses a datagram: the body ends with the datagram, and bytes after the declared length are dropped (RFC 3261
     * 18.3).
     */
    public static ParseResult parse(byte[] bytes, int length) {
        return new MessageParser(bytes, length, ALL_MANDATORY).readMessage();
    }

    /**
     * Parses a message between two machines that match messages by Call-ID and CSeq alone: no other header is
     * mandatory.
     */
    public static ParseResult parseMinimal(byte[] bytes, int length) {
        return new MessageParser(bytes, length, MINIMAL_MANDATORY).readMessage();
    }

    private ParseResult readMessage() {
        if (end > MAX_MESSAGE_BYTES) {
            return new ParseResult(null, 513, "message over " + MAX_MESSAGE_BYTES + " bytes");
        }
        while (position < end && (bytes[position] == '\r' || bytes[position] == '\n')) {
            position++;
        }
        String startLine = readLine();
        if (startLine == null || startLine.isEmpty()) {
            return new ParseResult(null, 400, "no start line");
        }
        boolean response = startLine.startsWith("SIP/");
        Message message = response ? parseStatusLine(startLine) : parseRequestLine(startLine);
        if (message == null) {
            return new ParseResult(null, status, fault);
        }
        readHeaderFields();
        checkHeaders(message, response);
        readBody(message);
        boolean usable = mandatoryNames.stream().allMatch(name -> headers.first(name) != null);
        return new ParseResult(usable ? message : null, status, fault);
    }

    private void recordFault(int statusCode, String description) {
        if (status == 0) {
            status = statusCode;
            fault = description.length() > MAX_FAULT_TEXT_LENGTH
                    ? description.substring(0, MAX_FAULT_TEXT_LENGTH)
                    : description;
        }
    }

    /** The next line with its folded continuation lines; null at the end of the input. */
    private String readLine() {
        if (position >= end) {
            return null;
        }
        String text = readPhysicalLine();
        while (position < end && !text.isEmpty() && (bytes[position] == ' ' || bytes[position] == '\t')) {
            text = text + " " + readPhysicalLine().trim();
            if (text.length() > MAX_LINE_BYTES) {
                recordFault(400, "a line over " + MAX_LINE_BYTES + " bytes");
                text = text.substring(0, TRUNCATED_LINE_LENGTH);
            }
        }
        return text;
    }

    /** One line up to its line feed, without continuation lines. */
    private String readPhysicalLine() {
        int start = position;
        while (position < end && bytes[position] != '\n') {
            position++;
        }
        int contentEnd = position > start && bytes[position - 1] == '\r' ? position - 1 : position;
        position = Math.min(end, position + 1);
        if (contentEnd - start > MAX_LINE_BYTES) {
            recordFault(400, "a line over " + MAX_LINE_BYTES + " bytes");
            contentEnd = start + TRUNCATED_LINE_LENGTH;
        }
        return new String(bytes, start, contentEnd - start, StandardCharsets.UTF_8);
    }

    private Message parseRequestLine(String startLine) {
        int firstSpace = startLine.indexOf(' ');
        int lastSpace = startLine.lastIndexOf(' ');
        if (firstSpace <= 0 || lastSpace <= firstSpace) {
            recordFault(400, "a request line needs method, URI and version");
            return null;
        }
        String method = startLine.substring(0, firstSpace);
        String uri = startLine.substring(firstSpace + 1, lastSpace);
        String version = startLine.substring(lastSpace + 1);
        if (!HeaderScanner.isToken(method)) {
            recordFault(400, "the method is no token");
            return null;
        }
        if (!version.equalsIgnoreCase("SIP/2.0")) {
            if (!version.regionMatches(true, 0, "SIP/", 0, 4)) {
                recordFault(400, "the request line ends without a SIP version");
                return null;
            }
            recordFault(505, "version " + version + " is not supported");
        }
        if (uri.isBlank() || uri.indexOf(' ') >= 0 || uri.startsWith("<")) {
            recordFault(400, "a blank or bracket in the Request-URI");
        } else {
            checkRequestUri(uri);
        }
        return new Request(method, uri, headers);
    }

    private void checkRequestUri(String uri) {
        if (!uri.regionMatches(true, 0, "sip:", 0, 4) && !uri.regionMatches(true, 0, "sips:", 0, 5)) {
            recordFault(416, "the scheme of the Request-URI is not supported");
            return;
        }
        try {
            SipUri.parse(uri);
        } catch (InvalidValueException e) {
            recordFault(400, "Request-URI: " + e.getMessage());
        }
    }

    private Message parseStatusLine(String startLine) {
        String[] parts = startLine.split(" ", 3);
        long statusCode = parts.length > 1 ? HeaderScanner.parseNumber(parts[1], 699) : -1;
        if (!parts[0].equalsIgnoreCase("SIP/2.0") || statusCode < 100) {
            recordFault(400, "a status line needs SIP/2.0 and a status of 100 to 699");
            return null;
        }
        return new Response((int) statusCode, parts.length > 2 ? parts[2] : "", headers);
    }

    private void readHeaderFields() {
        int lineCount = 0;
        while (true) {
            if (readSimpleField()) {
                if (++lineCount > MAX_LINES) {
                    recordFault(400, "over " + MAX_LINES + " header lines");
                }
                continue;
            }
            String line = readLine();
            if (line == null || line.isEmpty()) {
                return;
            }
            if (++lineCount > MAX_LINES) {
                recordFault(400, "over " + MAX_LINES + " header lines");
                continue;
            }
            int colon = line.indexOf(':');
            String writtenName = colon < 0 ? "" : line.substring(0, colon).trim();
            if (!HeaderScanner.isToken(writtenName)) {
                recordFault(400, "a header line without a name");
                continue;
            }
            addField(
                    HeaderNames.canonical(writtenName),
                    line.substring(colon + 1).trim());
        }
    }

    /**
     * Reads a line of a frequent name that is neither folded nor too long without intermediate strings. Returns false
     * and consumes nothing for any other line, which {@link #readLine} then reads.
     */
    private boolean readSimpleField() {
        int colon = position;
        while (colon < end && bytes[colon] != ':' && bytes[colon] != '\n') {
            colon++;
        }
        int lineEnd = colon;
        while (lineEnd < end && bytes[lineEnd] != '\n') {
            lineEnd++;
        }
        String name = colon < lineEnd ? HeaderNames.frequentName(bytes, position, colon) : null;
        boolean folded = lineEnd + 1 < end && (bytes[lineEnd + 1] == ' ' || bytes[lineEnd + 1] == '\t');
        if (name == null
                || folded
                || lineEnd >= end
                || lineEnd - position > MAX_LINE_BYTES
                || headers.count() >= MAX_LINES) {
            return false;
        }
        int valueStart = colon + 1;
        int valueEnd = lineEnd;
        while (valueStart < valueEnd && bytes[valueStart] <= ' ' && bytes[valueStart] >= 0) {
            valueStart++;
        }
        while (valueEnd > valueStart && bytes[valueEnd - 1] <= ' ' && bytes[valueEnd - 1] >= 0) {
            valueEnd--;
        }
        position = lineEnd + 1;
        addField(name, new String(bytes, valueStart, valueEnd - valueStart, StandardCharsets.UTF_8));
        return true;
    }

    private void addField(String name, String value) {
        if (HeaderNames.isSingleValued(name) && headers.first(name) != null) {
            recordFault(400, "more than one " + name);
            return;
        }
        if (!HeaderNames.isCommaSeparated(name)) {
            headers.add(name, value);
            return;
        }
        for (String part : HeaderScanner.split(value, ',')) {
            if (headers.count() >= MAX_VALUES) {
                recordFault(400, "over " + MAX_VALUES + " header values");
                return;
            }
            if (!part.isEmpty()) {
                headers.add(name, part);
            } else if (!name.equals("Supported") && !name.equals("Allow")) {
                recordFault(400, "an empty value in " + name);
            }
        }
    }

    private void checkHeaders(Message message, boolean response) {
        for (String name : mandatoryNames) {
            if (headers.first(name) == null) {
                recordFault(400, "no " + name);
                return;
            }
        }
        try {
            if (mandatoryNames == ALL_MANDATORY) {
                message.via();
                message.from();
                message.to();
            }
            if (message.callId().isBlank()) {
                recordFault(400, "an empty Call-ID");
            }
            CSeq cseq = message.cseq();
            if (message instanceof Request request && !request.method().equals(cseq.method())) {
                recordFault(400, "the method of CSeq is not the request's");
            }
            for (String name : List.of("Contact", "Route", "Record-Route")) {
                for (String value : headers.all(name)) {
                    if (!value.equals("*")) {
                        NameAddr.parse(value);
                    }
                }
            }
        } catch (InvalidValueException e) {
            recordFault(400, e.getMessage());
        }
        checkNumber("Max-Forwards", 255);
        checkNumber("Expires", (1L << 32) - 1);
    }

    private void checkNumber(String name, long max) {
        String value = headers.first(name);
        if (value != null && HeaderScanner.parseNumber(value, max) < 0) {
            recordFault(400, name + " is no number of 0 to " + max);
        }
    }

    private void readBody(Message message) {
        String declaredLength = headers.first("Content-Length");
        int remaining = end - position;
        if (declaredLength == null) {
            message.setReceivedBody(Arrays.copyOfRange(bytes, position, end));
            return;
        }
        long length = HeaderScanner.parseNumber(declaredLength, MAX_MESSAGE_BYTES);
        if (length < 0) {
            recordFault(
                    HeaderScanner.parseNumber(declaredLength, Long.MAX_VALUE) < 0 ? 400 : 413,
                    "Content-Length: " + declaredLength);
        } else if (length > remaining) {
            recordFault(400, "the body ends after " + remaining + " of " + length + " bytes");
        } else {
            message.setReceivedBody(Arrays.copyOfRange(bytes, position, position + (int) length));
        }
    }
}
