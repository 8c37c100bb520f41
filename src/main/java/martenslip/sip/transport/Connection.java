package martenslip.sip.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import martenslip.control.Span;

/**
 * One TCP connection with one reading and one writing thread. The writing thread is its own or one of a
 * {@link ConnectionThreadPool}. Whichever thread notices the end closes it; only the first reason is reported, once.
 */
public final class Connection {
    /** Called by the reading thread; {@link #ended} may be called by any thread. */
    public interface Listener {
        /** A whole message was received. */
        void messageReceived(Connection connection, byte[] message) throws InterruptedException;

        /** The connection has ended; called once. */
        void ended(Connection connection, String reason);

        /** Whether the connection has to stay open though nothing was received for the idle timeout. */
        default boolean isInUse(Connection connection) {
            return false;
        }

        /** An outgoing connection has been established; called only with a {@link ConnectionThreadPool}. */
        default void connected(Connection connection) {}
    }

    private static final int STACK_SIZE_BYTES = 256 * 1024;

    /** What a message occupies while it is handed on, over its length: its bytes and their parsed form. */
    private static final int HAND_OVER_COPIES = 4;
    /** How long the end of a connection is waited for behind a burst. */
    private static final int END_CHECK_TIMEOUT_MS = 1;

    final long id;
    private final InetSocketAddress peer;
    private final TransportLimits limits;
    private final Listener listener;
    private final Socket socket;
    private final StreamFramer framer;
    private final ConnectionThreadPool threadPool;
    private final ArrayDeque<OutgoingMessage> unsentMessages = new ArrayDeque<>();
    private int unsentBytes;
    /** Start of the write in progress; 0 while there is none. */
    private long writeStartNanos;

    private boolean established;
    private boolean closed;
    private boolean writing;
    private boolean wasRefused;
    private long readStartNanos;
    private boolean hasReceivedMessage;
    /** True for a connection of the peer's. */
    private final boolean accepted;

    private volatile boolean handlingInput;
    /** Time of the last input; 0 before the first. */
    private volatile long lastReadNanos;

    private final long createdNanos = System.nanoTime();

    private int socketTimeoutMs;

    // Used by the reading thread only.
    private int reservedBufferBytes;
    private boolean isReadingAhead;
    /** The peer sends more than is read ahead, so an end of the connection is not to be found close behind its bursts. */
    private boolean isStreaming;

    Connection(
            long id,
            Socket socket,
            InetSocketAddress peer,
            boolean established,
            TransportLimits limits,
            Listener listener) {
        this(id, socket, peer, established, limits, listener, new ContentLengthFramer(), null);
    }

    /**
     * Creates a connection on a socket that is already connected if {@code established}. If {@code threadPool} is null,
     * the connection starts a writing thread of its own.
     */
    public Connection(
            long id,
            Socket socket,
            InetSocketAddress peer,
            boolean established,
            TransportLimits limits,
            Listener listener,
            StreamFramer framer,
            ConnectionThreadPool threadPool) {
        this.id = id;
        this.socket = socket;
        this.peer = peer;
        this.established = established;
        accepted = established;
        this.limits = limits;
        this.listener = listener;
        this.framer = framer;
        this.threadPool = threadPool;
    }

    /** Identifier, unique among the connections of one transport. */
    public long id() {
        return id;
    }

    Hop hop() {
        return new Hop(Hop.Protocol.TCP, peer, id);
    }

    /** True if the connection was ever established. */
    public synchronized boolean wasEstablished() {
        return established;
    }

    /** True if bytes have arrived that the reading thread has not read or is still handling. */
    public boolean hasUnreadInput() {
        try {
            return handlingInput || socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * True if a request that was sent at this moment, in {@link System#nanoTime}, went out here and nothing has arrived
     * since. The connection may have been opened for the request; one opened late is the successor of one that carried
     * it.
     */
    boolean isSilentSinceRequest(long sentNanos) {
        long elapsedNanos = System.nanoTime() - sentNanos;
        boolean carriedRequest = createdNanos - sentNanos < elapsedNanos / 2;
        boolean hasReadSince = lastReadNanos != 0 && lastReadNanos - sentNanos >= 0;
        return wasEstablished() && carriedRequest && !hasReadSince;
    }

    /** True if the peer refused the connection, which proves that no process listens there. */
    public synchronized boolean wasRefused() {
        return wasRefused;
    }

    int localPort() {
        return socket.getLocalPort();
    }

    /** Starts the threads, whose names begin with {@code name}; connects first if the connection is not established. */
    public void start(String name) {
        if (threadPool != null) {
            threadPool.executeRead(this::connectAndRead);
            return;
        }
        // The writer of an outgoing connection starts the reading thread once it has connected.
        new Thread(null, this::runWriter, name + "-out-" + id, STACK_SIZE_BYTES).start();
        if (accepted) {
            startReading(name);
        }
    }

    private void startReading(String name) {
        new Thread(null, this::readUntilClosed, name + "-in-" + id, STACK_SIZE_BYTES).start();
    }

    private void connectAndRead() {
        try {
            if (!wasEstablished()) {
                connect();
                synchronized (this) {
                    startWritingIfNeeded();
                }
                listener.connected(this);
            }
        } catch (IOException e) {
            synchronized (this) {
                wasRefused = e instanceof ConnectException && !closed;
            }
            close(String.valueOf(e.getMessage()));
            return;
        }
        readUntilClosed();
    }

    private void connect() throws IOException {
        socket.connect(peer, (int) (limits.connectTimeout().ns() / 1_000_000));
        socket.setTcpNoDelay(true);
        synchronized (this) {
            established = true;
        }
    }

    /**
     * Writes the messages in one piece, as one turn of the sending thread often queues several messages for a peer.
     */
    private void write(List<OutgoingMessage> messages) throws IOException {
        // Not under the lock: a message that checks whether it is still valid may block this thread.
        List<byte[]> parts = new ArrayList<>(messages.size());
        for (OutgoingMessage message : messages) {
            byte[] part = message.bytes();
            if (part != null) {
                parts.add(part);
            }
        }
        try {
            if (!parts.isEmpty()) {
                socket.getOutputStream().write(concatenate(parts));
            }
        } finally {
            synchronized (this) {
                messages.forEach(this::releaseUnsent);
                writeStartNanos = 0;
                notifyAll();
            }
            messages.forEach(OutgoingMessage::completed);
        }
    }

    private void releaseUnsent(OutgoingMessage message) {
        unsentBytes -= message.size();
        limits.unsentBudget().release(message.size());
    }

    private static byte[] concatenate(List<byte[]> parts) {
        if (parts.size() == 1) {
            return parts.get(0);
        }
        byte[] joined = new byte[parts.stream().mapToInt(part -> part.length).sum()];
        int offset = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, joined, offset, part.length);
            offset += part.length;
        }
        return joined;
    }

    private void startWritingIfNeeded() {
        if (established && !closed && !writing && !unsentMessages.isEmpty()) {
            writing = true;
            threadPool.submitWrite(this::writeAll);
        }
    }

    private void writeAll() {
        try {
            for (List<OutgoingMessage> messages = takeAllUnsent(); !messages.isEmpty(); messages = takeAllUnsent()) {
                write(messages);
            }
        } catch (IOException e) {
            close(String.valueOf(e.getMessage()));
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError | LinkageError e) {
            // A fault with one message must not end a writing thread of the pool.
            close("fault: " + e);
        }
    }

    /** Takes all unsent messages. An empty list means that this thread no longer writes for the connection. */
    private synchronized List<OutgoingMessage> takeAllUnsent() {
        if (unsentMessages.isEmpty() || closed) {
            writing = false;
            notifyAll();
            return List.of();
        }
        writeStartNanos = System.nanoTime();
        List<OutgoingMessage> messages = List.copyOf(unsentMessages);
        unsentMessages.clear();
        return messages;
    }

    /**
     * Closes the connection once all queued messages are written, or after {@code maxWait}. Blocks the calling thread.
     */
    public void flushAndClose(String reason, Span maxWait) {
        long deadlineNanos = System.nanoTime() + maxWait.ns();
        try {
            synchronized (this) {
                for (long remainingNanos = maxWait.ns();
                        remainingNanos > 0 && !closed && unsentBytes > 0 && established;
                        remainingNanos = deadlineNanos - System.nanoTime()) {
                    wait(Math.max(1, remainingNanos / 1_000_000));
                }
            }
            socket.shutdownOutput();
        } catch (IOException e) {
            reason = reason + ", " + e.getMessage();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close(reason);
    }

    /** Queues a message; false as in {@link #send(OutgoingMessage)}. */
    public boolean send(byte[] bytes) {
        return send(OutgoingMessage.of(bytes));
    }

    /**
     * Queues a message. Returns false if the connection has ended, or ends it and returns false if its peer does not
     * read.
     */
    public boolean send(OutgoingMessage message) {
        String closeReason = null;
        synchronized (this) {
            if (closed) {
                return false;
            }
            long stalledNanos = writeStartNanos == 0 ? 0 : System.nanoTime() - writeStartNanos;
            if (unsentBytes + message.size() > limits.maxUnsentBytes()) {
                closeReason = "peer leaves " + unsentBytes + " bytes unread";
            } else if (established && stalledNanos > limits.writeStallTimeout().ns()) {
                closeReason = "peer has read nothing for " + stalledNanos / 1_000_000 + " ms";
            } else if (!limits.unsentBudget().reserve(message.size(), unsentBytes + message.size())) {
                closeReason = "peer leaves more than its share unread";
            } else {
                unsentMessages.add(message);
                unsentBytes += message.size();
                if (threadPool != null) {
                    startWritingIfNeeded();
                } else {
                    notifyAll();
                }
                return true;
            }
        }
        close(closeReason);
        return false;
    }

    /**
     * Ends this side of the stream once all queued messages are written. Messages are received until the peer ends its
     * side; no further message may be sent. Returns false as {@link #send(OutgoingMessage)}.
     */
    public boolean endOutput() {
        return send(OutgoingMessage.of(new byte[0], this::shutdownOutput));
    }

    private void shutdownOutput() {
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            close(String.valueOf(e.getMessage()));
        }
    }

    private boolean hasUnsentOutput() {
        return unsentBytes > 0 || !unsentMessages.isEmpty() || writeStartNanos != 0;
    }

    /** Whether the write in progress has taken longer than the limit: the peer does not read. */
    private boolean isWriteStalled() {
        return writeStartNanos != 0
                && System.nanoTime() - writeStartNanos
                        > limits.writeStallTimeout().ns();
    }

    /**
     * Whether nothing is queued or being written and the condition holds, or the peer has not read for the write stall
     * timeout. Unread input is not considered. The condition is evaluated under the lock of this connection.
     */
    public synchronized boolean isUnused(BooleanSupplier condition) {
        return isWriteStalled() || !hasUnsentOutput() && condition.getAsBoolean();
    }

    /**
     * Closes the connection if it has no unread input and {@link #isUnused}; returns whether it did. No input is handled
     * and no message queued between the check and the close.
     */
    public boolean closeIfUnused(String reason, BooleanSupplier condition) {
        synchronized (this) {
            if (closed || hasUnreadInput() || !isUnused(condition)) {
                return false;
            }
            closed = true;
        }
        finishClosing(reason);
        return true;
    }

    /** Closes the connection and discards unsent messages; no effect if it is closed already. */
    public void close(String reason) {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        finishClosing(reason);
    }

    private void finishClosing(String reason) {
        List<OutgoingMessage> unwritten;
        synchronized (this) {
            unwritten = List.copyOf(unsentMessages);
            unsentMessages.clear();
            unwritten.forEach(this::releaseUnsent);
            notifyAll();
        }
        try {
            socket.close();
        } catch (IOException e) {
            reason = reason + ", " + e.getMessage();
        }
        listener.ended(this, reason);
        unwritten.forEach(OutgoingMessage::completed);
    }

    /** Closes the connection with a TCP reset, for stand-ins. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            close("reset here, " + e.getMessage());
            return;
        }
        close("reset here");
    }

    /** Body of the connection's own writing thread; connects first if necessary. */
    private void runWriter() {
        try {
            if (!wasEstablished()) {
                connect();
                startReading(Thread.currentThread().getName());
            }
            for (OutgoingMessage message = awaitNextUnsent(); message != null; message = awaitNextUnsent()) {
                write(List.of(message));
            }
        } catch (IOException e) {
            close(String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            close("stopped");
        }
    }

    private synchronized OutgoingMessage awaitNextUnsent() throws InterruptedException {
        while (unsentMessages.isEmpty() && !closed) {
            wait();
        }
        writeStartNanos = closed ? 0 : System.nanoTime();
        return closed ? null : unsentMessages.poll();
    }

    private void readUntilClosed() {
        try {
            readMessages(socket.getInputStream());
        } catch (IOException | StreamFramer.FramingException e) {
            close(String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            close("stopped");
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError | LinkageError e) {
            // A fault with one message ends this connection only. Open without a reader, it would swallow what comes.
            close("fault: " + e);
        } finally {
            limits.readBudget().releaseBuffer(reservedBufferBytes);
        }
    }

    private void readMessages(InputStream input)
            throws IOException, StreamFramer.FramingException, InterruptedException {
        long messageStartNanos = 0;
        readStartNanos = System.nanoTime();
        while (true) {
            if (framer.needsLargeBuffer() && !reserveLargeBuffer(messageStartNanos)) {
                close("no memory for a large message");
                return;
            }
            updateSocketTimeout(messageStartNanos);
            int bytesRead;
            try {
                bytesRead = read(input);
            } catch (SocketTimeoutException e) {
                if (closeAfterReadTimeout()) {
                    return;
                }
                continue;
            }
            if (bytesRead < 0) {
                close(framer.hasPartialMessage() ? "ended amid a message" : "ended by the peer");
                return;
            }
            lastReadNanos = System.nanoTime();
            messageStartNanos = framer.hasPartialMessage() ? messageStartNanos : lastReadNanos;
            boolean isBurst = accepted && threadPool != null && fillsBuffer(bytesRead);
            framer.advance(bytesRead);
            if (handOn(input, isBurst)) {
                messageStartNanos = System.nanoTime();
            }
            handlingInput = false;
        }
    }

    /** Reserves a buffer of full size, as one that grew step by step could wait for others that do the same. */
    private boolean reserveLargeBuffer(long messageStartNanos) throws InterruptedException {
        int bytes = framer.maxBufferBytes();
        if (reservedBufferBytes == 0) {
            long remainingNanos = limits.messageTimeout().ns() - (System.nanoTime() - messageStartNanos);
            if (!limits.readBudget().reserveBuffer(bytes, remainingNanos)) {
                return false;
            }
            reservedBufferBytes = bytes;
        }
        return true;
    }

    /** Hands on the whole messages of what was read; returns whether there were any. */
    private boolean handOn(InputStream input, boolean isBurst)
            throws IOException, StreamFramer.FramingException, InterruptedException {
        ReadBudget budget = limits.readBudget();
        int takenBytes = framer.hasLargeBuffer() ? budget.beginHandOver(HAND_OVER_COPIES * framer.position()) : 0;
        try {
            List<byte[]> messages = nextMessages();
            StreamFramer.FramingException fault = isBurst && !messages.isEmpty() ? readAhead(input, messages) : null;
            isStreaming &= isBurst;
            releaseUnneededBuffer();
            for (byte[] message : messages) {
                listener.messageReceived(this, message);
                hasReceivedMessage = true;
            }
            if (fault != null) {
                throw fault;
            }
            return !messages.isEmpty();
        } finally {
            budget.endHandOver(takenBytes);
            endReadAhead();
        }
    }

    private void releaseUnneededBuffer() {
        framer.shrinkBuffer();
        if (!framer.hasLargeBuffer()) {
            limits.readBudget().releaseBuffer(reservedBufferBytes);
            reservedBufferBytes = 0;
        }
    }

    private void endReadAhead() {
        if (isReadingAhead) {
            isReadingAhead = false;
            limits.readBudget().endReadAhead();
        }
    }

    /**
     * Reads what has arrived, at least one byte, and marks it as being handled; returns -1 at the end of the stream.
     *
     * <p>On a connection that {@link #closeIfUnused} may close, the first byte is read alone. The rest stays visible as unread
     * input until it is marked, so no message is overlooked that was read but not marked yet.
     */
    private int read(InputStream input) throws IOException {
        byte[] buffer = framer.buffer();
        int position = framer.position();
        int firstRead = input.read(buffer, position, accepted ? 1 : buffer.length - position);
        if (firstRead < 0 || !accepted) {
            handlingInput = firstRead >= 0;
            return firstRead;
        }
        beginHandlingInput();
        int remaining = Math.min(input.available(), buffer.length - position - firstRead);
        return remaining <= 0
                ? firstRead
                : firstRead + Math.max(0, input.read(buffer, position + firstRead, remaining));
    }

    private boolean fillsBuffer(int bytesRead) {
        return framer.position() + bytesRead == framer.buffer().length;
    }

    /**
     * Reads the rest of a burst before any of it is handed on, to see whether its peer has closed the connection behind
     * it: the messages then count as read from a connection that has ended. Bounded in bytes and in connections; a burst
     * beyond that is handed on in parts, and a peer whose stream does not pause has no further burst read ahead. Returns
     * the fault of a part that is malformed, whose messages are dropped, or null. {@link #endReadAhead} must follow once
     * the messages have been handed on.
     */
    private StreamFramer.FramingException readAhead(InputStream input, List<byte[]> messages) throws IOException {
        if (isStreaming || !limits.readBudget().beginReadAhead()) {
            return null;
        }
        isReadingAhead = true;
        try {
            for (int total = 0; total < ReadBudget.MAX_READ_AHEAD_BYTES; ) {
                int bytesRead = mayReadOn() ? readAvailable(input) : 0;
                if (bytesRead == 0) {
                    return null;
                }
                if (bytesRead < 0) {
                    close("ended by the peer behind a burst");
                    return null;
                }
                total += bytesRead;
                lastReadNanos = System.nanoTime();
                framer.advance(bytesRead);
                messages.addAll(nextMessages());
            }
            isStreaming = true;
            return null;
        } catch (StreamFramer.FramingException e) {
            return e;
        }
    }

    /** Whether the buffer has room, or a large one could be had at once. */
    private boolean mayReadOn() {
        if (framer.needsLargeBuffer() && reservedBufferBytes == 0) {
            int bytes = framer.maxBufferBytes();
            if (!limits.readBudget().tryReserveBuffer(bytes)) {
                return false;
            }
            reservedBufferBytes = bytes;
        }
        return true;
    }

    /** Reads what is there; returns 0 if nothing comes for a moment, and -1 if the peer has closed the connection. */
    private int readAvailable(InputStream input) throws IOException {
        byte[] buffer = framer.buffer();
        int position = framer.position();
        socketTimeoutMs = END_CHECK_TIMEOUT_MS;
        socket.setSoTimeout(END_CHECK_TIMEOUT_MS);
        try {
            return input.read(buffer, position, buffer.length - position);
        } catch (SocketTimeoutException e) {
            return 0;
        } catch (SocketException e) {
            return -1;
        }
    }

    private synchronized void beginHandlingInput() throws SocketException {
        if (closed) {
            throw new SocketException("closed");
        }
        handlingInput = true;
    }

    /** Nothing arrived in time; returns false if the connection stays open as it is in use. */
    private boolean closeAfterReadTimeout() {
        if (framer.hasPartialMessage() || !hasReceivedMessage) {
            close(framer.hasPartialMessage() ? "a message took too long to arrive" : "no message came");
            return true;
        }
        return closeIfUnused("idle", () -> !listener.isInUse(this));
    }

    /**
     * Frames everything that was read at once. If any part of it is malformed, none of its messages are delivered, as
     * the framing cannot be trusted.
     */
    private List<byte[]> nextMessages() throws StreamFramer.FramingException {
        byte[] message = framer.nextMessage();
        if (message == null) {
            return new ArrayList<>(0);
        }
        List<byte[]> messages = new ArrayList<>(2);
        for (; message != null; message = framer.nextMessage()) {
            messages.add(message);
        }
        return messages;
    }

    /** Sets the read timeout to the time left for the current message, or until the connection counts as idle. */
    private void updateSocketTimeout(long messageStartNanos) throws IOException {
        long now = System.nanoTime();
        long remainingNanos = framer.hasPartialMessage()
                ? limits.messageTimeout().ns() - (now - messageStartNanos)
                : limits.idleTimeout().ns();
        if (!hasReceivedMessage) {
            remainingNanos =
                    Math.min(remainingNanos, limits.firstMessageTimeout().ns() - (now - readStartNanos));
        }
        int timeoutMs = (int) Math.max(1, remainingNanos / 1_000_000);
        // Setting the timeout is a system call; the value changes little while messages arrive whole.
        if (timeoutMs != socketTimeoutMs) {
            socketTimeoutMs = timeoutMs;
            socket.setSoTimeout(timeoutMs);
        }
    }
}
