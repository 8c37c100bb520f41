package martenslip.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
import martenslip.platform.contact.RequestMemory;
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
import martenslip.sip.transport.ReadBudget;
import martenslip.sip.transport.TransportLimits;
import martenslip.sip.transport.UnsentBudget;

/**
 * Runs one controller on the platform: connects callers, switches, the journal and the peers to one decision thread.
 */
public final class ControllerService implements AutoCloseable {
    private static final int INBOX_CAPACITY = 4096;
    /** The controller is ready after this time even if some switches have not reported their group states. */
    private static final Span MAX_READY_DELAY = Span.ofMillis(1500);
    /** Half of the slack that the platform adds to every time limit on sockets. */
    private static final Span SOCKET_SLACK = Span.ofMillis(25);

    private static final Span SHUTDOWN_POLL_INTERVAL = Span.ofMillis(50);
    private static final Span COUNTS_LOG_INTERVAL = Span.ofMillis(5000);
    /** Descriptors of files and the JVM, two journal connections of two requests, the listener and the peers' socket. */
    private static final int RESERVED_DESCRIPTORS = 30;
    /** Limits the threads and buffers for callers' connections; over a third of any process's descriptors here. */
    private static final int MAX_CALLER_CONNECTIONS = 1400;

    private static final Span CALLER_FIRST_MESSAGE_TIMEOUT = Span.ofMillis(2000);
    private static final Span CALLER_IDLE_TIMEOUT = Span.ofMillis(20_000);
    private static final Span CALLER_MESSAGE_TIMEOUT = Span.ofMillis(1500);
    private static final Span CALLER_CONNECT_TIMEOUT = Span.ofMillis(500);
    private static final int MAX_SWITCH_CONNECTIONS = 256;
    private static final Span SWITCH_MESSAGE_TIMEOUT = Span.ofMillis(400);
    private static final int MAX_UNSENT_BYTES = 256 * 1024;
    private static final long MAX_UNSENT_BYTES_TO_ALL_CALLERS = 4L << 20;
    /** Two messages of the greatest size. */
    private static final int FAIR_UNSENT_BYTES = 32 * 1024;
    /** Callers' messages over the size of an initial buffer: while they are read, and while they are handed on. */
    private static final int MAX_LARGE_BUFFER_BYTES = 6 << 20;

    private static final int MAX_HAND_OVER_BYTES = 2 << 20;
    private static final int MAX_READ_AHEAD_BYTES = 2 << 20;
    /** What waits for a switch is bounded by the memory of open contacts; a sound connection must not end by a burst. */
    private static final int MAX_UNSENT_BYTES_TO_SWITCH = 1 << 20;

    /** A set-up that finds no room in the inbox for this long is refused. */
    private static final Span MAX_ADMISSION_WAIT = Span.ofMillis(500);

    private static final Span WRITE_STALL_TIMEOUT = Span.ofMillis(3000);
    private static final Span READY_POLL_INTERVAL = Span.ofMillis(10);
    private static final int SHUTDOWN_THREAD_STACK_BYTES = 128 * 1024;

    private final Path file;
    private final RateLimitedLog log;
    private final DropCounter drops = new DropCounter();
    private final ConnectionThreadPool connectionThreads = new ConnectionThreadPool("desk", 16);
    private final EventLoop loop = new EventLoop("desk", INBOX_CAPACITY);
    private final TimerWheel wheel = loop.timerWheel();
    private final CallerInbox callerInbox =
            new CallerInbox(this::executeOnDecisionThread, this::runLaterOnDecisionThread);
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final ContactTable contactTable;
    private final CallerConnections callerConnections;
    private final SwitchConnections switchConnections;
    private final SwitchRegistry switchRegistry;
    private final Journal journal;
    private final PeerNoteTransport peerTransport;
    private final Configuration configuration;
    private final ShutdownSchedule shutdownSchedule;
    private volatile Thread decisionThread;
    private volatile boolean isReady;
    private boolean isShuttingDown;
    private int port;

    /**
     * Reads the configuration and creates the controller, which does not serve yet.
     *
     * @param file the configuration file
     * @param controllerFactory creates the routing module
     * @param logStream receives the operators' log
     * @throws IOException where the file is not usable, with the path in the file and the reason
     */
    public ControllerService(Path file, ControllerFactory controllerFactory, PrintStream logStream) throws IOException {
        this(file, controllerFactory, logStream, Socket::new);
    }

    /** {@code socketFactory} creates the sockets to switches, not yet connected. */
    ControllerService(
            Path file, ControllerFactory controllerFactory, PrintStream logStream, Supplier<Socket> socketFactory)
            throws IOException {
        this.file = file;
        log = new RateLimitedLog(logStream);
        configuration = Configuration.read(file);
        Map<String, String> settings = configuration.settings();
        ContactSettings contactSettings = contactSettings(settings);
        shutdownSchedule = ShutdownSchedule.forLongestDeadline(contactSettings.maxPatience());
        TransportLimits callerLimits = new TransportLimits(
                MAX_CALLER_CONNECTIONS,
                CALLER_FIRST_MESSAGE_TIMEOUT,
                CALLER_IDLE_TIMEOUT,
                CALLER_MESSAGE_TIMEOUT,
                MAX_UNSENT_BYTES,
                WRITE_STALL_TIMEOUT,
                CALLER_CONNECT_TIMEOUT,
                new UnsentBudget(MAX_UNSENT_BYTES_TO_ALL_CALLERS, FAIR_UNSENT_BYTES),
                new ReadBudget(MAX_LARGE_BUFFER_BYTES, MAX_HAND_OVER_BYTES, MAX_READ_AHEAD_BYTES));
        callerConnections =
                new CallerConnections(contactSettings, callerLimits, connectionThreads, drops, callerListener);
        Span connectTimeout = spanSetting(settings, "policy-limits.connect-timeout-ns", 500e6);
        Span idleTimeout = spanSetting(settings, "policy-limits.conn-idle-ns", 600e9);
        TransportLimits switchLimits = new TransportLimits(
                MAX_SWITCH_CONNECTIONS,
                idleTimeout.times(2),
                idleTimeout.times(2),
                SWITCH_MESSAGE_TIMEOUT,
                MAX_UNSENT_BYTES_TO_SWITCH,
                WRITE_STALL_TIMEOUT,
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
                UnixClockOffset.measure(System::currentTimeMillis, System::nanoTime),
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
        contactTable.setController(controllerFactory.create(settings, configuration.seed(), wheel.now(), contactTable));
    }

    /** Begins to serve and returns the port that callers connect to. */
    public int startServing() throws IOException {
        loop.start(
                new EventLoop.Handler() {
                    @Override
                    public void handle(Object next) {
                        log.write("fault", "unknown item in the inbox: " + next);
                    }

                    @Override
                    public void afterTurn() {
                        // Messages are sent as they are queued; nothing is left for the end of a turn.
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

    /** Waits until the controller has shut down in good order. */
    public void await() throws InterruptedException {
        terminated.await();
    }

    /**
     * Shares the sockets out: the connections to the listed switches come first, with room for a replacement beside
     * each of them. What is left is for callers, and at least a third of all sockets, as well-behaved callers never
     * hold more than a third.
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
            wheel.scheduleAfter(READY_POLL_INTERVAL, () -> checkReady(serviceStart));
        }
    }

    private void logCounts() {
        log.write(
                "counts",
                contactTable.counters() + " open=" + contactTable.openCount() + " standing="
                        + contactTable.establishedCount() + " no-ack="
                        + contactTable.unacknowledgedCount() + " unheard="
                        + contactTable.unacknowledgedReleaseCount() + " unclaimed-ends="
                        + contactTable.unclaimedEndCount() + " unconfirmed="
                        + contactTable.countUnconfirmed(switchConnections::oldestConnectionNumber) + " lines="
                        + callerConnections.connectionCount()
                        + " switch-lines="
                        + switchConnections.connectionCount()
                        + " threads=" + Thread.activeCount() + " waiting=" + loop.queueSize() + " callers-waiting="
                        + callerInbox.size() + " waiting-kb=" + callerInbox.usedBytes() / 1024 + " waits="
                        + callerInbox.takeWaitsText() + " start-waits=" + switchConnections.takeStartWaitsText()
                        + " set-up-times=" + contactTable.takeSetUpTimesText()
                        + " open-kb=" + contactTable.openBytes() / 1024 + " drops="
                        + drops.counts());
        wheel.scheduleAfter(COUNTS_LOG_INTERVAL, this::logCounts);
    }

    /**
     * Handles SIGHUP: reads the file again and moves to the journal it names. A file that is not usable as a whole
     * changes nothing. Reloads run one at a time.
     */
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

    /** Handles SIGTERM: serves until every open contact is answered and no new one can come, then shuts down. */
    public void requestShutdown() {
        try {
            runOnDecisionThread(() -> {
                if (!isShuttingDown) {
                    isShuttingDown = true;
                    log.write(
                            "term",
                            "open=" + contactTable.openCount() + " standing=" + contactTable.establishedCount());
                    Moment sigtermAt = wheel.now();
                    wheel.scheduleAfter(shutdownSchedule.refuseAfter(), contactTable::refuseNewContacts);
                    wheel.scheduleAfter(shutdownSchedule.firstIdleCheckAfter(), () -> shutDownWhenIdle(sigtermAt));
                }
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void shutDownWhenIdle(Moment sigtermAt) {
        boolean isLastMoment =
                !shutdownSchedule.answerAllAfter().longerThan(wheel.now().since(sigtermAt));
        if (!isLastMoment && (contactTable.openCount() > 0 || callerConnections.hasPendingWork())) {
            wheel.scheduleAfter(SHUTDOWN_POLL_INTERVAL, () -> shutDownWhenIdle(sigtermAt));
            return;
        }
        contactTable.refuseNewContacts();
        contactTable.answerOpenContacts();
        Span closeTimeout = shutdownSchedule.closeTimeout(wheel.now().since(sigtermAt));
        Thread shutdownThread = new Thread(
                null,
                () -> {
                    // The decision thread still runs here, so what arrives until a connection is closed is still
                    // handled.
                    callerConnections.closeGracefully(closeTimeout);
                    close();
                    terminated.countDown();
                },
                "last",
                SHUTDOWN_THREAD_STACK_BYTES);
        shutdownThread.start();
    }

    @Override
    public void close() {
        // Must be first: connections closed from here on must not be reported as callers that have gone.
        loop.close();
        callerInbox.close();
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

    /**
     * Runs a task on the decision thread. Waits for room in its inbox, but never on the decision thread itself, as only
     * that thread makes room.
     */
    void runOnDecisionThread(Runnable task) throws InterruptedException {
        if (Thread.currentThread() == decisionThread) {
            wheel.scheduleAfter(Span.ZERO, task);
            return;
        }
        loop.put(task, () -> drops.increment("waited for the deciding thread"));
    }

    /** Runs a task on the decision thread as {@link #runOnDecisionThread}, but waits through an interrupt. */
    private void executeOnDecisionThread(Runnable task) {
        boolean wasInterrupted = false;
        while (true) {
            try {
                runOnDecisionThread(task);
                break;
            } catch (InterruptedException e) {
                wasInterrupted = true;
            }
        }
        if (wasInterrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs a task behind what the inbox of the decision thread holds; called on that thread. */
    private void runLaterOnDecisionThread(Runnable task) {
        if (!loop.offer(task)) {
            wheel.scheduleAfter(Span.ZERO, task);
        }
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

    /** The settings were validated when the file was read. */
    private static double numberSetting(Map<String, String> settings, String name, double defaultValue) {
        String text = settings.get(name);
        return text == null || text.isBlank() ? defaultValue : Double.parseDouble(text);
    }

    private static Span spanSetting(Map<String, String> settings, String name, double defaultValue) {
        return new Span((long) numberSetting(settings, name, defaultValue));
    }

    private final CallerConnections.Listener callerListener = new CallerConnections.Listener() {
        @Override
        public boolean setUpReceived(SetUpRequest request) throws InterruptedException {
            long bytes = RequestMemory.of(request.invite());
            if (request.establishedSwitch() == null) {
                return callerInbox.tryAdd(
                        request.connectionId(), bytes, MAX_ADMISSION_WAIT, () -> contactTable.setUpReceived(request));
            }
            // A contact that is already established expects no answer, so it cannot be refused, and nobody else would
            // ever release it.
            callerInbox.add(request.connectionId(), bytes, () -> nameContact(request));
            return true;
        }

        private void nameContact(SetUpRequest request) {
            long switchId = switchRegistry.switchId(request.establishedSwitch());
            if (switchId == 0) {
                contactTable.establishedContactReportedAtUnknownSwitch(request);
            } else {
                contactTable.establishedContactReported(request, switchId);
            }
        }

        @Override
        public void requestReceived(long connectionId, Request request) throws InterruptedException {
            callerInbox.add(connectionId, RequestMemory.of(request), () -> {
                switch (request.method()) {
                    case "CANCEL" -> contactTable.cancelReceived(connectionId, request);
                    case "BYE" -> contactTable.byeReceived(connectionId, request);
                    default -> contactTable.ackReceived(request.callId());
                }
            });
        }

        @Override
        public void releaseAnswered(long connectionId, String tag, boolean knowsContact) throws InterruptedException {
            callerInbox.add(connectionId, 0, () -> contactTable.releaseAnswered(connectionId, tag, knowsContact));
        }

        @Override
        public void connectionEnded(long connectionId) throws InterruptedException {
            Runnable task = () -> contactTable.callerConnectionEnded(connectionId);
            if (Thread.currentThread() == decisionThread) {
                callerInbox.addWithoutWaiting(connectionId, task);
            } else {
                callerInbox.add(connectionId, 0, task);
            }
        }

        @Override
        public boolean isReady() {
            return isReady;
        }
    };

    private final SwitchConnections.Listener switchListener = new SwitchConnections.Listener() {
        @Override
        public void started(long switchId, long connectionNumber, String tag, String description) {
            contactTable.started(switchId, connectionNumber, tag, description);
        }

        @Override
        public void ended(
                long switchId, long switchConnectionId, String tag, int q850Cause, String note, float[] report) {
            contactTable.ended(switchId, switchConnectionId, tag, q850Cause, note, report);
        }

        @Override
        public void releasedOnEndedConnection(long switchId, long switchConnectionId, String tag, int q850Cause) {
            contactTable.releasedOnEndedConnection(switchId, switchConnectionId, tag, q850Cause);
        }

        @Override
        public void answeredOnEndedConnection(long switchId, long switchConnectionId, String tag) {
            contactTable.answeredOnEndedConnection(switchId, switchConnectionId, tag);
        }

        @Override
        public void loadReported(long switchId, float[] report) {
            contactTable.loadReported(switchId, report);
        }

        @Override
        public void connectionEnded(long switchId, long switchConnectionId, boolean everUp) {
            contactTable.switchConnectionEnded(switchId, switchConnectionId, everUp);
        }

        @Override
        public void processEnded(long switchId) {
            contactTable.switchProcessEnded(switchId);
        }

        @Override
        public void processReplaced(long switchId, long newSwitchId, long firstConnectionNumber) {
            contactTable.switchProcessReplaced(switchId, newSwitchId, firstConnectionNumber);
        }

        @Override
        public boolean hasEstablishedContactsAt(long switchId) {
            return contactTable.hasEstablishedContactsAt(switchId);
        }

        @Override
        public void log(String message) {
            log.write("line-over", message);
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
        public void connectionLost(String reason) {
            drops.increment("journal", reason);
        }
    };

    private final OutboundMessages outboundMessages = new OutboundMessages() {
        @Override
        public boolean sendToCaller(long connectionId, byte[] message) {
            return callerConnections.send(connectionId, message);
        }

        @Override
        public long otherCallerConnection(Set<Long> excludedConnectionIds) {
            return callerConnections.otherConnection(excludedConnectionIds);
        }

        @Override
        public boolean sendAnswer(long connectionId, String tag, byte[] message) {
            return callerConnections.sendAnswer(connectionId, tag, message);
        }

        @Override
        public void sendRefusal(long connectionId, String tag, byte[] message) {
            callerConnections.sendRefusal(connectionId, tag, message);
        }

        @Override
        public void setUpEnded(long connectionId, String tag) {
            callerConnections.setUpEnded(connectionId, tag);
        }

        @Override
        public void disconnect(long connectionId, String reason) {
            callerConnections.disconnect(connectionId, reason);
        }

        @Override
        public QueuedMessage sendStart(long switchId, SwitchStartRequest request, Runnable unsent) {
            return switchConnections.sendStart(switchId, request, unsent);
        }

        @Override
        public void sendFinish(long switchId, long switchConnectionId, String tag, int q850Cause, Runnable written) {
            switchConnections.sendFinish(switchId, switchConnectionId, tag, q850Cause, written);
        }

        @Override
        public void sendFinished(long switchId, long switchConnectionId, String tag) {
            switchConnections.sendFinished(switchId, switchConnectionId, tag);
        }

        @Override
        public void sendNote(int peer, byte[] note) {
            if (peerTransport != null) {
                peerTransport.send(peer, note);
            }
        }

        @Override
        public void log(String kind, String message) {
            log.write(kind, message);
        }
    };

    /**
     * Returns the path of the configuration file, which the platform gives in {@code ROUTER_CONFIG}. The listen address
     * in the file counts, not one from the environment.
     */
    public static Path configurationFile() throws IOException {
        String file = System.getenv("ROUTER_CONFIG");
        if (file == null || file.isBlank()) {
            throw new IOException("ROUTER_CONFIG is not set");
        }
        return Path.of(file);
    }

    /** For tests, on the decision thread: the number of contacts without a final answer. */
    int openContactCount() {
        return contactTable.openCount();
    }

    /** For tests, on the decision thread: the number of ends whose contacts no caller has named. */
    int unclaimedEndCount() {
        return contactTable.unclaimedEndCount();
    }

    /** For tests, on the decision thread: whether every listed switch has reported the state of its group. */
    boolean allGroupStatesReported() {
        return switchConnections.allGroupStatesReported();
    }

    /** The position of the last journal event that was received. */
    long journalPosition() {
        return journal.position();
    }

    /** The address and the actual port that callers connect to. */
    InetSocketAddress listenAddress() {
        return new InetSocketAddress(configuration.listenAddress().getAddress(), port);
    }
}
