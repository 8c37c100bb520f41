package martenslip.platform.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.platform.desk.Replies;
import martenslip.platform.desk.SetUp;
import martenslip.platform.desk.Terms;
import martenslip.platform.desk.Withdrawal;
import martenslip.sip.message.Message;
import martenslip.sip.message.Parsed;
import martenslip.sip.message.Parser;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Bounds;
import martenslip.sip.transport.Connection;
import martenslip.sip.transport.Drops;
import martenslip.sip.transport.Framer;
import martenslip.sip.transport.Writers;

/**
 * The callers' lines: accepts, cuts, reads, refuses what is unfit by itself, hands the rest up. What one line brings
 * is read by its own thread, and waits there where the deciding thread has no room.
 */
public final class Callers implements AutoCloseable {
    /** Greatest message of the platform, and room for a set-up of the usual size. */
    private static final int MOST_BYTES = 16 * 1024;

    private static final int FIRST_BYTES = 1024;
    private static final int STACK = 128 * 1024;
    private static final int BACKLOG = 512;
    /** Wrong messages that are answered on one line; it is ended at the next. */
    private static final int MOST_WRONG = 3;
    /** Set-ups of one line that may be open at a time; at more its reader refuses. */
    private static final int MOST_OPEN = 256;

    /** A line is quiet that has brought nothing for so long: more than a reader may be late. */
    private static final long QUIET_NS = 400_000_000L;

    private static final int MOST_LOOKS = 16;
    private static final int WAIT_MS = 10;
    private static final int MOST_WAITS = 100;
    /** How often the accepting thread looks whether it is to end. */
    private static final int LOOK_MS = 250;

    private static final int LAST_LOOK_MS = 5;

    /** Takes what is fit; called by reading threads and may make them wait. */
    public interface Heard {
        /** False where there is no room for it: its reader must not wait with what its caller says next. */
        boolean setUp(SetUp asked) throws InterruptedException;

        void request(long line, Request request) throws InterruptedException;

        void releaseHeard(String tag) throws InterruptedException;

        void over(long line) throws InterruptedException;

        /** Whether a test passes now. */
        boolean ready();
    }

    private static final class Line {
        final Connection connection;
        final AtomicInteger open = new AtomicInteger();
        /** Of the set-ups that are open: whether their caller has gone. One id names one of them. */
        final Map<String, Withdrawal> waiting = new ConcurrentHashMap<>();

        volatile long heardAt;
        volatile boolean good;
        int wrong;

        Line(Connection connection) {
            this.connection = connection;
            heardAt = System.nanoTime();
        }
    }

    private final Bounds bounds;
    private final Writers writers;
    private final Heard heard;
    private final Drops drops;
    private final Fit fit;
    private final Map<Long, Line> lines = new ConcurrentHashMap<>();
    private final ServerSocket listener;
    private final CountDownLatch accepted = new CountDownLatch(1);
    private volatile int most;
    private volatile boolean leaving;
    private volatile boolean closing;
    private long numbers;

    public Callers(Terms terms, Bounds bounds, Writers writers, Drops drops, Heard heard) throws IOException {
        this(terms, bounds, writers, drops, heard, new ServerSocket());
    }

    /** {@code listener} is not bound yet. */
    Callers(Terms terms, Bounds bounds, Writers writers, Drops drops, Heard heard, ServerSocket listener) {
        this.listener = listener;
        this.bounds = bounds;
        this.writers = writers;
        this.heard = heard;
        this.drops = drops;
        fit = new Fit(terms);
        most = bounds.connections();
    }

    /**
     * How many connections callers may hold from now on; where they hold more, quiet ones are ended. Those that are owed
     * something stay.
     */
    public void allow(int connections) {
        most = Math.max(1, Math.min(bounds.connections(), connections));
        int over = lines.size() - most;
        for (int i = 0; i < over && makeRoom(); i++) {
            drops.count("connection ended for a switch");
        }
    }

    /** Begins to listen; the port that was taken is returned. */
    public int open(InetSocketAddress at) throws IOException {
        listener.setReuseAddress(true);
        listener.bind(at, BACKLOG);
        Thread accepting = new Thread(null, this::accept, "accept", STACK);
        accepting.setDaemon(true);
        accepting.start();
        return listener.getLocalPort();
    }

    public int count() {
        return lines.size();
    }

    /** True where some line holds what its reader has not come to. */
    public boolean unread() {
        return lines.values().stream().anyMatch(line -> line.connection.unread());
    }

    public boolean send(long line, byte[] message) {
        Line to = lines.get(line);
        return to != null && to.connection.send(message);
    }

    /** The line that was heard last of those that have brought something fit; {@code but} only where it is alone; or 0. */
    public long any(long but) {
        Line last = null;
        for (Line one : lines.values()) {
            boolean only = last != null && last.connection.number() == but;
            if (one.good
                    && (last == null || only || one.connection.number() != but && last.heardAt - one.heardAt < 0)) {
                last = one;
            }
        }
        return last == null ? 0 : last.connection.number();
    }

    public void settled(long line, String tag) {
        Line one = lines.get(line);
        if (one != null) {
            one.waiting.remove(tag);
            one.open.decrementAndGet();
        }
    }

    public void drop(long line, String why) {
        Line one = lines.get(line);
        if (one != null) {
            drops.count(why);
            one.connection.close(why);
        }
    }

    private void accept() {
        try {
            while (!closing && next()) {
                // Until there is nobody left to take.
            }
            listener.close();
        } catch (IOException e) {
            drops.count("listener not closed");
        } finally {
            accepted.countDown();
        }
    }

    /** Takes one caller; false where nobody waits and none is to be taken any more. */
    private boolean next() {
        boolean last = leaving;
        Socket socket;
        try {
            listener.setSoTimeout(last ? LAST_LOOK_MS : LOOK_MS);
            socket = listener.accept();
        } catch (SocketTimeoutException e) {
            return !last;
        } catch (IOException e) {
            if (listener.isClosed()) {
                return false;
            }
            // Where no descriptor is to be had it fails at once and the caller goes on waiting: no reason to spin.
            drops.count("accept fault", String.valueOf(e.getMessage()));
            if (!makeRoom()) {
                pause();
            }
            return true;
        }
        try {
            take(socket);
        } catch (IOException e) {
            drops.count("caller gone as it was taken");
            quietly(socket);
        }
        return true;
    }

    private void take(Socket socket) throws IOException {
        if (!room()) {
            drops.count("too many connections");
            quietly(socket);
            return;
        }
        socket.setTcpNoDelay(true);
        Connection connection = new Connection(
                ++numbers,
                socket,
                (InetSocketAddress) socket.getRemoteSocketAddress(),
                true,
                bounds,
                events,
                new Framer(MOST_BYTES, FIRST_BYTES, true),
                writers);
        lines.put(connection.number(), new Line(connection));
        begin(connection);
    }

    private void quietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            drops.count("not closed");
        }
    }

    private static boolean pause() {
        try {
            Thread.sleep(WAIT_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void begin(Connection connection) {
        try {
            connection.start("line");
        } catch (OutOfMemoryError | RejectedExecutionException e) {
            // No thread to be had for one more line; those that are there go on.
            connection.close("no thread for a line");
        }
    }

    /** Waits a little for a line that may be ended; others that want in wait with the system meanwhile. */
    private boolean room() {
        for (int i = 0; lines.size() >= most; i++) {
            if (i == MOST_WAITS || !makeRoom() && !pause()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Ends the line that has been quiet longest of those that owe nothing, first of those that never said a thing. One
     * that has just come, or of which something waits to be read, is never it: its caller would lose a set-up that
     * this controller has taken, and on part of a core a reader may come to it late.
     */
    private boolean makeRoom() {
        Set<Line> busy = new HashSet<>();
        for (int i = 0; i < MOST_LOOKS; i++) {
            long now = System.nanoTime();
            Line worst = null;
            for (Line one : lines.values()) {
                if (one.open.get() <= 0
                        && now - one.heardAt > QUIET_NS
                        && !busy.contains(one)
                        && (worst == null
                                || worst.good && !one.good
                                || worst.good == one.good && one.heardAt - worst.heardAt < 0)) {
                    worst = one;
                }
            }
            if (worst == null) {
                return false;
            }
            if (!worst.connection.unread() && worst.open.get() <= 0) {
                drops.count("quiet line ended for a new one");
                worst.connection.close("room for others");
                return true;
            }
            busy.add(worst);
        }
        return false;
    }

    private final Connection.Events events = new Connection.Events() {
        @Override
        public void whole(Connection connection, byte[] message) throws InterruptedException {
            Line line = lines.get(connection.number());
            if (line != null) {
                line.heardAt = System.nanoTime();
                take(line, message);
            }
        }

        @Override
        public void ended(Connection connection, String why) {
            Line line = lines.remove(connection.number());
            if (line != null) {
                line.waiting.values().forEach(Withdrawal::make);
            }
            drops.count("line over", why);
            try {
                heard.over(connection.number());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    };

    private void take(Line line, byte[] bytes) throws InterruptedException {
        Parsed parsed = Parser.lean(bytes, bytes.length);
        Message message = parsed.message();
        if (!parsed.good()) {
            wrong(line, parsed.answerable() ? (Request) message : null, parsed.fault());
            return;
        }
        long number = line.connection.number();
        if (message instanceof Response response) {
            if (response.headers().first("CSeq").endsWith("BYE")) {
                heard.releaseHeard(response.callId());
            }
            return;
        }
        Request request = (Request) message;
        switch (request.method()) {
            case "INVITE" -> setUp(line, request);
            case "CANCEL", "BYE" -> {
                Withdrawal caller = line.waiting.get(request.callId());
                if (caller != null) {
                    // Before it is queued: what was ordered for it and not yet sent must not go out meanwhile.
                    caller.make();
                }
                heard.request(number, request);
            }
            case "ACK" -> heard.request(number, request);
            case "OPTIONS" -> {
                line.good = true;
                boolean ready = heard.ready();
                line.connection.send(Replies.plain(request, ready ? 200 : 503, ready ? "OK" : "Not Ready"));
            }
            default -> wrong(line, request, "no such method");
        }
    }

    private void setUp(Line line, Request invite) throws InterruptedException {
        SetUp asked;
        Withdrawal caller = new Withdrawal();
        try {
            asked = fit.setUp(line.connection.number(), invite, new Moment(System.nanoTime()), caller);
        } catch (Fit.Unfit e) {
            wrong(line, invite, e.getMessage());
            return;
        }
        if (line.open.incrementAndGet() > MOST_OPEN) {
            line.open.decrementAndGet();
            drops.count("too many set-ups open on a line");
            line.connection.send(Replies.plain(invite, 503, "Too Many Open"));
            return;
        }
        line.good = true;
        line.waiting.put(asked.tag(), caller);
        if (lines.get(line.connection.number()) != line) {
            // Its connection ended between two lines of this: nobody may have seen the mark.
            caller.make();
        }
        if (!heard.setUp(asked)) {
            settled(line.connection.number(), asked.tag());
            drops.count("no room for a set-up");
            line.connection.send(Replies.plain(invite, 503, "No Room"));
        }
    }

    private void wrong(Line line, Request request, String why) {
        drops.count("wrong", why);
        if (request == null || ++line.wrong > MOST_WRONG) {
            line.connection.close(why);
            return;
        }
        line.connection.send(Replies.plain(request, 400, why));
    }

    /**
     * Takes what still waits to be accepted and nobody after; ends each connection once nothing is owed on it and
     * nothing of it is unread. What is read meanwhile is handed up like before, so whoever decides must go on. Those
     * that are still owed something after this time are left.
     */
    public void hangUp(Span atMost) {
        long until = System.nanoTime() + atMost.ns();
        leaving = true;
        try {
            accepted.await(atMost.ns(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        do {
            for (Line line : lines.values()) {
                if (line.open.get() <= 0 && !line.connection.unread()) {
                    line.connection.finish("closing", Span.ofMillis(WAIT_MS));
                }
            }
        } while (!lines.isEmpty() && System.nanoTime() < until && pause());
    }

    @Override
    public void close() throws IOException {
        closing = true;
        listener.close();
        lines.values().forEach(line -> line.connection.close("closing"));
    }
}
