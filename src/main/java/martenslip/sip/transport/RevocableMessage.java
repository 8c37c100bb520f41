package martenslip.sip.transport;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * A message that can be taken back until its write begins. There is one moment at which it goes over from its sender,
 * who may revoke it, to the writing thread, which says it: the change of the state here. Its reason is looked at once
 * more just before, since it may have waited behind others, for a peer that does not read, or for a connection to come
 * up. Whoever finds it revoked knows that not one byte of it is or will be on the wire.
 */
public final class RevocableMessage implements OutgoingMessage {
    private enum State {
        QUEUED,
        WRITTEN,
        REVOKED
    }

    private final int size;
    private final Supplier<byte[]> says;
    private final Runnable unsaid;
    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);

    /**
     * {@code says} gives the message as it has to read at that moment, or null where its reason no longer holds; it is
     * then revoked and {@code unsaid} is run, by the writing thread.
     */
    public RevocableMessage(int size, Supplier<byte[]> says, Runnable unsaid) {
        this.size = size;
        this.says = says;
        this.unsaid = unsaid;
    }

    /** Takes it back. True where it has not been written and never will be. Any thread. */
    public boolean revoke() {
        return state.compareAndSet(State.QUEUED, State.REVOKED) || state.get() == State.REVOKED;
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
        if (state.get() != State.QUEUED) {
            return null;
        }
        byte[] message = says.get();
        if (message == null) {
            if (state.compareAndSet(State.QUEUED, State.REVOKED)) {
                unsaid.run();
            }
            return null;
        }
        return state.compareAndSet(State.QUEUED, State.WRITTEN) ? message : null;
    }
}
