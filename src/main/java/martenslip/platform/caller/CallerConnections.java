package martenslip.platform.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import martenslip.control.Span;
import martenslip.platform.contact.CallerCancellation;
import martenslip.platform.contact.ContactSettings;
import martenslip.platform.contact.SetUpRequest;
import martenslip.sip.message.Request;
import martenslip.sip.transport.Connection;
import martenslip.sip.transport.ConnectionThreadPool;
import martenslip.sip.transport.ContentLengthFramer;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.TransportLimits;

/**
 * The callers' connections: accepts them, parses their messages, rejects invalid messages itself and passes valid ones
 * to the {@link Listener}. Each connection has its own reading thread, which waits while the decision thread has no
 * room.
 */
public final class CallerConnections implements AutoCloseable {
    /** Largest message on the platform. */
    private static final int MAX_MESSAGE_BYTES = 16 * 1024;

    /** Holds a set-up of the usual size. */
    private static final int INITIAL_BUFFER_BYTES = 1024;

    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
    private static final int STACK_BYTES = 128 * 1024;
    private static final int LISTEN_BACKLOG = 512;

    /** Connections checked for unread input before giving up on closing one. */
    private static final int MAX_EVICTION_CANDIDATES = 16;

    private static final int POLL_INTERVAL_MS = 10;
    /** Polls, {@link #POLL_INTERVAL_MS} apart, for room for a new connection. */
    private static final int MAX_ROOM_POLLS = 100;
    /** How often the accepting thread checks whether it has to stop. */
    private static final int ACCEPT_TIMEOUT_MS = 250;

    /** During a graceful close: no connection is waiting to be accepted after this long. */
    private static final int FINAL_ACCEPT_TIMEOUT_MS = 5;

    /** Receives valid messages; called by reading threads, which it may block. */
    public interface Listener {
        /** A caller requests a set-up. Returns false if there was no room for it for some time, and it is to be refused. */
        boolean setUpReceived(SetUpRequest request) throws InterruptedException;

        /** A CANCEL, BYE or ACK was received. */
        void requestReceived(long connectionId, Request request) throws InterruptedException;

        /** The caller answered a BYE: with a 200, or that it does not know the contact. */
        void releaseAnswered(long connectionId, String tag, boolean knowsContact) throws InterruptedException;

        /** The connection has ended, for whatever reason. */
        void connectionEnded(long connectionId) throws InterruptedException;

        /** Whether OPTIONS is answered with 200; otherwise with 503. */
        boolean isReady();
    }

    private final TransportLimits limits;
    private final ConnectionThreadPool threadPool;
    private final Listener listener;
    private final DropCounter drops;
    private final CallerMessageHandler messageHandler;
    private final Map<Long, CallerConnection> callers = new ConcurrentHashMap<>();
    private final ServerSocket serverSocket;
    private final LongSupplier clock;
    private final CountDownLatch acceptStopped = new CountDownLatch(1);
    private volatile int connectionLimit;
    private volatile boolean closingGracefully;
    private volatile boolean closing;
    private long lastConnectionId;

    /** Creates the connections without listening yet; see {@link #open}. */
    public CallerConnections(
            ContactSettings settings,
            TransportLimits limits,
            ConnectionThreadPool threadPool,
            DropCounter drops,
            Listener listener)
            throws IOException {
        this(settings, limits, threadPool, drops, listener, new ServerSocket(), System::nanoTime);
    }

    /** {@code serverSocket} is not bound yet; {@code clock} gives values of {@link System#nanoTime}. */
    CallerConnections(
            ContactSettings settings,
            TransportLimits limits,
            ConnectionThreadPool threadPool,
            DropCounter drops,
            Listener listener,
            ServerSocket serverSocket,
            LongSupplier clock) {
        this.serverSocket = serverSocket;
        this.clock = clock;
        this.limits = limits;
        this.threadPool = threadPool;
        this.listener = listener;
        this.drops = drops;
        messageHandler = new CallerMessageHandler(new SetUpParser(settings), listener, drops, callers::containsKey);
        connectionLimit = limits.maxConnections();
    }

    /**
     * Sets how many connections callers may hold from now on. If they hold more, idle ones are closed; connections in
     * use stay.
     */
    public void setConnectionLimit(int limit) {
        connectionLimit = Math.max(1, Math.min(limits.maxConnections(), limit));
        int excess = callers.size() - connectionLimit;
        for (int i = 0; i < excess && evictIdleConnection("idle, its descriptor is for a switch"); i++) {
            // Each call closes one connection.
        }
    }

    /** Starts listening and returns the local port. */
    public int open(InetSocketAddress address) throws IOException {
        serverSocket.setReuseAddress(true);
        // Inherited by the accepted sockets: what waits there for a reading thread is bounded, and so is what hides the
        // end.
        serverSocket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        serverSocket.bind(address, LISTEN_BACKLOG);
        Thread acceptThread = new Thread(null, this::acceptUntilClosed, "accept", STACK_BYTES);
        acceptThread.setDaemon(true);
        acceptThread.start();
        return serverSocket.getLocalPort();
    }

    /** Number of open connections. */
    public int connectionCount() {
        return callers.size();
    }

    /** Whether anything is unread, unanswered, unwritten or unacknowledged on any connection. */
    public boolean hasPendingWork() {
        return callers.values().stream().anyMatch(CallerConnection::hasPendingWork);
    }

    /** Queues a message; returns false if the connection has ended or ends now because its peer does not read. */
    public boolean send(long connectionId, byte[] message) {
        CallerConnection caller = callers.get(connectionId);
        return caller != null && caller.connection.send(message);
    }

    /**
     * Returns the id of a connection for a release, 0 if there is none. Where any has sent a valid message, one of these is
     * taken: preferred are those that are not excluded, among them those whose caller has answered a release, and among
     * these the one with the most recent input. A caller that has only just come back may have nothing to say.
     */
    public long otherConnection(Set<Long> excludedIds) {
        CallerConnection best = bestOf(caller -> caller.hasSentValidMessage, excludedIds);
        if (best == null) {
            best = bestOf(caller -> true, excludedIds);
        }
        return best == null ? 0 : best.connection.id();
    }

    private CallerConnection bestOf(Predicate<CallerConnection> isCandidate, Set<Long> excludedIds) {
        CallerConnection best = null;
        for (CallerConnection caller : callers.values()) {
            if (isCandidate.test(caller) && (best == null || isPreferred(caller, best, excludedIds))) {
                best = caller;
            }
        }
        return best;
    }

    private static boolean isPreferred(CallerConnection candidate, CallerConnection best, Set<Long> excludedIds) {
        boolean isExcluded = excludedIds.contains(candidate.connection.id());
        if (isExcluded != excludedIds.contains(best.connection.id())) {
            return !isExcluded;
        }
        if (candidate.hasAnsweredRelease != best.hasAnsweredRelease) {
            return candidate.hasAnsweredRelease;
        }
        return best.activity.lastReceivedNs() - candidate.activity.lastReceivedNs() < 0;
    }

    /**
     * Queues the 200 of an open set-up. The connection stays in use until the 200 has been written and its ACK read, the
     * latter for a limited time. Returns false as {@link #send}.
     */
    public boolean sendAnswer(long connectionId, String tag, byte[] response) {
        CallerConnection caller = callers.get(connectionId);
        return caller != null && caller.sendAnswer(tag, response);
    }

    /** Queues the refusal of a set-up, which is open until it has been written. */
    public void sendRefusal(long connectionId, String tag, byte[] response) {
        CallerConnection caller = callers.get(connectionId);
        if (caller != null) {
            caller.sendFinalResponse(tag, response);
        }
    }

    /** A set-up needs no final response: it is no longer open on its connection. */
    public void setUpEnded(long connectionId, String tag) {
        CallerConnection caller = callers.get(connectionId);
        if (caller != null) {
            caller.setUpEnded(tag);
        }
    }

    /** Closes a connection and counts the reason as a drop. */
    public void disconnect(long connectionId, String reason) {
        CallerConnection caller = callers.get(connectionId);
        if (caller != null) {
            drops.increment(reason);
            caller.connection.close(reason);
        }
    }

    private void acceptUntilClosed() {
        try {
            while (!closing && acceptNext()) {
                // acceptNext() accepts one connection.
            }
            serverSocket.close();
        } catch (IOException e) {
            drops.increment("listener not closed");
        } finally {
            acceptStopped.countDown();
        }
    }

    /** Accepts one connection; returns false if accepting has to stop and no connection is waiting. */
    private boolean acceptNext() {
        boolean isFinalAttempt = closingGracefully;
        Socket socket;
        try {
            serverSocket.setSoTimeout(isFinalAttempt ? FINAL_ACCEPT_TIMEOUT_MS : ACCEPT_TIMEOUT_MS);
            socket = serverSocket.accept();
        } catch (SocketTimeoutException e) {
            return !isFinalAttempt;
        } catch (IOException e) {
            if (serverSocket.isClosed()) {
                return false;
            }
            // Without a free file descriptor accept fails at once while the caller keeps waiting: avoid a busy loop.
            drops.increment("accept fault", String.valueOf(e.getMessage()));
            if (!evictIdleConnection("idle, no descriptor is left")) {
                pause();
            }
            return true;
        } catch (OutOfMemoryError e) {
            drops.increment("no memory for a line");
            pause();
            return true;
        }
        try {
            addConnection(socket);
        } catch (IOException e) {
            drops.increment("caller gone as it was taken");
            closeQuietly(socket);
        } catch (OutOfMemoryError e) {
            // This caller is turned away; without the accepting thread no other would ever be served.
            drops.increment("no memory for a line");
            closeQuietly(socket);
        }
        return true;
    }

    private void addConnection(Socket socket) throws IOException {
        if (!waitForRoom()) {
            drops.increment("too many connections");
            closeQuietly(socket);
            return;
        }
        socket.setTcpNoDelay(true);
        Connection connection = new Connection(
                ++lastConnectionId,
                socket,
                (InetSocketAddress) socket.getRemoteSocketAddress(),
                true,
                limits,
                connectionListener,
                new ContentLengthFramer(MAX_MESSAGE_BYTES, INITIAL_BUFFER_BYTES, true),
                threadPool);
        callers.put(connection.id(), new CallerConnection(connection, clock));
        startConnection(connection);
    }

    private void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            drops.increment("not closed");
        }
    }

    private static boolean pause() {
        try {
            Thread.sleep(POLL_INTERVAL_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void startConnection(Connection connection) {
        try {
            connection.start("line");
        } catch (OutOfMemoryError | RejectedExecutionException e) {
            // No thread is available for another connection; the existing ones go on.
            connection.close("no thread for a line");
        }
    }

    /** Waits a limited time for a connection to close; further callers wait in the listen backlog meanwhile. */
    private boolean waitForRoom() {
        for (int i = 0; callers.size() >= connectionLimit; i++) {
            if (i == MAX_ROOM_POLLS
                    || !evictIdleConnection("idle, room for a new one") && !evictForNewcomer() && !pause()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Closes the idle connection that comes first in {@link CallerConnection#EVICTION_ORDER}; returns false if there is
     * none. A connection that was just accepted is not idle, and one with unread input is never closed: its caller would
     * lose a set-up that this controller has already accepted, and with only part of a core a reading thread may handle
     * it late.
     */
    private boolean evictIdleConnection(String reason) {
        return evict(CallerConnection::isIdle, CallerConnection.EVICTION_ORDER, caller -> caller.closeIfIdle(reason));
    }

    /**
     * Closes a connection that speaks, but is worth less than one that waits unread: its caller has got nothing but
     * refusals, or leaves its answers without ACK. Otherwise connections that are never idle keep everyone else out.
     * Returns false if there is none.
     */
    private boolean evictForNewcomer() {
        return evict(
                CallerConnection::isWorthLessThanNewcomer,
                CallerConnection.EVICTION_ORDER,
                caller -> caller.closeForNewcomer("only refused, room for a new one"));
    }

    /** Closes the first connection in the order that is a candidate and not in use; returns false if there is none. */
    private boolean evict(
            Predicate<CallerConnection> isCandidate,
            Comparator<CallerConnection> order,
            Predicate<CallerConnection> closeUnlessInUse) {
        Set<CallerConnection> inUse = new HashSet<>();
        for (int i = 0; i < MAX_EVICTION_CANDIDATES; i++) {
            // Not sorted: the order changes while reading threads go on.
            Optional<CallerConnection> candidate = callers.values().stream()
                    .filter(caller -> !inUse.contains(caller) && isCandidate.test(caller))
                    .min(order);
            if (candidate.isEmpty()) {
                return false;
            }
            if (closeUnlessInUse.test(candidate.get())) {
                return true;
            }
            inUse.add(candidate.get());
        }
        return false;
    }

    private final Connection.Listener connectionListener = new Connection.Listener() {
        @Override
        public void messageReceived(Connection connection, byte[] message) throws InterruptedException {
            CallerConnection caller = callers.get(connection.id());
            if (caller != null) {
                caller.activity.messageReceived(clock.getAsLong());
                messageHandler.handleMessage(caller, message);
            } else {
                messageHandler.handleLateMessage(connection.id(), message);
            }
        }

        @Override
        public void ended(Connection connection, String reason) {
            CallerConnection caller = callers.remove(connection.id());
            if (caller != null) {
                caller.cancellations.values().forEach(CallerCancellation::cancel);
                countWhatIsCutOff(caller, reason);
            }
            drops.increment("line over", reason);
            try {
                listener.connectionEnded(connection.id());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public boolean isInUse(Connection connection) {
            CallerConnection caller = callers.get(connection.id());
            return caller != null && !caller.isActivitySettled();
        }
    };

    private void countWhatIsCutOff(CallerConnection caller, String reason) {
        if (caller.activity.openSetUpCount() > 0) {
            drops.increment("line over with an open set-up", reason);
        }
        if (caller.activity.unacknowledgedCount(clock.getAsLong()) > 0) {
            drops.increment("line over before an ACK", reason);
        }
    }

    /**
     * Accepts the connections that are already waiting and no later ones, and closes each connection once it has no
     * pending work. Messages read meanwhile still go to the listener, so the decision thread must keep running.
     * Connections that still have pending work after the timeout are left open.
     */
    public void closeGracefully(Span timeout) {
        long deadlineNs = System.nanoTime() + timeout.ns();
        closingGracefully = true;
        try {
            acceptStopped.await(timeout.ns(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        do {
            callers.values().forEach(caller -> caller.closeIfSettled("closing"));
        } while (!callers.isEmpty() && System.nanoTime() < deadlineNs && pause());
    }

    @Override
    public void close() throws IOException {
        closing = true;
        serverSocket.close();
        callers.values().forEach(caller -> caller.connection.close("closing"));
    }
}
