package martenslip.platform.journal;

import java.net.InetSocketAddress;
import martenslip.control.Span;

/**
 * Reads one address of the journal service: server-sent events from the last position on, and a comment each second. A
 * stream that fails, falls silent or can't be parsed is opened again at once, then with growing pauses.
 *
 * <p>A wait for the header and the silence of a stream are two times: a service that is slow to answer is not lost. While
 * one request waits for its header, a second one is made at intervals, in case the first will never be answered; the
 * one that is answered first is read.
 *
 * <p>It is ended by a flag, never by an interrupt: an interrupt does not wake a socket read, and a late one would hit
 * the next wait. A connection that is no longer active notices it at its next line or at the silence limit.
 */
final class JournalConnection {
    private static final int STACK_BYTES = 128 * 1024;
    /** The service sends a comment each second. */
    private static final Span MAX_SILENCE = Span.ofMillis(1600);
    /** Three time-outs of a slow service, which turns away what would take longer than one. */
    private static final Span MAX_HEADER_WAIT = Span.ofMillis(6000);
    /** A request without its header for this long is accompanied by another one. */
    private static final Span HEADER_RETRY_INTERVAL = Span.ofMillis(1600);

    private static final Span FIRST_RETRY_PAUSE = Span.ofMillis(50);
    private static final Span MAX_RETRY_PAUSE = Span.ofMillis(400);
    private static final Span MIN_RETRY_PAUSE = Span.ofMillis(10);
    /** How often silence and waits are looked at. */
    private static final long CHECK_INTERVAL_MS = 20;

    /** Called by threads of the connection. */
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

    /** The request whose stream is read; null while none has been answered. */
    private JournalRequest stream;
    /** The request that has waited for its header the longest; null while there is none. */
    private JournalRequest firstRequest;
    /** The request made while another one waits; null while there is none. */
    private JournalRequest secondRequest;

    private boolean progressed;
    private Span pause = Span.ZERO;
    private long lastDataNs;
    private long nextRequestNs;

    JournalConnection(InetSocketAddress address, Listener listener) {
        this.address = address;
        this.listener = listener;
    }

    void start() {
        nextRequestNs = System.nanoTime();
        Thread thread = new Thread(null, this::superviseUntilEnded, "journal-watch", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    /** Stops reconnecting. Whether events count until the stream ends is decided by {@link Listener#dataReceived}. */
    synchronized void end() {
        ended = true;
        notifyAll();
    }

    private synchronized void superviseUntilEnded() {
        try {
            while (!ended) {
                supervise();
                wait(CHECK_INTERVAL_MS);
            }
            // A stream goes on until its listener has no more use for it, or it falls silent.
            while (stream != null) {
                abandonSilentStream();
                wait(CHECK_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            abandonWaiting();
        }
    }

    private void supervise() {
        if (stream != null) {
            abandonSilentStream();
        } else if (firstRequest == null) {
            if (System.nanoTime() - nextRequestNs >= 0) {
                firstRequest = startRequest();
            }
        } else if (firstRequest.age().longerThan(MAX_HEADER_WAIT)) {
            JournalRequest lost = firstRequest;
            firstRequest = secondRequest;
            secondRequest = null;
            lost.abandon();
        } else if ((secondRequest == null ? firstRequest : secondRequest).age().longerThan(HEADER_RETRY_INTERVAL)) {
            JournalRequest unanswered = secondRequest;
            secondRequest = startRequest();
            if (unanswered != null) {
                unanswered.abandon();
            }
        }
    }

    private JournalRequest startRequest() {
        JournalRequest request = new JournalRequest(address, listener.position(), MAX_HEADER_WAIT, requestListener);
        try {
            request.start();
            return request;
        } catch (OutOfMemoryError e) {
            listener.connectionLost("no thread for a request");
            scheduleNextRequest();
            return null;
        }
    }

    private void abandonSilentStream() {
        if (new Span(System.nanoTime() - lastDataNs).longerThan(MAX_SILENCE)) {
            JournalRequest silent = stream;
            streamEnded("says nothing any more");
            silent.abandon();
        }
    }

    private void streamEnded(String reason) {
        stream = null;
        listener.connectionLost(reason);
        scheduleNextRequest();
        notifyAll();
    }

    private void scheduleNextRequest() {
        pause = progressed
                ? Span.ZERO
                : pause.times(2).atLeast(FIRST_RETRY_PAUSE).atMost(MAX_RETRY_PAUSE);
        progressed = false;
        nextRequestNs = System.nanoTime() + pause.atLeast(MIN_RETRY_PAUSE).ns();
    }

    private void abandonWaiting() {
        for (JournalRequest waiting : new JournalRequest[] {firstRequest, secondRequest}) {
            if (waiting != null) {
                waiting.abandon();
            }
        }
        firstRequest = null;
        secondRequest = null;
    }

    private final JournalRequest.Listener requestListener = new JournalRequest.Listener() {
        @Override
        public boolean answered(JournalRequest request) {
            synchronized (JournalConnection.this) {
                boolean isWanted = !ended && stream == null && (request == firstRequest || request == secondRequest);
                if (isWanted) {
                    JournalRequest other = request == firstRequest ? secondRequest : firstRequest;
                    stream = request;
                    lastDataNs = System.nanoTime();
                    firstRequest = null;
                    secondRequest = null;
                    if (other != null) {
                        other.abandon();
                    }
                }
                return isWanted;
            }
        }

        @Override
        public boolean lineReceived(JournalRequest request) {
            synchronized (JournalConnection.this) {
                if (request != stream) {
                    return false;
                }
                lastDataNs = System.nanoTime();
                progressed = true;
            }
            return listener.dataReceived(JournalConnection.this);
        }

        @Override
        public void eventReceived(JournalRequest request, SwitchListEvent event) throws InterruptedException {
            listener.eventReceived(JournalConnection.this, event);
        }

        @Override
        public void ended(JournalRequest request, String reason) {
            synchronized (JournalConnection.this) {
                if (request == stream) {
                    streamEnded(reason);
                } else if (request == secondRequest) {
                    secondRequest = null;
                    listener.connectionLost(reason);
                } else if (request == firstRequest) {
                    firstRequest = secondRequest;
                    secondRequest = null;
                    listener.connectionLost(reason);
                    if (firstRequest == null) {
                        scheduleNextRequest();
                    }
                }
            }
        }
    };
}
