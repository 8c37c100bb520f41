package martenslip.sip.transport;

import java.util.Arrays;

/** What a cutter has read and not cut yet: room that doubles up to a bound, and what is left moved to its front. */
public abstract class BufferedStreamFramer implements StreamFramer {
    protected byte[] buffer;
    protected int length;
    private final int most;

    protected BufferedStreamFramer(int first, int most) {
        buffer = new byte[first];
        this.most = most;
    }

    @Override
    public final byte[] buffer() {
        if (length == buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.min(2 * buffer.length, most));
        }
        return buffer;
    }

    @Override
    public final int position() {
        return length;
    }

    @Override
    public final void advance(int bytes) {
        length += bytes;
    }

    @Override
    public final boolean hasPartialMessage() {
        return length > 0;
    }

    /** Drops so many bytes from the front. */
    protected final void discard(int bytes) {
        length -= bytes;
        System.arraycopy(buffer, bytes, buffer, 0, length);
    }
}
