package martenslip.platform.journal;

import java.net.InetSocketAddress;

/**
 * Delivers the journal service's events in the order of their positions, each once, from whichever address sends them.
 * When the service moves to another address, the previous connection stays active until the new one has received data,
 * so that the switch list is without a source no longer than necessary. Incomplete events and events at or before the
 * current position are ignored.
 *
 * <p>One lock guards the connections and which of them are active. The listener is called under it: connections that
 * receive the same event are serialized, and a connection that is no longer active delivers nothing.
 */
public final class Journal implements AutoCloseable {
    /** Called by the threads of the connections. */
    public interface Listener {
        /** The next event in the order of positions. */
        void eventReceived(SwitchListEvent event) throws InterruptedException;

        /** A connection failed or could not be opened; it is retried unless another address has replaced it. */
        void connectionLost(String reason);
    }

    private final Listener listener;
    private JournalConnection current;
    /** The connection to the address before, until the current one has received data; or null. */
    private JournalConnection previous;

    private boolean currentHasReceivedData;
    private boolean closing;
    private volatile long position;

    /** Events after {@code position} are delivered once {@link #start} was called. */
    public Journal(InetSocketAddress address, long position, Listener listener) {
        this.position = position;
        this.listener = listener;
        current = new JournalConnection(address, connectionListener);
    }

    /** Opens the connection. */
    public synchronized void start() {
        current.start();
    }

    /** Position of the last event that was delivered. */
    public long position() {
        return position;
    }

    /** Reads from another address from now on; positions continue. Called by any thread. */
    public synchronized void moveTo(InetSocketAddress address) {
        if (closing || address.equals(current.address)) {
            return;
        }
        current.end();
        if (currentHasReceivedData) {
            // The old address accepts no new connection, but events it still sends are delivered.
            previous = current;
        }
        current = new JournalConnection(address, connectionListener);
        currentHasReceivedData = false;
        current.start();
    }

    private final JournalConnection.Listener connectionListener = new JournalConnection.Listener() {
        @Override
        public long position() {
            return Journal.this.position();
        }

        @Override
        public boolean dataReceived(JournalConnection connection) {
            synchronized (Journal.this) {
                if (connection == current && !currentHasReceivedData) {
                    currentHasReceivedData = true;
                    previous = null;
                }
                return isActive(connection);
            }
        }

        @Override
        public void eventReceived(JournalConnection connection, SwitchListEvent event) throws InterruptedException {
            synchronized (Journal.this) {
                if (!isActive(connection) || event.position() <= position) {
                    return;
                }
                listener.eventReceived(event);
                position = event.position();
            }
        }

        @Override
        public void connectionLost(String reason) {
            listener.connectionLost(reason);
        }
    };

    private boolean isActive(JournalConnection connection) {
        return !closing && (connection == current || connection == previous);
    }

    @Override
    public synchronized void close() {
        closing = true;
        current.end();
    }
}
