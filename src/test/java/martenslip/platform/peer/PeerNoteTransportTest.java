package martenslip.platform.peer;

import static org.testng.Assert.assertEquals;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import martenslip.control.Orders;
import martenslip.sip.transport.DropCounter;
import org.testng.annotations.Test;

/** Tests which notes between controllers are sent and accepted. */
public class PeerNoteTransportTest {
    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    @Test
    public void notesOfStrangersAndLongNotesAreDropped() throws Exception {
        try (DatagramSocket peer = new DatagramSocket(loopback(0));
                DatagramSocket stranger = new DatagramSocket(loopback(0));
                DatagramSocket broadcast = new DatagramSocket(loopback(0));
                DatagramSocket portReservation = new DatagramSocket(loopback(0))) {
            InetSocketAddress ownAddress = loopback(portReservation.getLocalPort());
            portReservation.close();
            LinkedBlockingQueue<Integer> received = new LinkedBlockingQueue<>();
            DropCounter drops = new DropCounter();
            List<InetSocketAddress> peerAddresses = List.of(ownAddress, loopback(peer.getLocalPort()));
            try (PeerNoteTransport transport = new PeerNoteTransport(
                    ownAddress,
                    peerAddresses,
                    loopback(broadcast.getLocalPort()),
                    0,
                    drops,
                    (sender, note) -> received.add(sender * 1000 + note.length))) {
                stranger.send(new DatagramPacket(new byte[3], 3, ownAddress));
                peer.send(new DatagramPacket(new byte[257], 257, ownAddress));
                peer.send(new DatagramPacket(new byte[5], 5, ownAddress));
                assertEquals(received.poll(10, TimeUnit.SECONDS), Integer.valueOf(1005));
                transport.send(1, new byte[257]);
                transport.send(9, new byte[2]);
                transport.send(Orders.ALL_PEERS, new byte[7]);
                transport.send(1, new byte[256]);
                broadcast.setSoTimeout(10_000);
                peer.setSoTimeout(10_000);
                DatagramPacket packet = new DatagramPacket(new byte[300], 300);
                broadcast.receive(packet);
                assertEquals(packet.getLength(), 7);
                peer.receive(packet);
                assertEquals(packet.getLength(), 256);
                assertEquals(
                        drops.counts(), Map.of("note not sent", 2L, "note of a stranger, of oneself or too long", 2L));
            }
        }
    }
}
