package martenslip.sip.transport;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Bounds what the connections that share it have read and not handed on. Each connection may hold its small initial buffer
 * and the messages in it. Beyond that, three shares are taken before the bytes are read or copied, and given back once
 * the messages have been handed on: the large buffers for messages that exceed the initial one, the copies of large
 * messages that are being handed on, and the bursts that are read ahead. Threads that wait are served in their order.
 * Thread-safe.
 */
public final class ReadBudget {
    /** Without a bound, for peers that are trusted. */
    public static final ReadBudget UNLIMITED = new ReadBudget(Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);

    /** What one connection reads ahead at most. */
    static final int MAX_READ_AHEAD_BYTES = 128 * 1024;

    private final Semaphore bufferBytes;
    private final Semaphore handOverBytes;
    private final Semaphore readAheads;
    private final int maxHandOverBytes;

    /**
     * Creates a budget of which nothing is taken.
     *
     * @param maxBufferBytes the large buffers
     * @param maxHandOverBytes the copies of large messages that are being handed on
     * @param maxReadAheadBytes the bursts that are read ahead, each counted as {@link #MAX_READ_AHEAD_BYTES}
     */
    public ReadBudget(int maxBufferBytes, int maxHandOverBytes, int maxReadAheadBytes) {
        bufferBytes = new Semaphore(maxBufferBytes, true);
        handOverBytes = new Semaphore(maxHandOverBytes, true);
        readAheads = new Semaphore(maxReadAheadBytes / MAX_READ_AHEAD_BYTES, true);
        this.maxHandOverBytes = maxHandOverBytes;
    }

    /** Takes the bytes of a large buffer; returns false if there is no room for it within the time. */
    boolean reserveBuffer(int bytes, long timeoutNanos) throws InterruptedException {
        return bufferBytes.tryAcquire(bytes, timeoutNanos, TimeUnit.NANOSECONDS);
    }

    /** Takes the bytes of a large buffer if there is room for it now. */
    boolean tryReserveBuffer(int bytes) {
        return bufferBytes.tryAcquire(bytes);
    }

    void releaseBuffer(int bytes) {
        bufferBytes.release(bytes);
    }

    /** Waits for room for the copies of large messages; returns what was taken, for {@link #endHandOver}. */
    int beginHandOver(int bytes) throws InterruptedException {
        int taken = Math.min(bytes, maxHandOverBytes);
        handOverBytes.acquire(taken);
        return taken;
    }

    void endHandOver(int takenBytes) {
        handOverBytes.release(takenBytes);
    }

    /** Whether one more connection may read ahead; if so, {@link #endReadAhead} follows once its messages are handed on. */
    boolean beginReadAhead() {
        return readAheads.tryAcquire();
    }

    void endReadAhead() {
        readAheads.release();
    }
}
