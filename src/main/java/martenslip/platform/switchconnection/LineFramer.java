package martenslip.platform.switchconnection;

import java.util.Arrays;
import martenslip.sip.transport.BufferedStreamFramer;

/** Splits a stream into lines that end with a line feed; a line longer than any message fails the stream. */
final class LineFramer extends BufferedStreamFramer {
    static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int INITIAL_BUFFER_BYTES = 1024;
    /** Buffer space beyond the longest line. */
    private static final int READ_AHEAD_BYTES = 4096;

    /** Buffered bytes known to contain no line feed. */
    private int scanned;

    LineFramer() {
        super(INITIAL_BUFFER_BYTES, MAX_LINE_BYTES + READ_AHEAD_BYTES);
    }

    @Override
    public byte[] nextMessage() throws FramingException {
        while (scanned < length) {
            if (buffer[scanned] != '\n') {
                scanned++;
                continue;
            }
            byte[] line = Arrays.copyOf(buffer, scanned);
            discard(scanned + 1);
            scanned = 0;
            if (line.length > MAX_LINE_BYTES) {
                throw new FramingException("a line over " + MAX_LINE_BYTES + " bytes");
            }
            return line;
        }
        if (length > MAX_LINE_BYTES) {
            throw new FramingException("a line over " + MAX_LINE_BYTES + " bytes");
        }
        return null;
    }
}
