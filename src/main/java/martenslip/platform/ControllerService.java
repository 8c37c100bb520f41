package martenslip.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import martenslip.control.ControllerFactory;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.eventloop.EventLoop;
import martenslip.eventloop.TimerWheel;
import martenslip.platform.caller.CallerConnections;
import martenslip.platform.contact.ContactSettings;
import martenslip.platform.contact.ContactTable;
import martenslip.platform.contact.OutboundMessages;
import martenslip.platform.contact.SetUpRequest;
import martenslip.platform.contact.SwitchStartRequest;
import martenslip.platform.journal.Journal;
import martenslip.platform.journal.SwitchListEvent;
import martenslip.platform.peer.PeerNoteTransport;
import martenslip.platform.switchconnection.LoadReportParser;
import martenslip.platform.switchconnection.SwitchConnections;
import martenslip.sip.message.Request;
import martenslip.sip.transport.ConnectionThreadPool;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.QueuedMessage;
import martenslip.sip.transport.TransportLimits;

/** One controller in service on the platform: wires callers, switches, journal and peers to one deciding thread. */
public final class ControllerService implements AutoCloseable {
    private static final int INBOX = 4096;
    private static final Span READY_AT_LAST = Span.ofMillis(1500);
    /**
     * After SIGTERM callers' set-ups come for 0.6 s, and may wait unread where the core is busy; contacts in transit
     * come as long as the process runs. Nothing is won by an early end: the kill comes 3.7 s after SIGTERM at the
     * soonest. What comes later than the first of these is refused.
     */
    private static final Span STILL_TAKEN = Span.ofMillis(1800);

    private static final Span LAST_FOR_SURE = Span.ofMillis(2000);
    /** Half of what the platform adds to every time limit on sockets. */
    private static final Span ON_SOCKETS = Span.ofMillis(25);

    private static final Span LOOK = Span.ofMillis(50);
    /** Well under the kill, which comes 1.7 s after the end begins at the soonest. */
    private static final Span HANG_UP = Span.ofMillis(600);

    private static final Span TELL = Span.ofMillis(5000);
    /** Descriptors of files and the JVM, the journal's two feeds, the listener and the peers' socket. */
    private static final int NOT_FOR_CONNECTIONS = 28;
    /** A bound of threads for callers' connections. */
    private static final int MOST_LINES = 500;

    private final Path file;
    private final RateLimitedLog log;
    private final DropCounter drops = new DropCounter();
    private final ConnectionThreadPool writers = new ConnectionThreadPool("desk", 16);
    private final EventLoop loop = new EventLoop("desk", INBOX);
    private final TimerWheel wheel = loop.timerWheel();
    private final CountDownLatch done = new CountDownLatch(1);
    private final ContactTable desk;
    private final CallerConnections callers;
    private final SwitchConnections switches;
    private final SwitchRegistry roster;
    private final Journal journal;
    private final PeerNoteTransport peers;
    private final Configuration start;
    private volatile Thread decides;
    private volatile boolean ready;
    private boolean ends;
    private int port;

    /** The log goes to {@code out}; an exception names the path in the file and the reason. */
    public ControllerService(Path file, ControllerFactory maker, PrintStream out) throws IOException {
        this(file, maker, out, Socket::new);
    }

    /** {@code sockets} makes those toward switches, not yet connected. */
    ControllerService(Path file, ControllerFactory maker, PrintStream out, Supplier<Socket> sockets)
            throws IOException {
        this.file = file;
        log = new RateLimitedLog(out);
        start = Configuration.read(file);
        Map<String, String> settings = start.settings();
        ContactSettings terms = terms(settings);
        TransportLimits bounds = new TransportLimits(
                MOST_LINES,
                Span.ofMillis(2000),
                Span.ofMillis(20_000),
                Span.ofMillis(1500),
                256 * 1024,
                Span.ofMillis(3000),
                Span.ofMillis(500));
        callers = new CallerConnections(terms, bounds, writers, drops, fromCallers);
        Span connect = span(settings, "policy-limits.connect-timeout-ns", 500e6);
        Span idle = span(settings, "policy-limits.conn-idle-ns", 600e9);
        TransportLimits toSwitches = new TransportLimits(
                256, idle.times(2), idle.times(2), Span.ofMillis(400), 256 * 1024, Span.ofMillis(3000), connect);
        switches = new SwitchConnections(
                toSwitches,
                sockets,
                writers,
                wheel,
                new LoadReportParser(
                        Arrays.asList(settings.getOrDefault("report.fields", "").split(","))),
                drops,
                this::turn,
                fromSwitches);
        desk = new ContactTable(wheel, terms, outward);
        roster = new SwitchRegistry(
                desk, switches, settings.getOrDefault("zones", ""), wheel.now(), System.currentTimeMillis(), log);
        journal = new Journal(start.journal(), start.position(), fromJournal);
        boolean notes = "true".equals(settings.get("policy-limits.peers")) && start.peerListen() != null;
        int own = (int) number(settings, "me", -1);
        peers = notes
                ? new PeerNoteTransport(
                        start.peerListen(),
                        start.peers(),
                        start.peersAll(),
                        own,
                        drops,
                        (peer, note) -> loop.offer((Runnable)
                                () -> desk.notifyController(to -> to.peerNoteReceived(wheel.now(), peer, note))))
                : null;
        desk.setController(maker.create(settings, start.seed(), wheel.now(), desk));
    }

    /** Begins to serve; the port that is listened on is returned. */
    public int startServing() throws IOException {
        loop.start(
                new EventLoop.Handler() {
                    @Override
                    public void handle(Object next) {
                        log.line("fault", "unknown piece of work " + next);
                    }

                    @Override
                    public void afterTurn() {
                        // Messages go out as they are queued; nothing is left for the end of a turn.
                    }

                    @Override
                    public void onFailure(Throwable fault) {
                        log.line(
                                "fault",
                                fault + " at "
                                        + Arrays.stream(fault.getStackTrace())
                                                .limit(3)
                                                .toList());
                    }
                },
                () -> {
                    decides = Thread.currentThread();
                    roster.remembered(start.known(), wheel.now());
                    allot();
                    Moment begun = wheel.now();
                    look(begun);
                    wheel.scheduleAfter(TELL, this::told);
                });
        journal.start();
        port = callers.open(start.listen());
        log.line("settings", start.settings().toString());
        log.line(
                "start",
                start.name() + " listens at " + start.listen() + ", limits " + start.limits() + ", journal "
                        + start.journal() + " from " + start.position());
        return port;
    }

    /** Waits until the controller has ended in good order. */
    public void await() throws InterruptedException {
        done.await();
    }

    /**
     * What the list in force needs comes first, with room for a machine beside each one it replaces; callers who mean
     * it hold at most a third of all.
     */
    private void allot() {
        int reserved = NOT_FOR_CONNECTIONS + switches.requiredConnections();
        callers.setConnectionLimit(Math.max(start.sockets() / 3 + 1, start.sockets() - reserved));
    }

    private void look(Moment begun) {
        if (switches.allGroupStatesReported() || wheel.now().since(begun).longerThan(READY_AT_LAST)) {
            ready = true;
            log.line(
                    "ready",
                    "after " + wheel.now().since(begun).ns() / 1_000_000 + " ms, states of all groups: "
                            + switches.allGroupStatesReported());
        } else {
            wheel.scheduleAfter(Span.ofMillis(10), () -> look(begun));
        }
    }

    private void told() {
        log.line(
                "counts",
                desk.counters() + " open=" + desk.openCount() + " standing=" + desk.establishedCount() + " unheard="
                        + desk.unacknowledgedReleaseCount() + " lines=" + callers.connectionCount() + " switch-lines="
                        + switches.connectionCount()
                        + " threads=" + Thread.activeCount() + " waiting=" + loop.queueSize() + " drops="
                        + drops.counts());
        wheel.scheduleAfter(TELL, this::told);
    }

    /** SIGHUP: the file is read anew; only a whole good one counts, else the one in force stays. One at a time. */
    public synchronized void reload() {
        try {
            Configuration now = Configuration.read(file);
            if (!now.settings().equals(start.settings())) {
                log.line("reload", "other settings than at the start: they count from the next start on");
            }
            journal.moveTo(now.journal());
            log.line("reload", "journal " + now.journal() + " from " + journal.position());
        } catch (IOException | RuntimeException e) {
            log.line("reload", "refused, the one in force stays: " + file + ": " + e.getMessage());
        }
    }

    /** SIGTERM: goes on until all that is owed is answered and nothing more can come, then ends. */
    public void requestShutdown() {
        try {
            turn(() -> {
                if (!ends) {
                    ends = true;
                    log.line("term", "open=" + desk.openCount() + " standing=" + desk.establishedCount());
                    wheel.scheduleAfter(STILL_TAKEN, desk::refuseNewContacts);
                    wheel.scheduleAfter(LAST_FOR_SURE, this::ending);
                }
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void ending() {
        if (desk.openCount() > 0 || callers.hasUnreadInput()) {
            wheel.scheduleAfter(LOOK, this::ending);
            return;
        }
        Thread last = new Thread(
                null,
                () -> {
                    // While the deciding thread still answers: what comes until a connection is ended has an owner.
                    callers.closeGracefully(HANG_UP);
                    close();
                    done.countDown();
                },
                "last",
                128 * 1024);
        last.start();
    }

    @Override
    public void close() {
        // First: connections that end from here on are no news of callers who went away.
        loop.close();
        try {
            callers.close();
        } catch (IOException e) {
            log.line("close", e.getMessage());
        }
        journal.close();
        switches.close();
        if (peers != null) {
            peers.close();
        }
        log.line("end", desk.counters().toString());
    }

    /** Has something done by the deciding thread; waits for room, but never on that thread, which alone makes room. */
    void turn(Runnable what) throws InterruptedException {
        if (Thread.currentThread() == decides) {
            wheel.scheduleAfter(Span.ZERO, what);
            return;
        }
        loop.put(what, () -> drops.increment("waited for the deciding thread"));
    }

    private static ContactSettings terms(Map<String, String> settings) {
        int count = (int) number(settings, "classes.count", 0);
        String[] names = new String[count];
        Span longest = Span.ZERO;
        for (int i = 0; i < count; i++) {
            names[i] = settings.get("classes." + i + ".name");
            longest = longest.atLeast(span(settings, "classes." + i + ".hard-limit-ns", 9e9));
        }
        return new ContactSettings(
                List.of(names),
                (int) number(settings, "policy-limits.max-open", 20_000),
                longest,
                span(settings, "guarantees.answer-slack-ns", 20e6).plus(ON_SOCKETS));
    }

    /** They were looked through when the file was read. */
    private static double number(Map<String, String> settings, String name, double otherwise) {
        String text = settings.get(name);
        return text == null || text.isBlank() ? otherwise : Double.parseDouble(text);
    }

    private static Span span(Map<String, String> settings, String name, double otherwise) {
        return new Span((long) number(settings, name, otherwise));
    }

    private final CallerConnections.Listener fromCallers = new CallerConnections.Listener() {
        @Override
        public boolean setUpReceived(SetUpRequest asked) throws InterruptedException {
            Runnable take = () -> {
                if (asked.establishedSwitch() == null) {
                    desk.setUpReceived(asked);
                } else if (roster.number(asked.establishedSwitch()) == 0) {
                    desk.establishedAtUnknownSwitch(asked);
                } else {
                    desk.establishedElsewhere(asked, roster.number(asked.establishedSwitch()));
                }
            };
            if (asked.establishedSwitch() == null) {
                return loop.offer(take);
            }
            // It expects no answer that could refuse it, and nobody else would ever release it.
            turn(take);
            return true;
        }

        @Override
        public void requestReceived(long line, Request request) throws InterruptedException {
            turn(() -> {
                switch (request.method()) {
                    case "CANCEL" -> desk.cancelReceived(line, request);
                    case "BYE" -> desk.byeReceived(line, request);
                    default -> desk.ackReceived(request.callId());
                }
            });
        }

        @Override
        public void releaseAcknowledged(String tag) throws InterruptedException {
            turn(() -> desk.releaseAcknowledged(tag));
        }

        @Override
        public void connectionEnded(long line) throws InterruptedException {
            turn(() -> desk.callerConnectionEnded(line));
        }

        @Override
        public boolean isReady() {
            return ready;
        }
    };

    private final SwitchConnections.Listener fromSwitches = new SwitchConnections.Listener() {
        @Override
        public void started(long target, long connection, String tag, String description) {
            desk.started(target, connection, tag, description);
        }

        @Override
        public void ended(long target, long connection, String tag, int cause, String note, float[] report) {
            desk.ended(target, connection, tag, cause, note, report);
        }

        @Override
        public void loadReported(long target, float[] report) {
            desk.loadReported(target, report);
        }

        @Override
        public void connectionEnded(long target, long connection, boolean everUp) {
            desk.switchConnectionEnded(target, connection, everUp);
        }

        @Override
        public void processEnded(long target) {
            desk.switchProcessEnded(target, null);
        }

        @Override
        public boolean hasEstablishedAt(long target) {
            return desk.hasEstablishedAt(target);
        }

        @Override
        public void log(String line) {
            log.line("line-over", line);
        }
    };

    private final Journal.Listener fromJournal = new Journal.Listener() {
        @Override
        public void eventReceived(SwitchListEvent event) throws InterruptedException {
            turn(() -> {
                roster.take(event, wheel.now());
                allot();
            });
        }

        @Override
        public void connectionLost(String why) {
            drops.increment("journal", why);
        }
    };

    private final OutboundMessages outward = new OutboundMessages() {
        @Override
        public boolean sendToCaller(long line, byte[] message) {
            return callers.send(line, message);
        }

        @Override
        public long anyConnection(long but) {
            return callers.mostRecentConnection(but);
        }

        @Override
        public void contactAnswered(long line, String tag) {
            callers.contactAnswered(line, tag);
        }

        @Override
        public void disconnect(long line, String why) {
            callers.disconnect(line, why);
        }

        @Override
        public QueuedMessage sendStart(long target, SwitchStartRequest asked, Runnable unsent) {
            return switches.sendStart(target, asked, unsent);
        }

        @Override
        public void sendFinish(long target, long connection, String tag, int cause, Runnable written) {
            switches.sendFinish(target, connection, tag, cause, written);
        }

        @Override
        public void sendFinished(long target, long connection, String tag) {
            switches.sendFinished(target, connection, tag);
        }

        @Override
        public void sendNote(int peer, byte[] note) {
            if (peers != null) {
                peers.send(peer, note);
            }
        }

        @Override
        public void log(String kind, String line) {
            log.line(kind, line);
        }
    };

    /** What the platform names in the environment; the address in the file is the one that counts. */
    public static Path configurationFile() throws IOException {
        String file = System.getenv("ROUTER_CONFIG");
        if (file == null || file.isBlank()) {
            throw new IOException("ROUTER_CONFIG is not set");
        }
        return Path.of(file);
    }

    /** For checks; the deciding thread's. */
    int openSetUps() {
        return desk.openCount();
    }

    /** For checks; the deciding thread's. */
    boolean groupsTold() {
        return switches.allGroupStatesReported();
    }

    /** Of the last event of the list that was taken. */
    long position() {
        return journal.position();
    }

    InetSocketAddress listens() {
        return new InetSocketAddress(start.listen().getAddress(), port);
    }
}
