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
    private static final int INBOX_CAPACITY = 4096;
    private static final Span MAX_READY_DELAY = Span.ofMillis(1500);
    /**
     * After SIGTERM callers' set-ups come for 0.6 s, and may wait unread where the core is busy; contacts in transit
     * come as long as the process runs. Nothing is won by an early end: the kill comes 3.7 s after SIGTERM at the
     * soonest. What comes later than the first of these is refused.
     */
    private static final Span ACCEPT_AFTER_SIGTERM = Span.ofMillis(1800);

    private static final Span MIN_SHUTDOWN_DELAY = Span.ofMillis(2000);
    /** Half of what the platform adds to every time limit on sockets. */
    private static final Span SOCKET_SLACK = Span.ofMillis(25);

    private static final Span SHUTDOWN_POLL_INTERVAL = Span.ofMillis(50);
    /** Well under the kill, which comes 1.7 s after the end begins at the soonest. */
    private static final Span CONNECTION_CLOSE_TIMEOUT = Span.ofMillis(600);

    private static final Span COUNTS_LOG_INTERVAL = Span.ofMillis(5000);
    /** Descriptors of files and the JVM, the journal's two feeds, the listener and the peers' socket. */
    private static final int RESERVED_DESCRIPTORS = 28;
    /** A bound of threads for callers' connections. */
    private static final int MAX_CALLER_CONNECTIONS = 500;

    private final Path file;
    private final RateLimitedLog log;
    private final DropCounter drops = new DropCounter();
    private final ConnectionThreadPool connectionThreads = new ConnectionThreadPool("desk", 16);
    private final EventLoop loop = new EventLoop("desk", INBOX_CAPACITY);
    private final TimerWheel wheel = loop.timerWheel();
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final ContactTable contactTable;
    private final CallerConnections callerConnections;
    private final SwitchConnections switchConnections;
    private final SwitchRegistry switchRegistry;
    private final Journal journal;
    private final PeerNoteTransport peerTransport;
    private final Configuration configuration;
    private volatile Thread decisionThread;
    private volatile boolean isReady;
    private boolean isShuttingDown;
    private int port;

    /** The log goes to {@code out}; an exception names the path in the file and the reason. */
    public ControllerService(Path file, ControllerFactory controllerFactory, PrintStream logStream) throws IOException {
        this(file, controllerFactory, logStream, Socket::new);
    }

    /** {@code sockets} makes those toward switches, not yet connected. */
    ControllerService(
            Path file, ControllerFactory controllerFactory, PrintStream logStream, Supplier<Socket> socketFactory)
            throws IOException {
        this.file = file;
        log = new RateLimitedLog(logStream);
        configuration = Configuration.read(file);
        Map<String, String> settings = configuration.settings();
        ContactSettings contactSettings = contactSettings(settings);
        TransportLimits callerLimits = new TransportLimits(
                MAX_CALLER_CONNECTIONS,
                Span.ofMillis(2000),
                Span.ofMillis(20_000),
                Span.ofMillis(1500),
                256 * 1024,
                Span.ofMillis(3000),
                Span.ofMillis(500));
        callerConnections =
                new CallerConnections(contactSettings, callerLimits, connectionThreads, drops, callerListener);
        Span connectTimeout = spanSetting(settings, "policy-limits.connect-timeout-ns", 500e6);
        Span idleTimeout = spanSetting(settings, "policy-limits.conn-idle-ns", 600e9);
        TransportLimits switchLimits = new TransportLimits(
                256,
                idleTimeout.times(2),
                idleTimeout.times(2),
                Span.ofMillis(400),
                256 * 1024,
                Span.ofMillis(3000),
                connectTimeout);
        switchConnections = new SwitchConnections(
                switchLimits,
                socketFactory,
                connectionThreads,
                wheel,
                new LoadReportParser(
                        Arrays.asList(settings.getOrDefault("report.fields", "").split(","))),
                drops,
                this::runOnDecisionThread,
                switchListener);
        contactTable = new ContactTable(wheel, contactSettings, outboundMessages);
        switchRegistry = new SwitchRegistry(
                contactTable,
                switchConnections,
                settings.getOrDefault("zones", ""),
                wheel.now(),
                System.currentTimeMillis(),
                log);
        journal = new Journal(configuration.journalAddress(), configuration.initialPosition(), journalListener);
        boolean usesPeerNotes =
                "true".equals(settings.get("policy-limits.peers")) && configuration.peerListenAddress() != null;
        int ownPeerIndex = (int) numberSetting(settings, "me", -1);
        peerTransport = usesPeerNotes
                ? new PeerNoteTransport(
                        configuration.peerListenAddress(),
                        configuration.peerAddresses(),
                        configuration.allPeersAddress(),
                        ownPeerIndex,
                        drops,
                        (peer, note) -> loop.offer((Runnable) () -> contactTable.notifyController(
                                controller -> controller.peerNoteReceived(wheel.now(), peer, note))))
                : null;
        contactTable.setController(
                controllerFactory.create(settings, configuration.seed(), wheel.now(), contactTable));
    }

    /** Begins to serve; the port that is listened on is returned. */
    public int startServing() throws IOException {
        loop.start(
                new EventLoop.Handler() {
                    @Override
                    public void handle(Object next) {
                        log.write("fault", "unknown piece of work " + next);
                    }

                    @Override
                    public void afterTurn() {
                        // Messages go out as they are queued; nothing is left for the end of a turn.
                    }

                    @Override
                    public void onFailure(Throwable fault) {
                        log.write(
                                "fault",
                                fault + " at "
                                        + Arrays.stream(fault.getStackTrace())
                                                .limit(3)
                                                .toList());
                    }
                },
                () -> {
                    decisionThread = Thread.currentThread();
                    switchRegistry.applyInitialEvents(configuration.initialEvents(), wheel.now());
                    updateCallerConnectionLimit();
                    Moment serviceStart = wheel.now();
                    checkReady(serviceStart);
                    wheel.scheduleAfter(COUNTS_LOG_INTERVAL, this::logCounts);
                });
        journal.start();
        port = callerConnections.open(configuration.listenAddress());
        log.write("settings", configuration.settings().toString());
        log.write(
                "start",
                configuration.name() + " listens at " + configuration.listenAddress() + ", limits "
                        + configuration.limitsText() + ", journal " + configuration.journalAddress() + " from "
                        + configuration.initialPosition());
        return port;
    }

    /** Waits until the controller has ended in good order. */
    public void await() throws InterruptedException {
        terminated.await();
    }

    /**
     * What the list in force needs comes first, with room for a machine beside each one it replaces; callers who mean
     * it hold at most a third of all.
     */
    private void updateCallerConnectionLimit() {
        int reservedDescriptors = RESERVED_DESCRIPTORS + switchConnections.requiredConnections();
        callerConnections.setConnectionLimit(
                Math.max(configuration.maxSockets() / 3 + 1, configuration.maxSockets() - reservedDescriptors));
    }

    private void checkReady(Moment serviceStart) {
        if (switchConnections.allGroupStatesReported()
                || wheel.now().since(serviceStart).longerThan(MAX_READY_DELAY)) {
            isReady = true;
            log.write(
                    "ready",
                    "after " + wheel.now().since(serviceStart).ns() / 1_000_000 + " ms, states of all groups: "
                            + switchConnections.allGroupStatesReported());
        } else {
            wheel.scheduleAfter(Span.ofMillis(10), () -> checkReady(serviceStart));
        }
    }

    private void logCounts() {
        log.write(
                "counts",
                contactTable.counters() + " open=" + contactTable.openCount() + " standing="
                        + contactTable.establishedCount() + " unheard="
                        + contactTable.unacknowledgedReleaseCount() + " lines=" + callerConnections.connectionCount()
                        + " switch-lines="
                        + switchConnections.connectionCount()
                        + " threads=" + Thread.activeCount() + " waiting=" + loop.queueSize() + " drops="
                        + drops.counts());
        wheel.scheduleAfter(COUNTS_LOG_INTERVAL, this::logCounts);
    }

    /** SIGHUP: the file is read anew; only a whole good one counts, else the one in force stays. One at a time. */
    public synchronized void reload() {
        try {
            Configuration reloaded = Configuration.read(file);
            if (!reloaded.settings().equals(configuration.settings())) {
                log.write("reload", "other settings than at the start: they count from the next start on");
            }
            journal.moveTo(reloaded.journalAddress());
            log.write("reload", "journal " + reloaded.journalAddress() + " from " + journal.position());
        } catch (IOException | RuntimeException e) {
            log.write("reload", "refused, the one in force stays: " + file + ": " + e.getMessage());
        }
    }

    /** SIGTERM: goes on until all that is owed is answered and nothing more can come, then ends. */
    public void requestShutdown() {
        try {
            runOnDecisionThread(() -> {
                if (!isShuttingDown) {
                    isShuttingDown = true;
                    log.write(
                            "term",
                            "open=" + contactTable.openCount() + " standing=" + contactTable.establishedCount());
                    wheel.scheduleAfter(ACCEPT_AFTER_SIGTERM, contactTable::refuseNewContacts);
                    wheel.scheduleAfter(MIN_SHUTDOWN_DELAY, this::shutDownWhenIdle);
                }
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void shutDownWhenIdle() {
        if (contactTable.openCount() > 0 || callerConnections.hasUnreadInput()) {
            wheel.scheduleAfter(SHUTDOWN_POLL_INTERVAL, this::shutDownWhenIdle);
            return;
        }
        Thread shutdownThread = new Thread(
                null,
                () -> {
                    // While the deciding thread still answers: what comes until a connection is ended has an owner.
                    callerConnections.closeGracefully(CONNECTION_CLOSE_TIMEOUT);
                    close();
                    terminated.countDown();
                },
                "last",
                128 * 1024);
        shutdownThread.start();
    }

    @Override
    public void close() {
        // First: connections that end from here on are no news of callers who went away.
        loop.close();
        try {
            callerConnections.close();
        } catch (IOException e) {
            log.write("close", e.getMessage());
        }
        journal.close();
        switchConnections.close();
        if (peerTransport != null) {
            peerTransport.close();
        }
        log.write("end", contactTable.counters().toString());
    }

    /** Has something done by the deciding thread; waits for room, but never on that thread, which alone makes room. */
    void runOnDecisionThread(Runnable task) throws InterruptedException {
        if (Thread.currentThread() == decisionThread) {
            wheel.scheduleAfter(Span.ZERO, task);
            return;
        }
        loop.put(task, () -> drops.increment("waited for the deciding thread"));
    }

    private static ContactSettings contactSettings(Map<String, String> settings) {
        int skillCount = (int) numberSetting(settings, "classes.count", 0);
        String[] skillNames = new String[skillCount];
        Span maxPatience = Span.ZERO;
        for (int i = 0; i < skillCount; i++) {
            skillNames[i] = settings.get("classes." + i + ".name");
            maxPatience = maxPatience.atLeast(spanSetting(settings, "classes." + i + ".hard-limit-ns", 9e9));
        }
        return new ContactSettings(
                List.of(skillNames),
                (int) numberSetting(settings, "policy-limits.max-open", 20_000),
                maxPatience,
                spanSetting(settings, "guarantees.answer-slack-ns", 20e6).plus(SOCKET_SLACK));
    }

    /** They were looked through when the file was read. */
    private static double numberSetting(Map<String, String> settings, String name, double defaultValue) {
        String text = settings.get(name);
        return text == null || text.isBlank() ? defaultValue : Double.parseDouble(text);
    }

    private static Span spanSetting(Map<String, String> settings, String name, double defaultValue) {
        return new Span((long) numberSetting(settings, name, defaultValue));
    }

    private final CallerConnections.Listener callerListener = new CallerConnections.Listener() {
        @Override
        public boolean setUpReceived(SetUpRequest asked) throws InterruptedException {
            Runnable take = () -> {
                if (asked.establishedSwitch() == null) {
                    contactTable.setUpReceived(asked);
                } else if (switchRegistry.switchId(asked.establishedSwitch()) == 0) {
                    contactTable.establishedContactReportedAtUnknownSwitch(asked);
                } else {
                    contactTable.establishedContactReported(asked, switchRegistry.switchId(asked.establishedSwitch()));
                }
            };
            if (asked.establishedSwitch() == null) {
                return loop.offer(take);
            }
            // It expects no answer that could refuse it, and nobody else would ever release it.
            runOnDecisionThread(take);
            return true;
        }

        @Override
        public void requestReceived(long line, Request request) throws InterruptedException {
            runOnDecisionThread(() -> {
                switch (request.method()) {
                    case "CANCEL" -> contactTable.cancelReceived(line, request);
                    case "BYE" -> contactTable.byeReceived(line, request);
                    default -> contactTable.ackReceived(request.callId());
                }
            });
        }

        @Override
        public void releaseAcknowledged(String tag) throws InterruptedException {
            runOnDecisionThread(() -> contactTable.releaseAcknowledged(tag));
        }

        @Override
        public void connectionEnded(long line) throws InterruptedException {
            runOnDecisionThread(() -> contactTable.callerConnectionEnded(line));
        }

        @Override
        public boolean isReady() {
            return isReady;
        }
    };

    private final SwitchConnections.Listener switchListener = new SwitchConnections.Listener() {
        @Override
        public void started(long target, long connection, String tag, String description) {
            contactTable.started(target, connection, tag, description);
        }

        @Override
        public void ended(long target, long connection, String tag, int cause, String note, float[] report) {
            contactTable.ended(target, connection, tag, cause, note, report);
        }

        @Override
        public void loadReported(long target, float[] report) {
            contactTable.loadReported(target, report);
        }

        @Override
        public void connectionEnded(long target, long connection, boolean everUp) {
            contactTable.switchConnectionEnded(target, connection, everUp);
        }

        @Override
        public void processEnded(long target) {
            contactTable.switchProcessEnded(target, null);
        }

        @Override
        public boolean hasEstablishedAt(long target) {
            return contactTable.hasEstablishedContactsAt(target);
        }

        @Override
        public void log(String line) {
            log.write("line-over", line);
        }
    };

    private final Journal.Listener journalListener = new Journal.Listener() {
        @Override
        public void eventReceived(SwitchListEvent event) throws InterruptedException {
            runOnDecisionThread(() -> {
                switchRegistry.applyEvent(event, wheel.now());
                updateCallerConnectionLimit();
            });
        }

        @Override
        public void connectionLost(String why) {
            drops.increment("journal", why);
        }
    };

    private final OutboundMessages outboundMessages = new OutboundMessages() {
        @Override
        public boolean sendToCaller(long line, byte[] message) {
            return callerConnections.send(line, message);
        }

        @Override
        public long otherCallerConnection(long but) {
            return callerConnections.mostRecentConnection(but);
        }

        @Override
        public void contactAnswered(long line, String tag) {
            callerConnections.contactAnswered(line, tag);
        }

        @Override
        public void disconnect(long line, String why) {
            callerConnections.disconnect(line, why);
        }

        @Override
        public QueuedMessage sendStart(long target, SwitchStartRequest asked, Runnable unsent) {
            return switchConnections.sendStart(target, asked, unsent);
        }

        @Override
        public void sendFinish(long target, long connection, String tag, int cause, Runnable written) {
            switchConnections.sendFinish(target, connection, tag, cause, written);
        }

        @Override
        public void sendFinished(long target, long connection, String tag) {
            switchConnections.sendFinished(target, connection, tag);
        }

        @Override
        public void sendNote(int peer, byte[] note) {
            if (peerTransport != null) {
                peerTransport.send(peer, note);
            }
        }

        @Override
        public void log(String kind, String line) {
            log.write(kind, line);
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
    int openContactCount() {
        return contactTable.openCount();
    }

    /** For checks; the deciding thread's. */
    boolean allGroupStatesReported() {
        return switchConnections.allGroupStatesReported();
    }

    /** Of the last event of the list that was taken. */
    long journalPosition() {
        return journal.position();
    }

    InetSocketAddress listenAddress() {
        return new InetSocketAddress(configuration.listenAddress().getAddress(), port);
    }
}
