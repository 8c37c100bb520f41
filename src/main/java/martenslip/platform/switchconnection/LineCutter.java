package martenslip.platform.switchconnection;

import java.util.Arrays;
import martenslip.sip.transport.Held;

/** Cuts a stream into lines ended by a line feed; one that is longer than any message is lost. */
final class LineCutter extends Held {
    static final int MOST_BYTES = 16 * 1024;

    private int looked;

    LineCutter() {
        super(1024, MOST_BYTES + 4096);
    }

    @Override
    public byte[] next() throws Lost {
        while (looked < length) {
            if (held[looked] != '\n') {
                looked++;
                continue;
            }
            byte[] line = Arrays.copyOf(held, looked);
            drop(looked + 1);
            looked = 0;
            if (line.length > MOST_BYTES) {
                throw new Lost("a line over " + MOST_BYTES + " bytes");
            }
            return line;
        }
        if (length > MOST_BYTES) {
            throw new Lost("a line over " + MOST_BYTES + " bytes");
        }
        return null;
    }
}
