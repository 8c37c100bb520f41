package martenslip.sip.transport;

import java.util.Arrays;

/**
 * Buffer of bytes that were read and not yet framed. It doubles up to a maximum, and remaining bytes are moved to its
 * front.
 */
public abstract class BufferedStreamFramer implements StreamFramer {
    /** Bytes not framed yet, from index 0 on. */
    protected byte[] buffer;
    /** Number of valid bytes in {@link #buffer}. */
    protected int length;

    private final int initialCapacity;
    private final int maxCapacity;

    /** Creates the buffer; both capacities are in bytes. */
    protected BufferedStreamFramer(int initialCapacity, int maxCapacity) {
        buffer = new byte[initialCapacity];
        this.initialCapacity = initialCapacity;
        this.maxCapacity = maxCapacity;
    }

    @Override
    public final byte[] buffer() {
        if (length == buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.min(2 * buffer.length, maxCapacity));
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

    @Override
    public final boolean needsLargeBuffer() {
        return length == buffer.length && buffer.length == initialCapacity && initialCapacity < maxCapacity;
    }

    @Override
    public final boolean hasLargeBuffer() {
        return buffer.length > initialCapacity;
    }

    @Override
    public final int maxBufferBytes() {
        return maxCapacity;
    }

    @Override
    public final void shrinkBuffer() {
        if (hasLargeBuffer() && length <= initialCapacity) {
            buffer = Arrays.copyOf(buffer, initialCapacity);
        }
    }

    /** Removes this many bytes from the front. */
    protected final void discard(int bytes) {
        length -= bytes;
        System.arraycopy(buffer, bytes, buffer, 0, length);
    }
}
