package martenslip.sip.transport;

import java.util.function.Consumer;

/**
 * Intercepts messages between the sockets and the upper layers, for stand-ins that record or damage them. It may pass
 * bytes on at once, later, twice or never. Called by any thread.
 */
public interface MessageInterceptor {
    /** A whole message is about to be sent from the local port. */
    void outbound(int localPort, Hop to, byte[] bytes, Consumer<byte[]> send);

    /** A whole message was received at the local port. */
    void inbound(int localPort, Hop from, byte[] bytes, Consumer<byte[]> deliver);

    /** Passes every message on at once. */
    MessageInterceptor PASS_THROUGH = new MessageInterceptor() {
        @Override
        public void outbound(int localPort, Hop to, byte[] bytes, Consumer<byte[]> send) {
            send.accept(bytes);
        }

        @Override
        public void inbound(int localPort, Hop from, byte[] bytes, Consumer<byte[]> deliver) {
            deliver.accept(bytes);
        }
    };
}
