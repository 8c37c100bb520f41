package martenslip.standin;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * A switch that costs little: it accepts each INVITE at once while its group has circuits, over one datagram socket
 * and thread, without transactions. It counts what it had no circuit for. For measuring controllers only.
 */
public final class LightweightSwitch implements AutoCloseable {
    private final TrunkGroups trunks;
    private final DatagramSocket socket;
    private final Map<String, TrunkGroups.Seizure> seized = new ConcurrentHashMap<>();
    private final Map<String, Integer> widths;
    private final LongAdder accepted = new LongAdder();
    private final LongAdder rejectedForNoCircuit = new LongAdder();
    private final String contact;

    /** {@code widths} gives the circuits of a Resource-Priority value; others take one. */
    public LightweightSwitch(InetSocketAddress at, TrunkGroups trunks, Map<String, Integer> widths) throws IOException {
        this.trunks = trunks;
        this.widths = widths;
        socket = new DatagramSocket(at);
        socket.setReceiveBufferSize(4 << 20);
        contact = "Contact: <sip:" + address().getAddress().getHostAddress() + ":"
                + address().getPort() + ">\r\n";
        Thread thread = new Thread(null, this::work, "mirror-" + address().getPort(), 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    public long accepted() {
        return accepted.sum();
    }

    /** INVITEs that came when their group had no circuit left: each was one too many. */
    public long rejectedForNoCircuit() {
        return rejectedForNoCircuit.sum();
    }

    private void work() {
        byte[] room = new byte[4096];
        DatagramPacket packet = new DatagramPacket(room, room.length);
        while (!socket.isClosed()) {
            try {
                packet.setLength(room.length);
                socket.receive(packet);
                String answer = answer(new RawMessage(room, packet.getLength()));
                if (answer != null) {
                    byte[] bytes = answer.getBytes(StandardCharsets.ISO_8859_1);
                    socket.send(new DatagramPacket(bytes, bytes.length, packet.getSocketAddress()));
                }
            } catch (IOException e) {
                if (!socket.isClosed()) {
                    rejectedForNoCircuit.increment();
                }
            }
        }
    }

    private String answer(RawMessage request) {
        if (request.response()) {
            return null;
        }
        String id = request.value("Call-ID");
        return switch (request.method()) {
            case "INVITE" -> invite(request, id);
            case "BYE" -> {
                TrunkGroups.Seizure one = seized.remove(id);
                if (one != null) {
                    trunks.release(one);
                }
                yield request.answer("200 OK", "m", "");
            }
            case "ACK" -> null;
            default -> request.answer("200 OK", "m", "");
        };
    }

    private String invite(RawMessage request, String id) {
        if (!seized.containsKey(id)) {
            String group = RawMessage.between(request.startLine(), "tgrp=", ";");
            int width = widths.getOrDefault(request.value("Resource-Priority"), 1);
            TrunkGroups.Seizure one = trunks.seize(group, width, id);
            if (one == null) {
                rejectedForNoCircuit.increment();
                return request.answer("503 No circuit", "m", "Reason: Q.850;cause=34\r\n");
            }
            seized.put(id, one);
            accepted.increment();
        }
        return request.answer("200 OK", "m", contact);
    }

    @Override
    public void close() {
        socket.close();
    }
}
