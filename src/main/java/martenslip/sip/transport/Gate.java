package martenslip.sip.transport;

import java.util.function.Consumer;

/**
 * Stands between the sockets and the rest, for stand-ins that record what passes and damage it on purpose. It
 * may pass bytes on at once, later, twice or never. Called by any thread.
 */
public interface Gate {
    /** A whole message is about to be sent from the local port. */
    void out(int localPort, Hop to, byte[] bytes, Consumer<byte[]> send);

    /** A whole message has come in at the local port. */
    void in(int localPort, Hop from, byte[] bytes, Consumer<byte[]> deliver);

    /** All passes at once. */
    Gate OPEN = new Gate() {
        @Override
        public void out(int localPort, Hop to, byte[] bytes, Consumer<byte[]> send) {
            send.accept(bytes);
        }

        @Override
        public void in(int localPort, Hop from, byte[] bytes, Consumer<byte[]> deliver) {
            deliver.accept(bytes);
        }
    };
}
