package martenslip.sip.transport;

import java.util.Arrays;
import martenslip.sip.message.MessageParser;

/**
 * Splits a stream into messages by Content-Length (RFC 3261 18.3, 20.14), regardless of how reads divide it. A message
 * without Content-Length or over the limits makes the rest of the stream unusable.
 */
public final class ContentLengthFramer extends BufferedStreamFramer {
    private static final String SIP_VERSION = "SIP/2.0";
    private static final int INITIAL_CAPACITY_BYTES = 4096;
    /** Room in the buffer for bytes after a message of maximum size. */
    private static final int READ_AHEAD_BYTES = 4096;

    private static final int MAX_METHOD_LENGTH = 16;
    /** Longer names are not Content-Length. */
    private static final int MAX_HEADER_NAME_LENGTH = 20;

    private static final int MAX_LENGTH_DIGITS = 9;

    private final int maxMessageBytes;
    private final boolean strict;
    /** Bytes already searched for the end of the headers. */
    private int scannedBytes;
    /** Length of start line and headers; -1 until their end has been received. */
    private int headerLength = -1;

    private int bodyLength;

    /** A framer with the limits of {@link MessageParser} that does not check start lines. */
    public ContentLengthFramer() {
        this(MessageParser.MAX_MESSAGE_BYTES, INITIAL_CAPACITY_BYTES, false);
    }

    /**
     * Creates a framer; sizes are in bytes. If {@code strict}, the first invalid start line ends the stream: bytes left
     * over from a body that was longer than its Content-Length are then not awaited as if they were the next message.
     */
    public ContentLengthFramer(int maxMessageBytes, int initialCapacity, boolean strict) {
        super(initialCapacity, maxMessageBytes + READ_AHEAD_BYTES);
        this.maxMessageBytes = maxMessageBytes;
        this.strict = strict;
    }

    @Override
    public byte[] nextMessage() throws FramingException {
        if (headerLength < 0) {
            skipKeepAlives();
            headerLength = findHeaderEnd();
            if (strict) {
                checkStartLine();
            }
            if (headerLength < 0) {
                if (length >= maxMessageBytes) {
                    throw new FramingException("headers over " + maxMessageBytes + " bytes");
                }
                return null;
            }
            bodyLength = findContentLength();
        }
        int messageLength = headerLength + bodyLength;
        if (messageLength > maxMessageBytes) {
            throw new FramingException("message over " + maxMessageBytes + " bytes");
        }
        if (length < messageLength) {
            return null;
        }
        byte[] message = Arrays.copyOf(buffer, messageLength);
        discard(messageLength);
        scannedBytes = 0;
        headerLength = -1;
        return message;
    }

    /** Blank lines before a message are keep-alives (RFC 3261 7.5, RFC 5626 3.5.1). */
    private void skipKeepAlives() {
        int blankBytes = 0;
        while (blankBytes < length && (buffer[blankBytes] == '\r' || buffer[blankBytes] == '\n')) {
            blankBytes++;
        }
        if (blankBytes > 0) {
            discard(blankBytes);
            scannedBytes = 0;
        }
    }

    /**
     * Checks the received part of the start line: it begins with a method or the version, and a request line ends
     * with the version.
     */
    private void checkStartLine() throws FramingException {
        int lineEnd = 0;
        while (lineEnd < length && buffer[lineEnd] != '\n') {
            lineEnd++;
        }
        boolean complete = lineEnd < length;
        String line =
                new String(buffer, 0, Math.min(lineEnd, maxMessageBytes), java.nio.charset.StandardCharsets.ISO_8859_1);
        line = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        int firstSpace = line.indexOf(' ');
        String firstWord = firstSpace < 0 ? line : line.substring(0, firstSpace);
        boolean isMethod =
                firstWord.length() <= MAX_METHOD_LENGTH && firstWord.chars().allMatch(c -> c >= 'A' && c <= 'Z');
        if (!isMethod && !SIP_VERSION.startsWith(firstWord)
                || complete && !firstWord.equals(SIP_VERSION) && !line.endsWith(" " + SIP_VERSION)) {
            throw new FramingException("no start line");
        }
    }

    /** Index after the blank line that ends the headers, or -1. */
    private int findHeaderEnd() {
        for (int i = Math.max(scannedBytes, 3); i < length; i++) {
            if (buffer[i] == '\n' && buffer[i - 1] == '\r' && buffer[i - 2] == '\n' && buffer[i - 3] == '\r') {
                return i + 1;
            }
        }
        scannedBytes = Math.max(0, length - 3);
        return -1;
    }

    private int findContentLength() throws FramingException {
        int lineStart = 0;
        for (int i = 0; i < headerLength; i++) {
            if (buffer[i] != '\n') {
                continue;
            }
            int value = parseIfContentLength(lineStart, i);
            if (value >= 0) {
                return value;
            }
            lineStart = i + 1;
        }
        throw new FramingException("a message on a stream without Content-Length");
    }

    /** The value if the line is a Content-Length header, else -1. */
    private int parseIfContentLength(int lineStart, int lineEnd) throws FramingException {
        byte first = buffer[lineStart];
        if (first != 'C' && first != 'c' && first != 'l' && first != 'L' && first != ' ' && first != '\t') {
            return -1;
        }
        int colon = lineStart;
        while (colon < lineEnd && buffer[colon] != ':') {
            colon++;
        }
        String name = colon - lineStart > MAX_HEADER_NAME_LENGTH
                ? ""
                : new String(buffer, lineStart, colon - lineStart, java.nio.charset.StandardCharsets.ISO_8859_1).trim();
        if (!name.equalsIgnoreCase("Content-Length") && !name.equalsIgnoreCase("l")) {
            return -1;
        }
        String valueText = new String(
                        buffer,
                        colon + 1,
                        Math.max(0, lineEnd - colon - 1),
                        java.nio.charset.StandardCharsets.ISO_8859_1)
                .trim();
        if (valueText.isEmpty()
                || valueText.length() > MAX_LENGTH_DIGITS
                || !valueText.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new FramingException("a Content-Length that is no number");
        }
        return Integer.parseInt(valueText);
    }
}
