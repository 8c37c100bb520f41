package martenslip.sip.transport;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * A message that can be revoked until its write begins. The change of {@code state} is the single moment at which it
 * passes from its sender, who may revoke it, to the writing thread. The supplier is asked just before, since the
 * message may have waited behind others, for a peer that does not read, or for a connection to be established. Once it
 * is revoked, no byte of it has been or will be sent.
 */
public final class RevocableMessage implements OutgoingMessage {
    private enum State {
        QUEUED,
        WRITTEN,
        REVOKED
    }

    private final int size;
    /** Both null once the message is written or revoked: who keeps this message must not keep what it was made of. */
    private volatile Supplier<byte[]> messageSupplier;

    private volatile Runnable onWithdrawn;
    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);

    /**
     * Creates a queued message of {@code size} bytes. {@code messageSupplier} returns the bytes to write at that
     * moment, or null if the message is no longer valid; it is then revoked, and the writing thread runs {@code
     * onWithdrawn}.
     */
    public RevocableMessage(int size, Supplier<byte[]> messageSupplier, Runnable onWithdrawn) {
        this.size = size;
        this.messageSupplier = messageSupplier;
        this.onWithdrawn = onWithdrawn;
    }

    /** Revokes the message. Returns true if it has not been written and never will be. May be called by any thread. */
    public boolean revoke() {
        if (state.compareAndSet(State.QUEUED, State.REVOKED)) {
            dropContent();
        }
        return state.get() == State.REVOKED;
    }

    /** True once its write has begun. */
    public boolean isWritten() {
        return state.get() == State.WRITTEN;
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public byte[] bytes() {
        Supplier<byte[]> supplier = messageSupplier;
        Runnable withdrawn = onWithdrawn;
        if (state.get() != State.QUEUED || supplier == null || withdrawn == null) {
            return null;
        }
        byte[] message = supplier.get();
        boolean isDecidedHere = state.compareAndSet(State.QUEUED, message == null ? State.REVOKED : State.WRITTEN);
        if (!isDecidedHere) {
            return null;
        }
        dropContent();
        if (message == null) {
            withdrawn.run();
        }
        return message;
    }

    private void dropContent() {
        messageSupplier = null;
        onWithdrawn = null;
    }
}
