package martenslip.sip.transport;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Message;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.ParseResult;
import martenslip.sip.message.Request;
import martenslip.sip.message.Via;

/**
 * Sockets of one endpoint: at most one UDP socket and one TCP listener, with connections to and from others
 * (RFC 3261 18). Blocking, one thread for the datagrams, one that accepts, two a connection. {@link #send} may
 * be called by any thread; it never blocks on a peer.
 */
public final class Transport implements AutoCloseable {
    private static final int STACK = 256 * 1024;
    private static final int BUFFER = 4 << 20;

    private final String name;
    private final TransportLimits bounds;
    private final TransportEventSink sink;
    private final MessageInterceptor gate;
    private final DropCounter dropCounter = new DropCounter();
    private final AtomicLong numbers = new AtomicLong();
    private final Map<Long, Connection> connectionCount = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, Connection> byPeer = new ConcurrentHashMap<>();
    private final List<AutoCloseable> open = new ArrayList<>();
    private String host = "";
    private int udpPort = -1;
    private int tcpPort = -1;
    private InetAddress local;
    private DatagramSocket udp;
    private ServerSocket tcp;
    private volatile boolean closing;

    public Transport(String name, TransportLimits bounds, TransportEventSink sink, MessageInterceptor gate) {
        this.name = name;
        this.bounds = bounds;
        this.sink = sink;
        this.gate = gate;
    }

    public DropCounter dropCounter() {
        return dropCounter;
    }

    /** Opens the datagram socket; port 0 takes any. The port that was taken is returned. */
    public int openUdp(InetSocketAddress at) throws IOException {
        udp = new DatagramSocket(at);
        opened(at.getAddress());
        udp.setReceiveBufferSize(BUFFER);
        udp.setSendBufferSize(BUFFER);
        open.add(udp);
        new Thread(null, this::readDatagrams, name + "-udp", STACK).start();
        udpPort = udp.getLocalPort();
        return udpPort;
    }

    /** Opens the listener; port 0 takes any. The port that was taken is returned. */
    public int openTcp(InetSocketAddress at) throws IOException {
        tcp = new ServerSocket();
        tcp.setReuseAddress(true);
        tcp.bind(at, 128);
        opened(at.getAddress());
        open.add(tcp);
        new Thread(null, this::accept, name + "-tcp", STACK).start();
        tcpPort = tcp.getLocalPort();
        return tcpPort;
    }

    public boolean isOpen(Hop.Protocol kind) {
        return kind == Hop.Protocol.UDP ? udp != null : tcp != null;
    }

    /** The port that was opened; it stays known after the close. */
    public int port(Hop.Protocol kind) {
        return kind == Hop.Protocol.UDP ? udpPort : tcpPort;
    }

    /** The address that was opened, an IPv6 one in brackets; it stays known after the close. */
    public String host() {
        return host;
    }

    /** Host and port that a Via for this kind names. */
    public String sentBy(Hop.Protocol kind) {
        // Without a listener of its own a connection's peer answers over the connection.
        Hop.Protocol other = kind == Hop.Protocol.UDP ? Hop.Protocol.TCP : Hop.Protocol.UDP;
        return host + ":" + port(isOpen(kind) ? kind : other);
    }

    private void opened(InetAddress address) {
        String text = address.getHostAddress();
        host = text.indexOf(':') < 0 ? text : "[" + text + "]";
        local = address;
    }

    /** Sends a whole message. False where it is known not to go; later trouble comes as {@link TransportEvent.ConnectionLost}. */
    public boolean send(byte[] bytes, Hop to) {
        if (to.protocol() == Hop.Protocol.UDP) {
            if (udp == null || bytes.length > MessageParser.MAX_MESSAGE_BYTES) {
                dropCounter.increment("datagram not sendable");
                return false;
            }
            gate.outbound(udp.getLocalPort(), to, bytes, held -> datagram(held, to));
            return true;
        }
        Connection connection = connection(to);
        if (connection == null) {
            dropCounter.increment("no connection to be had");
            return false;
        }
        gate.outbound(tcp == null ? connection.localPort() : tcp.getLocalPort(), connection.hop(), bytes, held -> {
            if (!connection.send(held)) {
                dropCounter.increment("connection over");
            }
        });
        return true;
    }

    private void datagram(byte[] bytes, Hop to) {
        try {
            udp.send(new DatagramPacket(bytes, bytes.length, to.address()));
        } catch (IOException e) {
            dropCounter.increment("datagram not sent");
        }
    }

    private Connection connection(Hop to) {
        Connection known = to.connectionId() != 0 ? connectionCount.get(to.connectionId()) : null;
        if (known != null) {
            return known;
        }
        // A connection that is named is the one meant: its far port may listen to nobody.
        if (to.connectionId() != 0 || closing) {
            return null;
        }
        Connection same = byPeer.get(to.address());
        if (same != null) {
            return same;
        }
        if (connectionCount.size() >= bounds.maxConnections()) {
            return null;
        }
        Socket socket = new Socket();
        try {
            // From the address that is listened on: a peer may know this endpoint by it.
            socket.bind(new InetSocketAddress(local, 0));
        } catch (IOException e) {
            dropCounter.increment("no local port");
            return null;
        }
        return add(socket, to.address(), false);
    }

    private synchronized Connection add(Socket socket, InetSocketAddress peer, boolean up) {
        Connection same = byPeer.get(peer);
        if (same != null && !up) {
            return same;
        }
        Connection added = new Connection(numbers.incrementAndGet(), socket, peer, up, bounds, events);
        connectionCount.put(added.id, added);
        byPeer.put(peer, added);
        added.start(name);
        return added;
    }

    private final Connection.Listener events = new Connection.Listener() {
        @Override
        public void messageReceived(Connection connection, byte[] message) throws InterruptedException {
            Hop from = connection.hop();
            int port = tcp == null ? connection.localPort() : tcp.getLocalPort();
            gate.inbound(port, from, message, held -> {
                TransportEvent arrival = arrival(held, held.length, from);
                if (arrival != null) {
                    putOrEnd(arrival);
                }
            });
        }

        @Override
        public void ended(Connection connection, String why) {
            connectionCount.remove(connection.id, connection);
            byPeer.remove(connection.hop().address(), connection);
            if (!closing) {
                putOrEnd(new TransportEvent.ConnectionLost(connection.hop(), connection.wasEstablished(), why));
            }
        }
    };

    private void putOrEnd(TransportEvent arrival) {
        try {
            sink.put(arrival);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readDatagrams() {
        byte[] room = new byte[MessageParser.MAX_MESSAGE_BYTES + 1];
        DatagramPacket packet = new DatagramPacket(room, room.length);
        while (!closing) {
            try {
                packet.setLength(room.length);
                udp.receive(packet);
                Hop from = Hop.udp((InetSocketAddress) packet.getSocketAddress());
                if (gate == MessageInterceptor.PASS_THROUGH) {
                    offer(room, packet.getLength(), from);
                } else {
                    byte[] bytes = java.util.Arrays.copyOf(room, packet.getLength());
                    gate.inbound(udp.getLocalPort(), from, bytes, held -> offer(held, held.length, from));
                }
            } catch (SocketException e) {
                dropCounter.increment(closing ? "closed" : "datagram socket fault");
                if (udp.isClosed()) {
                    return;
                }
            } catch (IOException | RuntimeException e) {
                // Nothing that arrives ends the thread that reads for all.
                dropCounter.increment("datagram read fault");
            }
        }
    }

    private void offer(byte[] bytes, int length, Hop from) {
        TransportEvent arrival = arrival(bytes, length, from);
        if (arrival != null && !sink.offer(arrival)) {
            dropCounter.increment("inbox full");
        }
    }

    private void accept() {
        while (!closing) {
            try {
                Socket socket = tcp.accept();
                if (connectionCount.size() >= bounds.maxConnections()) {
                    dropCounter.increment("too many connections");
                    socket.close();
                    continue;
                }
                socket.setTcpNoDelay(true);
                add(socket, (InetSocketAddress) socket.getRemoteSocketAddress(), true);
            } catch (IOException e) {
                if (tcp.isClosed()) {
                    return;
                }
                dropCounter.increment("accept fault");
            }
        }
    }

    /** Parses and notes where a request came from (RFC 3261 18.2.1, RFC 3581 4). Null where it can't be used. */
    private TransportEvent arrival(byte[] bytes, int length, Hop from) {
        ParseResult parsed = MessageParser.parse(bytes, length);
        Message message = parsed.message();
        if (message instanceof Request request) {
            stamp(request, from);
        }
        if (parsed.isValid()) {
            return new TransportEvent.MessageReceived(message, from);
        }
        if (parsed.isAnswerable()) {
            return new TransportEvent.InvalidRequest((Request) message, parsed.status(), parsed.fault(), from);
        }
        boolean blank = length < 5;
        dropCounter.increment(blank ? "keep-alive" : "unusable message");
        return null;
    }

    private static void stamp(Request request, Hop from) {
        try {
            Via via = request.via();
            String host = from.address().getAddress().getHostAddress();
            boolean rport = via.params().has("rport");
            if (rport) {
                via = via.with("rport", Integer.toString(from.address().getPort()));
            }
            if (rport || !via.sentBy().hostWithoutBrackets().equals(host)) {
                request.headers().set("Via", via.with("received", host));
            }
        } catch (InvalidValueException e) {
            // Without a Via that can be read there is nobody to answer; the parser has told so.
            return;
        }
    }

    /** Breaks all connections with a reset, for stand-ins. The number broken is returned. */
    public int resetAllConnections() {
        List<Connection> all = new ArrayList<>(connectionCount.values());
        all.forEach(Connection::reset);
        return all.size();
    }

    public int connectionCount() {
        return connectionCount.size();
    }

    @Override
    public void close() {
        closing = true;
        for (AutoCloseable one : open) {
            try {
                one.close();
            } catch (Exception e) {
                dropCounter.increment("close fault");
            }
        }
        new ArrayList<>(connectionCount.values()).forEach(one -> one.close("closing"));
    }
}
