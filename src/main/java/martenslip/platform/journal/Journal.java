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
 * Reads the journal service's feed: server-sent events from the last position on, a comment each second. What breaks,
 * falls silent or can't be read is asked for again at once, then with growing pauses; an event that was cut off, or
 * came before, is none. One thread.
 */
public final class Journal implements AutoCloseable {
    private static final int STACK = 256 * 1024;
    private static final int CONNECT_MS = 700;
    /** A comment is due each second. */
    private static final int SILENT_MS = 1600;
    private static final int MOST_LINE = 1 << 20;
    private static final Span FIRST_PAUSE = Span.ofMillis(50);
    private static final Span LONGEST_PAUSE = Span.ofMillis(400);

    /** Takes events in the order of their numbers; called by the journal's thread. */
    public interface Heard {
        void event(ListEvent event) throws InterruptedException;

        void broken(String why);
    }

    private final Heard heard;
    private volatile InetSocketAddress at;
    private volatile boolean closing;
    private volatile HttpURLConnection reading;
    private volatile long position;
    private Thread thread;

    public Journal(InetSocketAddress at, long position, Heard heard) {
        this.at = at;
        this.position = position;
        this.heard = heard;
    }

    public void start() {
        thread = new Thread(null, this::work, "journal", STACK);
        thread.setDaemon(true);
        thread.start();
    }

    public long position() {
        return position;
    }

    /** From now on the feed is read elsewhere; positions go on. */
    public void moved(InetSocketAddress to) {
        if (to.equals(at)) {
            return;
        }
        at = to;
        HttpURLConnection old = reading;
        if (old != null) {
            // Off the caller's thread: closing may wait for the reader's lock.
            Thread closer = new Thread(null, old::disconnect, "journal-moved", STACK);
            closer.setDaemon(true);
            closer.start();
        }
        thread.interrupt();
    }

    private void work() {
        Span pause = Span.ZERO;
        while (!closing) {
            long before = position;
            boolean talked = false;
            try {
                talked = read();
                heard.broken("ended");
            } catch (IOException | RuntimeException e) {
                heard.broken(String.valueOf(e.getMessage()));
            } catch (InterruptedException e) {
                heard.broken("moved");
            }
            pause = talked || position != before ? Span.ZERO : pause.times(2).least(FIRST_PAUSE).most(LONGEST_PAUSE);
            try {
                Thread.sleep(Math.max(10, pause.ns() / 1_000_000));
            } catch (InterruptedException e) {
                pause = Span.ZERO;
            }
        }
    }

    /** True where anything at all was said. */
    private boolean read() throws IOException, InterruptedException {
        InetSocketAddress to = at;
        HttpURLConnection http = (HttpURLConnection) URI.create("http://" + to.getAddress().getHostAddress() + ":"
                + to.getPort() + "/journal").toURL().openConnection();
        reading = http;
        try {
            http.setConnectTimeout(CONNECT_MS);
            http.setReadTimeout(SILENT_MS);
            http.setUseCaches(false);
            http.setRequestProperty("Last-Event-ID", Long.toString(position));
            http.setRequestProperty("Accept", "text/event-stream");
            if (http.getResponseCode() != 200) {
                throw new IOException("status " + http.getResponseCode());
            }
            return events(http.getInputStream(), to);
        } finally {
            reading = null;
            http.disconnect();
        }
    }

    private boolean events(InputStream in, InetSocketAddress from) throws IOException, InterruptedException {
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
                text = text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                if (text.isEmpty()) {
                    if (data.length() > 0) {
                        event(data.toString());
                        data.setLength(0);
                    }
                } else if (text.startsWith("data:")) {
                    data.append(text, text.startsWith("data: ") ? 6 : 5, text.length());
                    if (data.length() > MOST_LINE) {
                        throw new IOException("an event without end");
                    }
                }
                talked = true;
            }
            if (closing || !from.equals(at)) {
                return talked;
            }
        }
        return talked;
    }

    private void event(String data) throws IOException, InterruptedException {
        ListEvent event = ListEvent.of(Json.read(data.getBytes(StandardCharsets.UTF_8)));
        if (event.position() <= position) {
            return;
        }
        heard.event(event);
        position = event.position();
    }

    @Override
    public void close() {
        closing = true;
        if (thread != null) {
            thread.interrupt();
        }
    }
}
