package martenslip.platform.switchconnection;

import java.util.Arrays;
import martenslip.sip.transport.BufferedStreamFramer;

/** Cuts a stream into lines ended by a line feed; one that is longer than any message is lost. */
final class LineFramer extends BufferedStreamFramer {
    static final int MOST_BYTES = 16 * 1024;

    private int looked;

    LineFramer() {
        super(1024, MOST_BYTES + 4096);
    }

    @Override
    public byte[] nextMessage() throws FramingException {
        while (looked < length) {
            if (buffer[looked] != '\n') {
                looked++;
                continue;
            }
            byte[] line = Arrays.copyOf(buffer, looked);
            discard(looked + 1);
            looked = 0;
            if (line.length > MOST_BYTES) {
                throw new FramingException("a line over " + MOST_BYTES + " bytes");
            }
            return line;
        }
        if (length > MOST_BYTES) {
            throw new FramingException("a line over " + MOST_BYTES + " bytes");
        }
        return null;
    }
}
