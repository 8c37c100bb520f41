package martenslip.sip.transport;

import java.util.Arrays;
import martenslip.sip.message.MessageParser;

/**
 * Cuts a stream into messages by Content-Length (RFC 3261 18.3, 20.14). Several messages in one read and one in
 * many reads are all the same to it. Without a length, or past a bound, a stream has no further message ends.
 */
public final class ContentLengthFramer extends BufferedStreamFramer {
    private static final String VERSION = "SIP/2.0";

    private final int most;
    private final boolean strict;
    private int looked;
    private int head = -1;
    private int body;

    public ContentLengthFramer() {
        this(MessageParser.MAX_MESSAGE_BYTES, 4096, false);
    }

    /**
     * With {@code strict} a stream is lost at the first start line that is none: what follows a body that was longer
     * than its length says is then not waited for as if it were the next message.
     */
    public ContentLengthFramer(int most, int first, boolean strict) {
        super(first, most + 4096);
        this.most = most;
        this.strict = strict;
    }

    @Override
    public byte[] nextMessage() throws FramingException {
        if (head < 0) {
            skipBlank();
            head = headEnd();
            if (strict) {
                startLine();
            }
            if (head < 0) {
                if (length >= most) {
                    throw new FramingException("headers over " + most + " bytes");
                }
                return null;
            }
            body = contentLength();
        }
        int whole = head + body;
        if (whole > most) {
            throw new FramingException("message over " + most + " bytes");
        }
        if (length < whole) {
            return null;
        }
        byte[] message = Arrays.copyOf(buffer, whole);
        discard(whole);
        looked = 0;
        head = -1;
        return message;
    }

    /** Blank lines before a message are keep-alives (RFC 3261 7.5, RFC 5626 3.5.1). */
    private void skipBlank() {
        int blank = 0;
        while (blank < length && (buffer[blank] == '\r' || buffer[blank] == '\n')) {
            blank++;
        }
        if (blank > 0) {
            discard(blank);
            looked = 0;
        }
    }

    /** What can be seen of the start line so far: a method or the version first, and the version at its end. */
    private void startLine() throws FramingException {
        int end = 0;
        while (end < length && buffer[end] != '\n') {
            end++;
        }
        boolean whole = end < length;
        String line = new String(buffer, 0, Math.min(end, most), java.nio.charset.StandardCharsets.ISO_8859_1);
        line = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        int blank = line.indexOf(' ');
        String first = blank < 0 ? line : line.substring(0, blank);
        boolean method = first.length() <= 16 && first.chars().allMatch(c -> c >= 'A' && c <= 'Z');
        if (!method && !VERSION.startsWith(first) || whole && !first.equals(VERSION) && !line.endsWith(" " + VERSION)) {
            throw new FramingException("no start line");
        }
    }

    private int headEnd() {
        for (int i = Math.max(looked, 3); i < length; i++) {
            if (buffer[i] == '\n' && buffer[i - 1] == '\r' && buffer[i - 2] == '\n' && buffer[i - 3] == '\r') {
                return i + 1;
            }
        }
        looked = Math.max(0, length - 3);
        return -1;
    }

    private int contentLength() throws FramingException {
        int start = 0;
        for (int i = 0; i < head; i++) {
            if (buffer[i] != '\n') {
                continue;
            }
            int value = named(start, i);
            if (value >= 0) {
                return value;
            }
            start = i + 1;
        }
        throw new FramingException("a message on a stream without Content-Length");
    }

    private int named(int start, int end) throws FramingException {
        byte first = buffer[start];
        if (first != 'C' && first != 'c' && first != 'l' && first != 'L' && first != ' ' && first != '\t') {
            return -1;
        }
        int colon = start;
        while (colon < end && buffer[colon] != ':') {
            colon++;
        }
        String name = colon - start > 20
                ? ""
                : new String(buffer, start, colon - start, java.nio.charset.StandardCharsets.ISO_8859_1).trim();
        if (!name.equalsIgnoreCase("Content-Length") && !name.equalsIgnoreCase("l")) {
            return -1;
        }
        String text = new String(
                        buffer, colon + 1, Math.max(0, end - colon - 1), java.nio.charset.StandardCharsets.ISO_8859_1)
                .trim();
        if (text.isEmpty() || text.length() > 9 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new FramingException("a Content-Length that is no number");
        }
        return Integer.parseInt(text);
    }
}
