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

public class PeerNoteTransportTest {
    private static InetSocketAddress local(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    @Test
    public void onlyListedSendersAreHeardAndNoLongNoteIsSent() throws Exception {
        try (DatagramSocket peer = new DatagramSocket(local(0));
                DatagramSocket stranger = new DatagramSocket(local(0));
                DatagramSocket all = new DatagramSocket(local(0));
                DatagramSocket free = new DatagramSocket(local(0))) {
            InetSocketAddress own = local(free.getLocalPort());
            free.close();
            LinkedBlockingQueue<Integer> heard = new LinkedBlockingQueue<>();
            DropCounter drops = new DropCounter();
            List<InetSocketAddress> listed = List.of(own, local(peer.getLocalPort()));
            try (PeerNoteTransport peers = new PeerNoteTransport(
                    own,
                    listed,
                    local(all.getLocalPort()),
                    0,
                    drops,
                    (from, note) -> heard.add(from * 1000 + note.length))) {
                stranger.send(new DatagramPacket(new byte[3], 3, own));
                peer.send(new DatagramPacket(new byte[257], 257, own));
                peer.send(new DatagramPacket(new byte[5], 5, own));
                assertEquals(heard.poll(10, TimeUnit.SECONDS), Integer.valueOf(1005));
                peers.send(1, new byte[257]);
                peers.send(9, new byte[2]);
                peers.send(Orders.ALL_PEERS, new byte[7]);
                peers.send(1, new byte[256]);
                all.setSoTimeout(10_000);
                peer.setSoTimeout(10_000);
                DatagramPacket got = new DatagramPacket(new byte[300], 300);
                all.receive(got);
                assertEquals(got.getLength(), 7);
                peer.receive(got);
                assertEquals(got.getLength(), 256);
                assertEquals(
                        drops.counts(), Map.of("note not sent", 2L, "note of a stranger, of oneself or too long", 2L));
            }
        }
    }
}
