package martenslip.sip.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import martenslip.control.Span;

/**
 * One TCP connection: a thread that reads and one that writes, the latter its own or one of {@link ConnectionThreadPool}. Whoever
 * notices its end closes it; the first reason is the one told, once.
 */
public final class Connection {
    /** Called by the reading thread, the end by any. */
    public interface Listener {
        void messageReceived(Connection connection, byte[] message) throws InterruptedException;

        void ended(Connection connection, String why);

        /** One that was asked for has come up; with {@link ConnectionThreadPool} only. */
        default void connected(Connection connection) {}
    }

    private static final int STACK = 256 * 1024;

    final long id;
    private final InetSocketAddress peer;
    private final TransportLimits bounds;
    private final Listener events;
    private final Socket socket;
    private final StreamFramer cutter;
    private final ConnectionThreadPool writers;
    private final ArrayDeque<OutgoingMessage> unsent = new ArrayDeque<>();
    private int unsentBytes;
    private long writingSince;
    private boolean up;
    private boolean closed;
    private boolean writing;
    private boolean wasRefused;
    private long started;
    private boolean saidOne;
    private volatile boolean handling;
    private int timeout;

    Connection(
            long number, Socket socket, InetSocketAddress peer, boolean up, TransportLimits bounds, Listener events) {
        this(number, socket, peer, up, bounds, events, new ContentLengthFramer(), null);
    }

    /** With {@code writers} it has no writing thread of its own. */
    public Connection(
            long number,
            Socket socket,
            InetSocketAddress peer,
            boolean up,
            TransportLimits bounds,
            Listener events,
            StreamFramer cutter,
            ConnectionThreadPool writers) {
        this.id = number;
        this.socket = socket;
        this.peer = peer;
        this.up = up;
        this.bounds = bounds;
        this.events = events;
        this.cutter = cutter;
        this.writers = writers;
    }

    public long id() {
        return id;
    }

    Hop hop() {
        return new Hop(Hop.Protocol.TCP, peer, id);
    }

    public synchronized boolean wasEstablished() {
        return up;
    }

    /** True where something has arrived that the reading thread has not come to yet, or is amid of. */
    public boolean hasUnreadInput() {
        try {
            return handling || socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** True where the other side had nobody listening: proof that nothing runs there. */
    public synchronized boolean wasRefused() {
        return wasRefused;
    }

    int localPort() {
        return socket.getLocalPort();
    }

    public void start(String name) {
        if (writers != null) {
            writers.read(this::connectAndRead);
            return;
        }
        // Asked before the writer runs: it may connect at once, and then begins to read by itself.
        boolean accepted = wasEstablished();
        new Thread(null, this::write, name + "-out-" + id, STACK).start();
        if (accepted) {
            startReading(name);
        }
    }

    private void startReading(String name) {
        new Thread(null, this::read, name + "-in-" + id, STACK).start();
    }

    private void connectAndRead() {
        try {
            if (!wasEstablished()) {
                connect();
                synchronized (this) {
                    writeIfNeeded();
                }
                events.connected(this);
            }
        } catch (IOException e) {
            synchronized (this) {
                wasRefused = e instanceof ConnectException && !closed;
            }
            close(String.valueOf(e.getMessage()));
            return;
        }
        read();
    }

    private void connect() throws IOException {
        socket.connect(peer, (int) (bounds.connectTimeout().ns() / 1_000_000));
        socket.setTcpNoDelay(true);
        synchronized (this) {
            up = true;
        }
    }

    /** Writes what these still have to say, in one piece: a turn of the deciding thread says several things to a peer. */
    private void write(List<OutgoingMessage> next) throws IOException {
        // Not under the lock: what an order finds out about its reason may make this thread wait.
        List<byte[]> parts = new ArrayList<>(next.size());
        for (OutgoingMessage one : next) {
            byte[] part = one.bytes();
            if (part != null) {
                parts.add(part);
            }
        }
        try {
            if (!parts.isEmpty()) {
                socket.getOutputStream().write(joined(parts));
            }
        } finally {
            synchronized (this) {
                next.forEach(one -> unsentBytes -= one.size());
                writingSince = 0;
            }
            next.forEach(OutgoingMessage::completed);
        }
    }

    private static byte[] joined(List<byte[]> parts) {
        if (parts.size() == 1) {
            return parts.get(0);
        }
        byte[] whole = new byte[parts.stream().mapToInt(part -> part.length).sum()];
        int at = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, whole, at, part.length);
            at += part.length;
        }
        return whole;
    }

    private void writeIfNeeded() {
        if (up && !closed && !writing && !unsent.isEmpty()) {
            writing = true;
            writers.submit(this::writeAll);
        }
    }

    private void writeAll() {
        try {
            for (List<OutgoingMessage> next = all(); !next.isEmpty(); next = all()) {
                write(next);
            }
        } catch (IOException e) {
            close(String.valueOf(e.getMessage()));
        } catch (RuntimeException e) {
            // A fault of the program with one message must not cost the thread that writes for all.
            close("fault: " + e);
        }
    }

    /** All that is unsent; none where there is nothing, and then this thread no longer writes. */
    private synchronized List<OutgoingMessage> all() {
        if (unsent.isEmpty() || closed) {
            writing = false;
            notifyAll();
            return List.of();
        }
        writingSince = System.nanoTime();
        List<OutgoingMessage> next = List.copyOf(unsent);
        unsent.clear();
        return next;
    }

    /** Ends it once all that was queued is written, or after a bounded wait; the caller must be able to wait. */
    public void flushAndClose(String why, Span atMost) {
        long until = System.nanoTime() + atMost.ns();
        try {
            synchronized (this) {
                for (long left = atMost.ns();
                        left > 0 && !closed && unsentBytes > 0 && up;
                        left = until - System.nanoTime()) {
                    wait(Math.max(1, left / 1_000_000));
                }
            }
            socket.shutdownOutput();
        } catch (IOException e) {
            why = why + ", " + e.getMessage();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close(why);
    }

    public boolean send(byte[] bytes) {
        return send(OutgoingMessage.of(bytes));
    }

    /** Queues a message; false where the connection is over, or now is as its peer doesn't read. */
    public boolean send(OutgoingMessage message) {
        String why = null;
        synchronized (this) {
            if (closed) {
                return false;
            }
            long stuck = writingSince == 0 ? 0 : System.nanoTime() - writingSince;
            if (unsentBytes + message.size() > bounds.maxUnsentBytes()) {
                why = "peer leaves " + unsentBytes + " bytes unread";
            } else if (up && stuck > bounds.writeStallTimeout().ns()) {
                why = "peer has read nothing for " + stuck / 1_000_000 + " ms";
            } else {
                unsent.add(message);
                unsentBytes += message.size();
                if (writers != null) {
                    writeIfNeeded();
                } else {
                    notifyAll();
                }
                return true;
            }
        }
        close(why);
        return false;
    }

    public void close(String why) {
        List<OutgoingMessage> never;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            never = List.copyOf(unsent);
            unsent.clear();
            notifyAll();
        }
        try {
            socket.close();
        } catch (IOException e) {
            why = why + ", " + e.getMessage();
        }
        events.ended(this, why);
        never.forEach(OutgoingMessage::completed);
    }

    /** Ends it with a reset in place of an orderly end, for stand-ins. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            close("reset here, " + e.getMessage());
            return;
        }
        close("reset here");
    }

    private void write() {
        try {
            if (!wasEstablished()) {
                connect();
                startReading(Thread.currentThread().getName());
            }
            for (OutgoingMessage next = take(); next != null; next = take()) {
                write(List.of(next));
            }
        } catch (IOException e) {
            close(String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            close("stopped");
        }
    }

    private synchronized OutgoingMessage take() throws InterruptedException {
        while (unsent.isEmpty() && !closed) {
            wait();
        }
        writingSince = closed ? 0 : System.nanoTime();
        return closed ? null : unsent.poll();
    }

    private void read() {
        long begun = 0;
        started = System.nanoTime();
        try {
            InputStream in = socket.getInputStream();
            while (true) {
                allow(begun);
                byte[] room = cutter.buffer();
                int got = in.read(room, cutter.position(), room.length - cutter.position());
                if (got < 0) {
                    close(cutter.hasPartialMessage() ? "ended amid a message" : "ended by the peer");
                    return;
                }
                handling = true;
                begun = cutter.hasPartialMessage() ? begun : System.nanoTime();
                cutter.advance(got);
                for (byte[] whole : wholes()) {
                    events.messageReceived(this, whole);
                    begun = System.nanoTime();
                    saidOne = true;
                }
                handling = false;
            }
        } catch (SocketTimeoutException e) {
            close(
                    cutter.hasPartialMessage()
                            ? "a message took too long to arrive"
                            : saidOne ? "idle" : "no message came");
        } catch (IOException | StreamFramer.FramingException e) {
            close(String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            close("stopped");
        } catch (RuntimeException e) {
            // A fault of the program with one message ends this connection and nothing else.
            close("fault: " + e);
        }
    }

    /** All of what was read at once: nothing of it is handed up where its end shows that it was cut wrongly. */
    private List<byte[]> wholes() throws StreamFramer.FramingException {
        byte[] one = cutter.nextMessage();
        if (one == null) {
            return List.of();
        }
        List<byte[]> all = new ArrayList<>(2);
        for (; one != null; one = cutter.nextMessage()) {
            all.add(one);
        }
        return all;
    }

    private void allow(long begun) throws IOException {
        long now = System.nanoTime();
        long left = cutter.hasPartialMessage()
                ? bounds.messageTimeout().ns() - (now - begun)
                : bounds.idleTimeout().ns();
        if (!saidOne) {
            left = Math.min(left, bounds.firstMessageTimeout().ns() - (now - started));
        }
        int ms = (int) Math.max(1, left / 1_000_000);
        // Each setting is a call of the system; the time that is left changes little while messages come whole.
        if (ms != timeout) {
            timeout = ms;
            socket.setSoTimeout(ms);
        }
    }
}
