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
 * A switch stand-in with little overhead, for benchmarks of controllers only: it accepts each INVITE at once while its
 * group has free circuits, with one UDP socket, one thread and no transactions, and counts INVITEs without a circuit.
 */
public final class LightweightSwitch implements AutoCloseable {
    private final TrunkGroups trunks;
    private final DatagramSocket socket;
    private final Map<String, TrunkGroups.Seizure> seizures = new ConcurrentHashMap<>();
    private final Map<String, Integer> widths;
    private final LongAdder accepted = new LongAdder();
    private final LongAdder rejectedForNoCircuit = new LongAdder();
    private final String contactHeader;

    /** Binds the address and starts; {@code widths} maps Resource-Priority values to circuits, others take one. */
    public LightweightSwitch(InetSocketAddress listenAddress, TrunkGroups trunks, Map<String, Integer> widths)
            throws IOException {
        this.trunks = trunks;
        this.widths = widths;
        socket = new DatagramSocket(listenAddress);
        socket.setReceiveBufferSize(4 << 20);
        contactHeader = "Contact: <sip:" + address().getAddress().getHostAddress() + ":"
                + address().getPort() + ">\r\n";
        Thread thread = new Thread(null, this::receive, "mirror-" + address().getPort(), 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** The bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** INVITEs that were accepted. */
    public long accepted() {
        return accepted.sum();
    }

    /**
     * INVITEs for which the group had no circuit left: rings that the controller should not have sent. Also counts each
     * I/O error of the socket while it is open, so that a result of 0 excludes those too.
     */
    public long rejectedForNoCircuit() {
        return rejectedForNoCircuit.sum();
    }

    private void receive() {
        byte[] buffer = new byte[4096];
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        while (!socket.isClosed()) {
            try {
                packet.setLength(buffer.length);
                socket.receive(packet);
                String response = handle(new RawMessage(buffer, packet.getLength()));
                if (response != null) {
                    byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
                    socket.send(new DatagramPacket(bytes, bytes.length, packet.getSocketAddress()));
                }
            } catch (IOException e) {
                if (!socket.isClosed()) {
                    rejectedForNoCircuit.increment();
                }
            }
        }
    }

    private String handle(RawMessage request) {
        if (request.isResponse()) {
            return null;
        }
        String callId = request.headerValue("Call-ID");
        return switch (request.method()) {
            case "INVITE" -> acceptInvite(request, callId);
            case "BYE" -> {
                TrunkGroups.Seizure seizure = seizures.remove(callId);
                if (seizure != null) {
                    trunks.release(seizure);
                }
                yield request.createResponse("200 OK", "m", "");
            }
            case "ACK" -> null;
            default -> request.createResponse("200 OK", "m", "");
        };
    }

    private String acceptInvite(RawMessage request, String callId) {
        if (!seizures.containsKey(callId)) {
            String group = RawMessage.between(request.startLine(), "tgrp=", ";");
            int width = widths.getOrDefault(request.headerValue("Resource-Priority"), 1);
            TrunkGroups.Seizure seizure = trunks.seize(group, width, callId);
            if (seizure == null) {
                rejectedForNoCircuit.increment();
                return request.createResponse("503 No circuit", "m", "Reason: Q.850;cause=34\r\n");
            }
            seizures.put(callId, seizure);
            accepted.increment();
        }
        return request.createResponse("200 OK", "m", contactHeader);
    }

    @Override
    public void close() {
        socket.close();
    }
}
