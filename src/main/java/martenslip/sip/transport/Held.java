package martenslip.sip.transport;

import java.util.Arrays;

/** What a cutter has read and not cut yet: room that doubles up to a bound, and what is left moved to its front. */
public abstract class Held implements Cutter {
    protected byte[] held;
    protected int length;
    private final int most;

    protected Held(int first, int most) {
        held = new byte[first];
        this.most = most;
    }

    @Override
    public final byte[] room() {
        if (length == held.length) {
            held = Arrays.copyOf(held, Math.min(2 * held.length, most));
        }
        return held;
    }

    @Override
    public final int at() {
        return length;
    }

    @Override
    public final void took(int bytes) {
        length += bytes;
    }

    @Override
    public final boolean amid() {
        return length > 0;
    }

    /** Drops so many bytes from the front. */
    protected final void drop(int bytes) {
        length -= bytes;
        System.arraycopy(held, bytes, held, 0, length);
    }
}
