package martenslip.platform.journal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import martenslip.control.Span;
import martenslip.platform.json.Json;

/**
 * Reads one address of the journal service on its own thread: server-sent events from the last position on, and a
 * comment each second. A stream that fails, falls silent or can't be parsed is opened again at once, then with growing
 * pauses.
 *
 * <p>It is ended by a flag, never by an interrupt: an interrupt does not wake a socket read, and a late one would hit
 * the next wait. A connection that is no longer active notices it at its next line or at the read timeout.
 */
final class JournalConnection {
    private static final int STACK_BYTES = 256 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 700;
    /** The service sends a comment each second. */
    private static final int READ_TIMEOUT_MS = 1600;

    /** Of a line, in bytes, and of an event, in characters. */
    private static final int MAX_LENGTH = 1 << 20;

    private static final Span FIRST_RETRY_PAUSE = Span.ofMillis(50);
    private static final Span MAX_RETRY_PAUSE = Span.ofMillis(400);
    private static final int MIN_RETRY_PAUSE_MS = 10;

    /** Called by the connection's thread. */
    interface Listener {
        /** Position of the last event that was delivered; the stream is opened after it. */
        long position();

        /** A line was received. Returns false if the connection is no longer active. */
        boolean dataReceived(JournalConnection connection);

        void eventReceived(JournalConnection connection, SwitchListEvent event) throws InterruptedException;

        void connectionLost(String reason);
    }

    final InetSocketAddress address;
    private final Listener listener;
    private boolean ended;

    JournalConnection(InetSocketAddress address, Listener listener) {
        this.address = address;
        this.listener = listener;
    }

    void start() {
        Thread thread = new Thread(null, this::readUntilEnded, "journal", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    /** Stops reconnecting. Whether events count until the stream ends is decided by {@link Listener#dataReceived}. */
    synchronized void end() {
        ended = true;
        notifyAll();
    }

    private void readUntilEnded() {
        Span pause = Span.ZERO;
        do {
            long positionBefore = listener.position();
            boolean receivedData = false;
            try {
                receivedData = readStream();
                listener.connectionLost("ended");
            } catch (IOException | RuntimeException | StackOverflowError | OutOfMemoryError e) {
                // Asked again: without this thread no change of the switch list would ever be heard.
                listener.connectionLost(String.valueOf(e.getMessage()));
            } catch (InterruptedException e) {
                return;
            }
            boolean progressed = receivedData || listener.position() != positionBefore;
            pause = progressed
                    ? Span.ZERO
                    : pause.times(2).atLeast(FIRST_RETRY_PAUSE).atMost(MAX_RETRY_PAUSE);
        } while (pauseUnlessEnded(Math.max(MIN_RETRY_PAUSE_MS, pause.ns() / 1_000_000)));
    }

    /** Returns false if the connection was ended. */
    private synchronized boolean pauseUnlessEnded(long pauseMs) {
        long deadlineNs = System.nanoTime() + pauseMs * 1_000_000;
        try {
            for (long remainingMs = pauseMs;
                    remainingMs > 0 && !ended;
                    remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000) {
                wait(remainingMs);
            }
        } catch (InterruptedException e) {
            return false;
        }
        return !ended;
    }

    /** Returns true if any line was received. */
    private boolean readStream() throws IOException, InterruptedException {
        HttpURLConnection connection = (HttpURLConnection)
                URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + "/journal")
                        .toURL()
                        .openConnection();
        try {
            connection.setConnectTimeout(CONNECT_TIMEOUT_MS);
            connection.setReadTimeout(READ_TIMEOUT_MS);
            connection.setUseCaches(false);
            connection.setRequestProperty("Last-Event-ID", Long.toString(listener.position()));
            connection.setRequestProperty("Accept", "text/event-stream");
            if (connection.getResponseCode() != 200) {
                throw new IOException("status " + connection.getResponseCode());
            }
            return readEvents(connection.getInputStream());
        } finally {
            connection.disconnect();
        }
    }

    private boolean readEvents(InputStream in) throws IOException, InterruptedException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(512);
        StringBuilder data = new StringBuilder();
        byte[] buffer = new byte[4096];
        boolean receivedData = false;
        for (int readBytes = in.read(buffer); readBytes >= 0; readBytes = in.read(buffer)) {
            for (int i = 0; i < readBytes; i++) {
                if (buffer[i] != '\n') {
                    line.write(buffer[i]);
                    if (line.size() > MAX_LENGTH) {
                        throw new IOException("a line without end");
                    }
                    continue;
                }
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                if (!listener.dataReceived(this)) {
                    return receivedData;
                }
                receivedData = true;
                text = text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                if (text.isEmpty()) {
                    if (data.length() > 0) {
                        listener.eventReceived(
                                this,
                                SwitchListEvent.parse(Json.parse(data.toString().getBytes(StandardCharsets.UTF_8))));
                        data.setLength(0);
                    }
                } else if (text.startsWith("data:")) {
                    data.append(text, text.startsWith("data: ") ? 6 : 5, text.length());
                    if (data.length() > MAX_LENGTH) {
                        throw new IOException("an event without end");
                    }
                }
            }
        }
        return receivedData;
    }
}
