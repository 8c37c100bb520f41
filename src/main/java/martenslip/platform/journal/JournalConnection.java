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
 * Reads one address of the journal service on a thread of its own: server-sent events from the last position on, a
 * comment each second. What breaks, falls silent or can't be read is asked for again at once, then with growing pauses.
 *
 * <p>It is ended by a mark, never by an interrupt: an interrupt does not wake a read of a socket, and one that comes
 * late hits whatever is waited for next. A feed that is no longer heard notices it at its next line, or when it has
 * been silent for too long.
 */
final class JournalConnection {
    private static final int STACK = 256 * 1024;
    private static final int CONNECT_MS = 700;
    /** A comment is due each second. */
    private static final int SILENT_MS = 1600;

    private static final int MOST_LINE = 1 << 20;
    private static final Span FIRST_PAUSE = Span.ofMillis(50);
    private static final Span LONGEST_PAUSE = Span.ofMillis(400);
    private static final int LEAST_PAUSE_MS = 10;

    /** What a feed tells; called by its thread. */
    interface Listener {
        long position();

        /** False where it is no longer to be heard. */
        boolean talks(JournalConnection by);

        void event(JournalConnection by, SwitchListEvent event) throws InterruptedException;

        void broken(String why);
    }

    final InetSocketAddress at;
    private final Listener tells;
    private boolean ended;

    JournalConnection(InetSocketAddress at, Listener tells) {
        this.at = at;
        this.tells = tells;
    }

    void start() {
        Thread thread = new Thread(null, this::work, "journal", STACK);
        thread.setDaemon(true);
        thread.start();
    }

    /** Not asked for again once it breaks. Whether it is heard until then is settled by {@link Listener#talks}. */
    synchronized void end() {
        ended = true;
        notifyAll();
    }

    private void work() {
        Span pause = Span.ZERO;
        do {
            long before = tells.position();
            boolean talked = false;
            try {
                talked = read();
                tells.broken("ended");
            } catch (IOException | RuntimeException e) {
                tells.broken(String.valueOf(e.getMessage()));
            } catch (InterruptedException e) {
                return;
            }
            boolean told = talked || tells.position() != before;
            pause = told ? Span.ZERO : pause.times(2).atLeast(FIRST_PAUSE).atMost(LONGEST_PAUSE);
        } while (goesOnAfter(Math.max(LEAST_PAUSE_MS, pause.ns() / 1_000_000)));
    }

    private synchronized boolean goesOnAfter(long ms) {
        long until = System.nanoTime() + ms * 1_000_000;
        try {
            for (long left = ms; left > 0 && !ended; left = (until - System.nanoTime()) / 1_000_000) {
                wait(left);
            }
        } catch (InterruptedException e) {
            return false;
        }
        return !ended;
    }

    /** True where anything at all was said. */
    private boolean read() throws IOException, InterruptedException {
        HttpURLConnection http = (HttpURLConnection)
                URI.create("http://" + at.getAddress().getHostAddress() + ":" + at.getPort() + "/journal")
                        .toURL()
                        .openConnection();
        try {
            http.setConnectTimeout(CONNECT_MS);
            http.setReadTimeout(SILENT_MS);
            http.setUseCaches(false);
            http.setRequestProperty("Last-Event-ID", Long.toString(tells.position()));
            http.setRequestProperty("Accept", "text/event-stream");
            if (http.getResponseCode() != 200) {
                throw new IOException("status " + http.getResponseCode());
            }
            return events(http.getInputStream());
        } finally {
            http.disconnect();
        }
    }

    private boolean events(InputStream in) throws IOException, InterruptedException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(512);
        StringBuilder data = new StringBuilder();
        byte[] room = new byte[4096];
        boolean talked = false;
        for (int got = in.read(room); got >= 0; got = in.read(room)) {
            for (int i = 0; i < got; i++) {
                if (room[i] != '\n') {
                    line.write(room[i]);
                    if (line.size() > MOST_LINE) {
                        throw new IOException("a line without end");
                    }
                    continue;
                }
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                if (!tells.talks(this)) {
                    return talked;
                }
                talked = true;
                text = text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                if (text.isEmpty()) {
                    if (data.length() > 0) {
                        tells.event(
                                this,
                                SwitchListEvent.parse(Json.read(data.toString().getBytes(StandardCharsets.UTF_8))));
                        data.setLength(0);
                    }
                } else if (text.startsWith("data:")) {
                    data.append(text, text.startsWith("data: ") ? 6 : 5, text.length());
                    if (data.length() > MOST_LINE) {
                        throw new IOException("an event without end");
                    }
                }
            }
        }
        return talked;
    }
}
