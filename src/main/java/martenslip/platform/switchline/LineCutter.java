package martenslip.platform.switchline;

import java.util.Arrays;
import martenslip.sip.transport.Cutter;

/** Cuts a stream into lines ended by a line feed; one that is longer than any message is lost. */
final class LineCutter implements Cutter {
    static final int MOST_BYTES = 16 * 1024;

    private byte[] held = new byte[1024];
    private int length;
    private int looked;

    @Override
    public byte[] room() {
        if (length == held.length) {
            held = Arrays.copyOf(held, 2 * held.length);
        }
        return held;
    }

    @Override
    public int at() {
        return length;
    }

    @Override
    public void took(int bytes) {
        length += bytes;
    }

    @Override
    public boolean amid() {
        return length > 0;
    }

    @Override
    public byte[] next() throws Lost {
        while (looked < length) {
            if (held[looked] != '\n') {
                looked++;
                continue;
            }
            byte[] line = Arrays.copyOf(held, looked);
            length -= looked + 1;
            System.arraycopy(held, looked + 1, held, 0, length);
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
