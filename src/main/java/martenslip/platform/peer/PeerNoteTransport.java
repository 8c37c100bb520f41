package martenslip.platform.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Orders;
import martenslip.sip.transport.DropCounter;

/** Notes between peer controllers, one per datagram; they may be late or lost. Unlisted senders are ignored. */
public final class PeerNoteTransport implements AutoCloseable {
    /** Longest note that is sent or accepted. */
    public static final int MAX_NOTE_BYTES = 256;

    private static final int STACK_BYTES = 128 * 1024;

    /** Called by the reading thread. */
    public interface Listener {
        /** A note from the peer with this index; returns false if there is no room, and the note is lost. */
        boolean noteReceived(int peer, byte[] note);
    }

    private final DatagramSocket socket;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress broadcastAddress;
    private final Map<InetSocketAddress, Integer> peerNumbers = new HashMap<>();
    private final int ownNumber;
    private final DropCounter drops;
    private final Listener listener;

    /**
     * Opens the socket and starts reading.
     *
     * @param peers the controllers' addresses; a peer's number is its index
     * @param broadcastAddress where notes to all peers are sent
     * @param ownNumber index of this controller, whose own notes are dropped
     */
    public PeerNoteTransport(
            InetSocketAddress localAddress,
            List<InetSocketAddress> peers,
            InetSocketAddress broadcastAddress,
            int ownNumber,
            DropCounter drops,
            Listener listener)
            throws IOException {
        this.peers = peers;
        this.broadcastAddress = broadcastAddress;
        this.ownNumber = ownNumber;
        this.drops = drops;
        this.listener = listener;
        for (int i = 0; i < peers.size(); i++) {
            peerNumbers.put(peers.get(i), i);
        }
        socket = new DatagramSocket(localAddress);
        Thread readThread = new Thread(null, this::read, "peers", STACK_BYTES);
        readThread.setDaemon(true);
        readThread.start();
    }

    /**
     * Sends a note to a peer or to {@link Orders#ALL_PEERS}; an empty or too long one is dropped. Called by any thread.
     */
    public void send(int peer, byte[] note) {
        InetSocketAddress address =
                peer == Orders.ALL_PEERS ? broadcastAddress : peer >= 0 && peer < peers.size() ? peers.get(peer) : null;
        if (address == null || note.length > MAX_NOTE_BYTES || note.length == 0) {
            drops.increment("note not sent");
            return;
        }
        try {
            socket.send(new DatagramPacket(note, note.length, address));
        } catch (IOException e) {
            drops.increment("note not sent");
        }
    }

    private void read() {
        byte[] buffer = new byte[MAX_NOTE_BYTES + 1];
        while (!socket.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                Integer peer = peerNumbers.get(packet.getSocketAddress());
                if (peer == null || peer == ownNumber || packet.getLength() > MAX_NOTE_BYTES) {
                    drops.increment("note of a stranger, of oneself or too long");
                } else if (!listener.noteReceived(peer, Arrays.copyOf(buffer, packet.getLength()))) {
                    drops.increment("note without room");
                }
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                drops.increment("note read fault");
            }
        }
    }

    @Override
    public void close() {
        socket.close();
    }
}
