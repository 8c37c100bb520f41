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
import martenslip.platform.contact.CallerCancellation;
import martenslip.platform.contact.CallerMessages;
import martenslip.platform.contact.ContactSettings;
import martenslip.platform.contact.SetUpRequest;
import martenslip.sip.message.Message;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.ParseResult;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Connection;
import martenslip.sip.transport.ConnectionThreadPool;
import martenslip.sip.transport.ContentLengthFramer;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.TransportLimits;

/**
 * The callers' lines: accepts, cuts, reads, refuses what is unfit by itself, hands the rest up. What one line brings
 * is read by its own thread, and waits there where the deciding thread has no room.
 */
public final class CallerConnections implements AutoCloseable {
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
    public interface Listener {
        /** False where there is no room for it: its reader must not wait with what its caller says next. */
        boolean setUpReceived(SetUpRequest asked) throws InterruptedException;

        void requestReceived(long line, Request request) throws InterruptedException;

        void releaseAcknowledged(String tag) throws InterruptedException;

        void connectionEnded(long line) throws InterruptedException;

        /** Whether a test passes now. */
        boolean isReady();
    }

    private static final class CallerConnection {
        final Connection connection;
        final AtomicInteger open = new AtomicInteger();
        /** Of the set-ups that are open: whether their caller has gone. One id names one of them. */
        final Map<String, CallerCancellation> waiting = new ConcurrentHashMap<>();

        volatile long heardAt;
        volatile boolean good;
        int wrong;

        CallerConnection(Connection connection) {
            this.connection = connection;
            heardAt = System.nanoTime();
        }
    }

    private final TransportLimits bounds;
    private final ConnectionThreadPool writers;
    private final Listener heard;
    private final DropCounter drops;
    private final SetUpParser fit;
    private final Map<Long, CallerConnection> lines = new ConcurrentHashMap<>();
    private final ServerSocket listener;
    private final CountDownLatch accepted = new CountDownLatch(1);
    private volatile int most;
    private volatile boolean leaving;
    private volatile boolean closing;
    private long numbers;

    public CallerConnections(
            ContactSettings terms,
            TransportLimits bounds,
            ConnectionThreadPool writers,
            DropCounter drops,
            Listener heard)
            throws IOException {
        this(terms, bounds, writers, drops, heard, new ServerSocket());
    }

    /** {@code listener} is not bound yet. */
    CallerConnections(
            ContactSettings terms,
            TransportLimits bounds,
            ConnectionThreadPool writers,
            DropCounter drops,
            Listener heard,
            ServerSocket listener) {
        this.listener = listener;
        this.bounds = bounds;
        this.writers = writers;
        this.heard = heard;
        this.drops = drops;
        fit = new SetUpParser(terms);
        most = bounds.maxConnections();
    }

    /**
     * How many connections callers may hold from now on; where they hold more, quiet ones are ended. Those that are owed
     * something stay.
     */
    public void setConnectionLimit(int connections) {
        most = Math.max(1, Math.min(bounds.maxConnections(), connections));
        int over = lines.size() - most;
        for (int i = 0; i < over && makeRoom(); i++) {
            drops.increment("connection ended for a switch");
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

    public int connectionCount() {
        return lines.size();
    }

    /** True where some line holds what its reader has not come to. */
    public boolean hasUnreadInput() {
        return lines.values().stream().anyMatch(line -> line.connection.hasUnreadInput());
    }

    public boolean send(long line, byte[] message) {
        CallerConnection to = lines.get(line);
        return to != null && to.connection.send(message);
    }

    /** The line that was heard last of those that have brought something fit; {@code but} only where it is alone; or 0. */
    public long mostRecentConnection(long but) {
        CallerConnection last = null;
        for (CallerConnection one : lines.values()) {
            boolean only = last != null && last.connection.id() == but;
            if (one.good && (last == null || only || one.connection.id() != but && last.heardAt - one.heardAt < 0)) {
                last = one;
            }
        }
        return last == null ? 0 : last.connection.id();
    }

    public void contactAnswered(long line, String tag) {
        CallerConnection one = lines.get(line);
        if (one != null) {
            one.waiting.remove(tag);
            one.open.decrementAndGet();
        }
    }

    public void disconnect(long line, String why) {
        CallerConnection one = lines.get(line);
        if (one != null) {
            drops.increment(why);
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
            drops.increment("listener not closed");
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
            drops.increment("accept fault", String.valueOf(e.getMessage()));
            if (!makeRoom()) {
                pause();
            }
            return true;
        }
        try {
            take(socket);
        } catch (IOException e) {
            drops.increment("caller gone as it was taken");
            quietly(socket);
        }
        return true;
    }

    private void take(Socket socket) throws IOException {
        if (!room()) {
            drops.increment("too many connections");
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
                new ContentLengthFramer(MOST_BYTES, FIRST_BYTES, true),
                writers);
        lines.put(connection.id(), new CallerConnection(connection));
        begin(connection);
    }

    private void quietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            drops.increment("not closed");
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
        Set<CallerConnection> busy = new HashSet<>();
        for (int i = 0; i < MOST_LOOKS; i++) {
            long now = System.nanoTime();
            CallerConnection worst = null;
            for (CallerConnection one : lines.values()) {
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
            if (!worst.connection.hasUnreadInput() && worst.open.get() <= 0) {
                drops.increment("quiet line ended for a new one");
                worst.connection.close("room for others");
                return true;
            }
            busy.add(worst);
        }
        return false;
    }

    private final Connection.Listener events = new Connection.Listener() {
        @Override
        public void messageReceived(Connection connection, byte[] message) throws InterruptedException {
            CallerConnection line = lines.get(connection.id());
            if (line != null) {
                line.heardAt = System.nanoTime();
                take(line, message);
            }
        }

        @Override
        public void ended(Connection connection, String why) {
            CallerConnection line = lines.remove(connection.id());
            if (line != null) {
                line.waiting.values().forEach(CallerCancellation::cancel);
            }
            drops.increment("line over", why);
            try {
                heard.connectionEnded(connection.id());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    };

    private void take(CallerConnection line, byte[] bytes) throws InterruptedException {
        ParseResult parsed = MessageParser.parseMinimal(bytes, bytes.length);
        Message message = parsed.message();
        if (!parsed.isValid()) {
            wrong(line, parsed.isAnswerable() ? (Request) message : null, parsed.fault());
            return;
        }
        long number = line.connection.id();
        if (message instanceof Response response) {
            if (response.headers().first("CSeq").endsWith("BYE")) {
                heard.releaseAcknowledged(response.callId());
            }
            return;
        }
        Request request = (Request) message;
        switch (request.method()) {
            case "INVITE" -> setUp(line, request);
            case "CANCEL", "BYE" -> {
                CallerCancellation caller = line.waiting.get(request.callId());
                if (caller != null) {
                    // Before it is queued: what was ordered for it and not yet sent must not go out meanwhile.
                    caller.cancel();
                }
                heard.requestReceived(number, request);
            }
            case "ACK" -> heard.requestReceived(number, request);
            case "OPTIONS" -> {
                line.good = true;
                boolean ready = heard.isReady();
                line.connection.send(CallerMessages.response(request, ready ? 200 : 503, ready ? "OK" : "Not Ready"));
            }
            default -> wrong(line, request, "no such method");
        }
    }

    private void setUp(CallerConnection line, Request invite) throws InterruptedException {
        SetUpRequest asked;
        CallerCancellation caller = new CallerCancellation();
        try {
            asked = fit.setUp(line.connection.id(), invite, new Moment(System.nanoTime()), caller);
        } catch (SetUpParser.InvalidSetUpException e) {
            wrong(line, invite, e.getMessage());
            return;
        }
        if (line.open.incrementAndGet() > MOST_OPEN) {
            line.open.decrementAndGet();
            drops.increment("too many set-ups open on a line");
            line.connection.send(CallerMessages.response(invite, 503, "Too Many Open"));
            return;
        }
        line.good = true;
        line.waiting.put(asked.tag(), caller);
        if (lines.get(line.connection.id()) != line) {
            // Its connection ended between two lines of this: nobody may have seen the mark.
            caller.cancel();
        }
        if (!heard.setUpReceived(asked)) {
            contactAnswered(line.connection.id(), asked.tag());
            drops.increment("no room for a set-up");
            line.connection.send(CallerMessages.response(invite, 503, "No Room"));
        }
    }

    private void wrong(CallerConnection line, Request request, String why) {
        drops.increment("wrong", why);
        if (request == null || ++line.wrong > MOST_WRONG) {
            line.connection.close(why);
            return;
        }
        line.connection.send(CallerMessages.response(request, 400, why));
    }

    /**
     * Takes what still waits to be accepted and nobody after; ends each connection once nothing is owed on it and
     * nothing of it is unread. What is read meanwhile is handed up like before, so whoever decides must go on. Those
     * that are still owed something after this time are left.
     */
    public void closeGracefully(Span atMost) {
        long until = System.nanoTime() + atMost.ns();
        leaving = true;
        try {
            accepted.await(atMost.ns(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        do {
            for (CallerConnection line : lines.values()) {
                if (line.open.get() <= 0 && !line.connection.hasUnreadInput()) {
                    line.connection.flushAndClose("closing", Span.ofMillis(WAIT_MS));
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
