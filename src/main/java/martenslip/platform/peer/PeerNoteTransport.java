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

/** Notes between controllers, a datagram each; they may be late or lost. Only listed senders are heard. */
public final class PeerNoteTransport implements AutoCloseable {
    public static final int MAX_NOTE_BYTES = 256;
    private static final int STACK = 128 * 1024;

    /** Called by the reading thread; says no where there is no room, and the note is lost. */
    public interface Listener {
        boolean noteReceived(int peer, byte[] note);
    }

    private final DatagramSocket socket;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress all;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final int own;
    private final DropCounter drops;
    private final Listener heard;

    public PeerNoteTransport(
            InetSocketAddress at,
            List<InetSocketAddress> peers,
            InetSocketAddress all,
            int own,
            DropCounter drops,
            Listener heard)
            throws IOException {
        this.peers = peers;
        this.all = all;
        this.own = own;
        this.drops = drops;
        this.heard = heard;
        for (int i = 0; i < peers.size(); i++) {
            numbers.put(peers.get(i), i);
        }
        socket = new DatagramSocket(at);
        Thread reading = new Thread(null, this::read, "peers", STACK);
        reading.setDaemon(true);
        reading.start();
    }

    /** Any thread; a note that is too long is not sent. */
    public void send(int peer, byte[] note) {
        InetSocketAddress to =
                peer == Orders.ALL_PEERS ? all : peer >= 0 && peer < peers.size() ? peers.get(peer) : null;
        if (to == null || note.length > MAX_NOTE_BYTES || note.length == 0) {
            drops.increment("note not sent");
            return;
        }
        try {
            socket.send(new DatagramPacket(note, note.length, to));
        } catch (IOException e) {
            drops.increment("note not sent");
        }
    }

    private void read() {
        byte[] room = new byte[MAX_NOTE_BYTES + 1];
        while (!socket.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(room, room.length);
                socket.receive(packet);
                Integer from = numbers.get(packet.getSocketAddress());
                if (from == null || from == own || packet.getLength() > MAX_NOTE_BYTES) {
                    drops.increment("note of a stranger, of oneself or too long");
                } else if (!heard.noteReceived(from, Arrays.copyOf(room, packet.getLength()))) {
                    drops.increment("note without room");
                }
            } catch (IOException | RuntimeException e) {
                drops.increment("note read fault");
            }
        }
    }

    @Override
    public void close() {
        socket.close();
    }
}
