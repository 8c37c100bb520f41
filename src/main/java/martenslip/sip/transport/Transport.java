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
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Message;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.ParseResult;
import martenslip.sip.message.Request;
import martenslip.sip.message.Via;

/**
 * Sockets of one endpoint: at most one UDP socket and one TCP listener, with connections to and from peers
 * (RFC 3261 18). I/O is blocking, with one thread for datagrams, one that accepts and two for each connection.
 * {@link #send} may be called by any thread and never blocks on a peer.
 */
public final class Transport implements AutoCloseable {
    private static final int STACK_SIZE_BYTES = 256 * 1024;
    private static final int ACCEPT_BACKLOG = 128;
    /** Shorter input is a keep-alive. */
    private static final int MIN_MESSAGE_BYTES = 5;

    private static final int SOCKET_BUFFER_BYTES = 4 << 20;
    /** Time for all connections together to write what is queued when the transport is closed. */
    private static final Span CLOSE_FLUSH_TIMEOUT = Span.ofMillis(1000);

    private final String name;
    private final TransportLimits limits;
    private final TransportEventSink sink;
    private final MessageInterceptor interceptor;
    private final DropCounter dropCounter = new DropCounter();
    private final AtomicLong connectionIds = new AtomicLong();
    private final Map<Long, Connection> connections = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, Connection> connectionsByPeer = new ConcurrentHashMap<>();
    private final List<AutoCloseable> openSockets = new ArrayList<>();
    private String host = "";
    private int udpPort = -1;
    private int tcpPort = -1;
    private InetAddress localAddress;
    private DatagramSocket udpSocket;
    private ServerSocket tcpListener;
    private volatile boolean closing;

    /** Creates a transport without sockets; thread names begin with {@code name}. */
    public Transport(String name, TransportLimits limits, TransportEventSink sink, MessageInterceptor interceptor) {
        this.name = name;
        this.limits = limits;
        this.sink = sink;
        this.interceptor = interceptor;
    }

    /** Counts of dropped messages and connections, by cause. */
    public DropCounter dropCounter() {
        return dropCounter;
    }

    /** Opens the UDP socket and returns its port; port 0 selects any free port. */
    public int openUdp(InetSocketAddress address) throws IOException {
        udpSocket = new DatagramSocket(address);
        recordAddress(address.getAddress());
        udpSocket.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
        udpSocket.setSendBufferSize(SOCKET_BUFFER_BYTES);
        openSockets.add(udpSocket);
        new Thread(null, this::receiveDatagrams, name + "-udp", STACK_SIZE_BYTES).start();
        udpPort = udpSocket.getLocalPort();
        return udpPort;
    }

    /** Opens the TCP listener and returns its port; port 0 selects any free port. */
    public int openTcp(InetSocketAddress address) throws IOException {
        tcpListener = new ServerSocket();
        tcpListener.setReuseAddress(true);
        tcpListener.bind(address, ACCEPT_BACKLOG);
        recordAddress(address.getAddress());
        openSockets.add(tcpListener);
        new Thread(null, this::acceptConnections, name + "-tcp", STACK_SIZE_BYTES).start();
        tcpPort = tcpListener.getLocalPort();
        return tcpPort;
    }

    /** True if the socket of this protocol was opened. */
    public boolean isOpen(Hop.Protocol protocol) {
        return protocol == Hop.Protocol.UDP ? udpSocket != null : tcpListener != null;
    }

    /** The port that was opened, also after {@link #close}; -1 if there is none. */
    public int port(Hop.Protocol protocol) {
        return protocol == Hop.Protocol.UDP ? udpPort : tcpPort;
    }

    /** The address that was opened, an IPv6 address in brackets, also after {@link #close}. */
    public String host() {
        return host;
    }

    /** Host and port for a Via of this protocol. */
    public String sentBy(Hop.Protocol protocol) {
        // Without a listener for this protocol the peer answers over the connection that the request came by.
        Hop.Protocol otherProtocol = protocol == Hop.Protocol.UDP ? Hop.Protocol.TCP : Hop.Protocol.UDP;
        return host + ":" + port(isOpen(protocol) ? protocol : otherProtocol);
    }

    private void recordAddress(InetAddress address) {
        String literal = address.getHostAddress();
        host = literal.indexOf(':') < 0 ? literal : "[" + literal + "]";
        localAddress = address;
    }

    /**
     * Sends a whole message. Returns false if it is known not to leave; a later failure is reported as
     * {@link TransportEvent.ConnectionLost}.
     */
    public boolean send(byte[] bytes, Hop to) {
        if (to.protocol() == Hop.Protocol.UDP) {
            if (udpSocket == null || bytes.length > MessageParser.MAX_MESSAGE_BYTES) {
                dropCounter.increment("datagram not sendable");
                return false;
            }
            interceptor.outbound(udpSocket.getLocalPort(), to, bytes, intercepted -> sendDatagram(intercepted, to));
            return true;
        }
        Connection connection = findOrConnect(to);
        if (connection == null) {
            dropCounter.increment("no connection to be had");
            return false;
        }
        interceptor.outbound(
                tcpListener == null ? connection.localPort() : tcpListener.getLocalPort(),
                connection.hop(),
                bytes,
                intercepted -> {
                    if (!connection.send(intercepted)) {
                        dropCounter.increment("connection over");
                    }
                });
        return true;
    }

    private void sendDatagram(byte[] bytes, Hop to) {
        try {
            udpSocket.send(new DatagramPacket(bytes, bytes.length, to.address()));
        } catch (IOException e) {
            dropCounter.increment("datagram not sent");
        }
    }

    /**
     * Closes the connection to a peer that has left a request unanswered until its timeout, if nothing else has arrived
     * on it since: it may be open and of no use, and the next request is to go out on another one.
     */
    public void requestUnanswered(Hop hop, Moment sentAt) {
        Connection connection = hop.protocol() == Hop.Protocol.TCP ? find(hop) : null;
        if (connection != null && connection.isSilentSinceRequest(sentAt.ns())) {
            dropCounter.increment("connection silent");
            connection.close("requests are left unanswered");
        }
    }

    /** The open connection that a message to this hop takes, or null. */
    private Connection find(Hop to) {
        return to.connectionId() != 0 ? connections.get(to.connectionId()) : connectionsByPeer.get(to.address());
    }

    private Connection findOrConnect(Hop to) {
        Connection existing = find(to);
        if (existing != null) {
            return existing;
        }
        // A hop with a connection identifier means that connection only: nothing may listen on its remote port.
        if (to.connectionId() != 0 || closing) {
            return null;
        }
        if (connections.size() >= limits.maxConnections()) {
            return null;
        }
        Socket socket = new Socket();
        try {
            // Bind to the listening address: a peer may know this endpoint by it.
            socket.bind(new InetSocketAddress(localAddress, 0));
        } catch (IOException e) {
            dropCounter.increment("no local port");
            return null;
        }
        return addConnection(socket, to.address(), false);
    }

    private synchronized Connection addConnection(Socket socket, InetSocketAddress peer, boolean established) {
        Connection existing = connectionsByPeer.get(peer);
        if (existing != null && !established) {
            return existing;
        }
        Connection connection =
                new Connection(connectionIds.incrementAndGet(), socket, peer, established, limits, connectionListener);
        connections.put(connection.id, connection);
        connectionsByPeer.put(peer, connection);
        connection.start(name);
        return connection;
    }

    private final Connection.Listener connectionListener = new Connection.Listener() {
        @Override
        public void messageReceived(Connection connection, byte[] message) throws InterruptedException {
            Hop from = connection.hop();
            int port = tcpListener == null ? connection.localPort() : tcpListener.getLocalPort();
            interceptor.inbound(port, from, message, intercepted -> {
                TransportEvent event = toEvent(intercepted, intercepted.length, from);
                if (event != null) {
                    putEvent(event);
                }
            });
        }

        @Override
        public void ended(Connection connection, String reason) {
            connections.remove(connection.id, connection);
            connectionsByPeer.remove(connection.hop().address(), connection);
            if (!closing) {
                putEvent(new TransportEvent.ConnectionLost(connection.hop(), connection.wasEstablished(), reason));
            }
        }
    };

    private void putEvent(TransportEvent event) {
        try {
            sink.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void receiveDatagrams() {
        byte[] buffer = new byte[MessageParser.MAX_MESSAGE_BYTES + 1];
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        while (!closing) {
            try {
                packet.setLength(buffer.length);
                udpSocket.receive(packet);
                Hop from = Hop.udp((InetSocketAddress) packet.getSocketAddress());
                if (interceptor == MessageInterceptor.PASS_THROUGH) {
                    offerDatagram(buffer, packet.getLength(), from);
                } else {
                    byte[] bytes = java.util.Arrays.copyOf(buffer, packet.getLength());
                    interceptor.inbound(
                            udpSocket.getLocalPort(),
                            from,
                            bytes,
                            intercepted -> offerDatagram(intercepted, intercepted.length, from));
                }
            } catch (SocketException e) {
                dropCounter.increment(closing ? "closed" : "datagram socket fault");
                if (udpSocket.isClosed()) {
                    return;
                }
            } catch (IOException | RuntimeException e) {
                // No datagram may end the thread that reads all of them.
                dropCounter.increment("datagram read fault");
            }
        }
    }

    private void offerDatagram(byte[] bytes, int length, Hop from) {
        TransportEvent event = toEvent(bytes, length, from);
        if (event != null && !sink.offer(event)) {
            dropCounter.increment("inbox full");
        }
    }

    private void acceptConnections() {
        while (!closing) {
            try {
                Socket socket = tcpListener.accept();
                if (connections.size() >= limits.maxConnections()) {
                    dropCounter.increment("too many connections");
                    socket.close();
                    continue;
                }
                socket.setTcpNoDelay(true);
                addConnection(socket, (InetSocketAddress) socket.getRemoteSocketAddress(), true);
            } catch (IOException e) {
                if (tcpListener.isClosed()) {
                    return;
                }
                dropCounter.increment("accept fault");
            }
        }
    }

    /**
     * Parses a message and records the source address of a request (RFC 3261 18.2.1, RFC 3581 4). Null if it is
     * unusable.
     */
    private TransportEvent toEvent(byte[] bytes, int length, Hop from) {
        ParseResult parsed = MessageParser.parse(bytes, length);
        Message message = parsed.message();
        if (message instanceof Request request) {
            recordSource(request, from);
        }
        if (parsed.isValid()) {
            return new TransportEvent.MessageReceived(message, from, new Moment(System.nanoTime()));
        }
        if (parsed.isAnswerable()) {
            return new TransportEvent.InvalidRequest((Request) message, parsed.status(), parsed.fault(), from);
        }
        boolean keepAlive = length < MIN_MESSAGE_BYTES;
        dropCounter.increment(keepAlive ? "keep-alive" : "unusable message");
        return null;
    }

    private static void recordSource(Request request, Hop from) {
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
            // Without a readable Via there is no address to respond to; the parser has reported it.
            return;
        }
    }

    /** Closes all connections with a TCP reset, for stand-ins; returns their number. */
    public int resetAllConnections() {
        List<Connection> open = new ArrayList<>(connections.values());
        open.forEach(Connection::reset);
        return open.size();
    }

    /** The number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Closes the sockets. Messages that are queued on connections get a limited time to be written. */
    @Override
    public void close() {
        closing = true;
        for (AutoCloseable socket : openSockets) {
            try {
                socket.close();
            } catch (Exception e) {
                dropCounter.increment("close fault");
            }
        }
        long deadlineNanos = System.nanoTime() + CLOSE_FLUSH_TIMEOUT.ns();
        for (Connection connection : List.copyOf(connections.values())) {
            connection.flushAndClose("closing", new Span(deadlineNanos - System.nanoTime()));
        }
    }
}
