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
 * One request to the journal service on a thread of its own: waits for the response's header, then reads server-sent events
 * until the stream ends or {@link #abandon} is called by another thread.
 */
final class JournalRequest {
    private static final int STACK_BYTES = 256 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 700;

    /** Of a line, in bytes, and of an event, in characters. */
    private static final int MAX_LENGTH = 1 << 20;

    /** Called by the request's thread. */
    interface Listener {
        /** The header has come. Returns false if the request is no longer wanted. */
        boolean answered(JournalRequest request);

        /** A line was received. Returns false if the request is no longer wanted. */
        boolean lineReceived(JournalRequest request);

        void eventReceived(JournalRequest request, SwitchListEvent event) throws InterruptedException;

        /** The request has failed, or its stream has ended; called once. */
        void ended(JournalRequest request, String reason);
    }

    private final InetSocketAddress address;
    private final long position;
    private final Span maxHeaderWait;
    private final Listener listener;
    private final long startNs = System.nanoTime();
    private volatile HttpURLConnection connection;
    private volatile boolean isAbandoned;

    /** A request for the events after {@code position}. */
    JournalRequest(InetSocketAddress address, long position, Span maxHeaderWait, Listener listener) {
        this.address = address;
        this.position = position;
        this.maxHeaderWait = maxHeaderWait;
        this.listener = listener;
    }

    void start() {
        Thread thread = new Thread(null, this::run, "journal", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    /** The time since the request was made. */
    Span age() {
        return new Span(System.nanoTime() - startNs);
    }

    /**
     * Ends the request without waiting for its thread, which notices it at once, or at the header's limit at the latest. The
     * connection is closed by a thread of its own, as closing a chunked stream waits for the read in progress.
     */
    void abandon() {
        isAbandoned = true;
        HttpURLConnection open = connection;
        if (open != null) {
            Thread closer = new Thread(null, open::disconnect, "journal-close", STACK_BYTES);
            closer.setDaemon(true);
            closer.start();
        }
    }

    private void run() {
        String reason = "ended";
        try {
            readStream();
        } catch (IOException | RuntimeException | StackOverflowError | OutOfMemoryError e) {
            // Asked again: without that no change of the switch list would ever be heard.
            reason = String.valueOf(e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            listener.ended(this, reason);
        }
    }

    private void readStream() throws IOException, InterruptedException {
        connection = (HttpURLConnection)
                URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + "/journal")
                        .toURL()
                        .openConnection();
        try {
            connection.setConnectTimeout(CONNECT_TIMEOUT_MS);
            connection.setReadTimeout((int) (maxHeaderWait.ns() / 1_000_000));
            connection.setUseCaches(false);
            connection.setRequestProperty("Last-Event-ID", Long.toString(position));
            connection.setRequestProperty("Accept", "text/event-stream");
            if (connection.getResponseCode() != HttpURLConnection.HTTP_OK) {
                throw new IOException("status " + connection.getResponseCode());
            }
            if (!isAbandoned && listener.answered(this)) {
                readEvents(connection.getInputStream());
            }
        } finally {
            connection.disconnect();
        }
    }

    private void readEvents(InputStream in) throws IOException, InterruptedException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(512);
        StringBuilder data = new StringBuilder();
        byte[] buffer = new byte[4096];
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
                if (isAbandoned || !listener.lineReceived(this)) {
                    return;
                }
                handleLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text, data);
            }
        }
    }

    /** Adds a line of data to the event, or delivers the event at the blank line behind it. */
    private void handleLine(String line, StringBuilder data) throws IOException, InterruptedException {
        if (line.isEmpty()) {
            if (data.length() > 0) {
                listener.eventReceived(
                        this, SwitchListEvent.parse(Json.parse(data.toString().getBytes(StandardCharsets.UTF_8))));
                data.setLength(0);
            }
        } else if (line.startsWith("data:")) {
            data.append(line, line.startsWith("data: ") ? 6 : 5, line.length());
            if (data.length() > MAX_LENGTH) {
                throw new IOException("an event without end");
            }
        }
    }
}
