package martenslip.sip.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import martenslip.control.Span;

/**
 * One TCP connection: a thread that reads and one that writes. Whoever notices its end closes it; the first
 * reason is the one told, once.
 */
final class Connection {
    interface Events {
        void whole(Connection connection, byte[] message) throws InterruptedException;

        void ended(Connection connection, String why);
    }

    private static final int STACK = 256 * 1024;

    final long number;
    private final InetSocketAddress peer;
    private final Bounds bounds;
    private final Events events;
    private final Socket socket;
    private final ArrayDeque<byte[]> unsent = new ArrayDeque<>();
    private int unsentBytes;
    private long writingSince;
    private boolean up;
    private boolean closed;

    Connection(long number, Socket socket, InetSocketAddress peer, boolean up, Bounds bounds, Events events) {
        this.number = number;
        this.socket = socket;
        this.peer = peer;
        this.up = up;
        this.bounds = bounds;
        this.events = events;
    }

    Hop hop() {
        return new Hop(Hop.Kind.TCP, peer, number);
    }

    synchronized boolean everUp() {
        return up;
    }

    int localPort() {
        return socket.getLocalPort();
    }

    void start(String name) {
        // Asked before the writer runs: it may connect at once, and then begins to read by itself.
        boolean accepted = everUp();
        new Thread(null, this::write, name + "-out-" + number, STACK).start();
        if (accepted) {
            startReading(name);
        }
    }

    private void startReading(String name) {
        new Thread(null, this::read, name + "-in-" + number, STACK).start();
    }

    /** Queues a message; false where the connection is over, or now is as its peer doesn't read. */
    boolean send(byte[] bytes) {
        String why = null;
        synchronized (this) {
            if (closed) {
                return false;
            }
            long stuck = writingSince == 0 ? 0 : System.nanoTime() - writingSince;
            if (unsentBytes + bytes.length > bounds.unsent()) {
                why = "peer leaves " + unsentBytes + " bytes unread";
            } else if (up && stuck > bounds.stuck().ns()) {
                why = "peer has read nothing for " + stuck / 1_000_000 + " ms";
            } else {
                unsent.add(bytes);
                unsentBytes += bytes.length;
                notifyAll();
                return true;
            }
        }
        close(why);
        return false;
    }

    void close(String why) {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            notifyAll();
        }
        try {
            socket.close();
        } catch (IOException e) {
            why = why + ", " + e.getMessage();
        }
        events.ended(this, why);
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
            if (!everUp()) {
                socket.connect(peer, (int) (bounds.connect().ns() / 1_000_000));
                socket.setTcpNoDelay(true);
                synchronized (this) {
                    up = true;
                }
                startReading(Thread.currentThread().getName());
            }
            for (byte[] next = take(); next != null; next = take()) {
                socket.getOutputStream().write(next);
                synchronized (this) {
                    unsentBytes -= next.length;
                    writingSince = 0;
                }
            }
        } catch (IOException e) {
            close(String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            close("stopped");
        }
    }

    private synchronized byte[] take() throws InterruptedException {
        while (unsent.isEmpty() && !closed) {
            wait();
        }
        writingSince = closed ? 0 : System.nanoTime();
        return closed ? null : unsent.poll();
    }

    private void read() {
        Framer framer = new Framer();
        long begun = 0;
        try {
            InputStream in = socket.getInputStream();
            while (true) {
                socket.setSoTimeout((int) Math.max(1, limit(framer, begun).ns() / 1_000_000));
                byte[] room = framer.room();
                int got = in.read(room, framer.at(), room.length - framer.at());
                if (got < 0) {
                    close(framer.amid() ? "ended amid a message" : "ended by the peer");
                    return;
                }
                begun = framer.amid() ? begun : System.nanoTime();
                framer.took(got);
                for (byte[] whole = framer.next(); whole != null; whole = framer.next()) {
                    events.whole(this, whole);
                    begun = System.nanoTime();
                }
            }
        } catch (SocketTimeoutException e) {
            close(framer.amid() ? "a message took too long to arrive" : "idle");
        } catch (IOException | Framer.Lost e) {
            close(String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            close("stopped");
        } catch (RuntimeException e) {
            // A fault of the program with one message ends this connection and nothing else.
            close("fault: " + e);
        }
    }

    private Span limit(Framer framer, long begun) {
        return framer.amid() ? bounds.whole().minus(new Span(System.nanoTime() - begun)) : bounds.idle();
    }
}
