package martenslip.platform.switchconnection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import martenslip.liveness.ConnectionMonitor;
import martenslip.liveness.LivenessMonitor;
import martenslip.platform.contact.SwitchStartRequest;
import martenslip.sip.transport.Connection;
import martenslip.sip.transport.ConnectionThreadPool;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.LatencyHistogram;
import martenslip.sip.transport.OutgoingMessage;
import martenslip.sip.transport.QueuedMessage;
import martenslip.sip.transport.RevocableMessage;
import martenslip.sip.transport.TransportLimits;

/**
 * Connections to the switches: several to each switch, so that a broken one affects only a part of its contacts. They
 * are opened at once when a switch is listed and again after each loss, with bounded pauses. All state belongs to the
 * decision thread; reading threads pass on the messages they read through {@link DecisionExecutor}.
 *
 * <p>LOAD messages are taken from one connection of a switch, the primary, and set-ups are sent on it while it is
 * established: messages on different connections overtake each other by milliseconds, and the load report of a release
 * could replace a newer LOAD. The newest LOAD of each other connection is kept for when the primary ends.
 */
public final class SwitchConnections {
    /** Runs tasks on the decision thread. */
    public interface DecisionExecutor {
        /** Queues a task, waiting for room in the queue. */
        void run(Runnable task) throws InterruptedException;
    }

    /** Called on the decision thread. */
    public interface Listener {
        /**
         * The switch has established the contact (STARTED).
         *
         * @param connectionNumber rank of the connection in the order in which connections to switches were established
         * @param description may be null
         */
        void started(long switchId, long connectionNumber, String tag, String description);

        /**
         * The switch has ended the contact (FINISH).
         *
         * @param cause the field {@code rc}
         * @param note the field {@code note} of {@code opts}, or null
         * @param report load report of the switch, see {@link LoadReportParser#parse}; empty if there is none
         */
        void ended(long switchId, long connectionId, String tag, int cause, String note, float[] report);

        /**
         * The switch has ended the contact (FINISH) on a connection that has ended since: this counts for established
         * and for unknown contacts, as the set-ups of the connection have been given up.
         */
        void releasedOnEndedConnection(long switchId, long connectionId, String tag, int cause);

        /**
         * The switch has established a contact (STARTED) whose set-up was given up with its connection: it stands there
         * and nobody knows of it.
         */
        void answeredOnEndedConnection(long switchId, long connectionId, String tag);

        /** The switch has reported its load (LOAD). */
        void loadReported(long switchId, float[] report);

        /** A connection has ended or could not be established. */
        void connectionEnded(long switchId, long connectionId, boolean wasEstablished);

        /** The switch's process has ended, and with it the contacts established there. */
        void processEnded(long switchId);

        /**
         * Another process has the switch's address, so the earlier one has ended. Contacts answered on connections from
         * {@code firstConnectionNumber} on stand at the process that has followed.
         *
         * @param newSwitchId the switch of that process; the same one if it was started again
         */
        void processReplaced(long switchId, long newSwitchId, long firstConnectionNumber);

        /** Whether any contact is established at the switch. */
        boolean hasEstablishedContactsAt(long switchId);

        /** Writes a line to the log. */
        void log(String line);
    }

    private static final int CONNECTIONS_PER_SWITCH = 2;
    private static final Span FIRST_RETRY_PAUSE = Span.ofMillis(50);
    private static final Span MAX_RETRY_PAUSE = Span.ofMillis(1000);
    /** A switch reports the state of its group before anything else; one that has not done so by then has no group. */
    private static final Span GROUP_STATE_TIMEOUT = Span.ofMillis(150);

    private static final Span LIVENESS_CHECK_INTERVAL = Span.ofMillis(500);
    /** A switch sends the releases it owes on the next connection opened, which may be a probe's. */
    private static final Span PROBE_LINGER = Span.ofMillis(1000);

    /** How long a retired probe waits for the switch to end its side too. */
    private static final Span RETIRE_TIMEOUT = Span.ofMillis(1000);

    /** How long closing waits for the queued messages of one connection to be written. */
    private static final Span FLUSH_TIMEOUT = Span.ofMillis(100);

    private final TransportLimits limits;
    private final Supplier<Socket> socketFactory;
    private final ConnectionThreadPool threadPool;
    private final TimerWheel timerWheel;
    private final DecisionExecutor executor;
    private final Listener listener;
    private final LoadReportParser loadReportParser;
    private final DropCounter drops;
    private final Map<Long, SwitchEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<Long, SwitchConnection> connections = new ConcurrentHashMap<>();
    /** How long each START waited from its order until it was written. */
    private final LatencyHistogram startWaits = new LatencyHistogram();

    private long lastConnectionId;
    private long lastConnectionNumber;
    private boolean closing;

    /** {@code socketFactory} creates an unconnected socket for each connection. */
    public SwitchConnections(
            TransportLimits limits,
            Supplier<Socket> socketFactory,
            ConnectionThreadPool threadPool,
            TimerWheel timerWheel,
            LoadReportParser loadReportParser,
            DropCounter drops,
            DecisionExecutor executor,
            Listener listener) {
        this.limits = limits;
        this.socketFactory = socketFactory;
        this.threadPool = threadPool;
        this.timerWheel = timerWheel;
        this.loadReportParser = loadReportParser;
        this.drops = drops;
        this.executor = executor;
        this.listener = listener;
    }

    /** A switch is on the list. One that drains may be alive even if it accepts no further connection. */
    public void switchListed(long id, InetSocketAddress address, boolean draining) {
        SwitchEndpoint endpoint = endpoints.get(id);
        if (endpoint == null) {
            endpoint = new SwitchEndpoint(id, address, timerWheel.now());
            endpoints.put(id, endpoint);
            checkLiveness(endpoint);
        }
        endpoint.list(draining);
        openMissingConnections(endpoint);
    }

    /**
     * A switch has left the list: no further connection is opened to it, and it is removed once it has no connection
     * left or is silent.
     */
    public void switchUnlisted(long id) {
        SwitchEndpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            endpoint.unlist();
        }
    }

    /**
     * The process at this switch's address is its own: those of switches that have left the list and had the address have
     * ended.
     *
     * @param startedAt when the listed switch's process started; null if it is not known
     */
    public void addressListed(long id, Moment startedAt) {
        SwitchEndpoint listedEndpoint = endpoints.get(id);
        List.copyOf(endpoints.values()).stream()
                .filter(endpoint -> !endpoint.listed && endpoint.address.equals(listedEndpoint.address))
                .forEach(endpoint -> checkSuccession(endpoint, id, startedAt));
    }

    /** The process of a listed switch was started again at its address. */
    public void processRestarted(long id, Moment startedAt) {
        SwitchEndpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            checkSuccession(endpoint, id, startedAt);
        }
    }

    /** Tests which connections to an address reach the process that has followed there. */
    private void checkSuccession(SwitchEndpoint endpoint, long newSwitchId, Moment startedAt) {
        SuccessionCheck check = new SuccessionCheck(startedAt);
        endpoint.succession = new SwitchEndpoint.Succession(check, newSwitchId);
        for (SwitchConnection connection : endpoint.connections) {
            if (connection.isUsable() && check.mayReachPresentProcess(connection.establishedAt)) {
                check.tested(connection.number);
                sendTest(connection);
            }
        }
        timerWheel.scheduleAfter(SuccessionCheck.REPLY_TIMEOUT, () -> completeSuccession(endpoint, check));
        completeSuccessionIfKnown(endpoint);
    }

    private void completeSuccessionIfKnown(SwitchEndpoint endpoint) {
        if (endpoint.succession != null && endpoint.succession.check().isComplete()) {
            completeSuccession(endpoint, endpoint.succession.check());
        }
    }

    private void completeSuccession(SwitchEndpoint endpoint, SuccessionCheck check) {
        SwitchEndpoint.Succession succession = endpoint.succession;
        if (succession == null || succession.check() != check || endpoints.get(endpoint.id) != endpoint) {
            return;
        }
        endpoint.succession = null;
        if (succession.newSwitchId() == endpoint.id) {
            List.copyOf(endpoint.connections).stream()
                    .filter(connection -> connection.established && connection.number < check.firstNumber())
                    .forEach(connection -> end(connection, "reached the process before the restart"));
            endpoint.pendingFinishes.retainConnections(endpoint.connectionIds());
        } else {
            endpoint.succeededBy(succession.newSwitchId(), check.firstNumber());
            removeReplaced(endpoint);
        }
        listener.processReplaced(endpoint.id, succession.newSwitchId(), check.firstNumber());
    }

    /** Whether the process of a switch may still run; false for a switch that was never listed. */
    public boolean mayBeAlive(long id) {
        return endpoints.containsKey(id);
    }

    /** The address of a switch belongs to another process, so nothing that comes from there is the switch's. */
    private void removeReplaced(SwitchEndpoint endpoint) {
        listener.log("switch " + endpoint.id + ": another process has " + endpoint.address);
        endpoint.unlist();
        endpoints.remove(endpoint.id);
        Set<Long> retiredIds = new HashSet<>();
        for (SwitchConnection connection : List.copyOf(endpoint.connections)) {
            if (endpoint.reachesSuccessor(connection)) {
                retiredIds.add(connection.transportConnection.id());
                retireReplaced(connection);
            } else {
                end(connection, "address of another switch");
            }
        }
        handOverFinishes(endpoint, retiredIds);
    }

    /**
     * Ends a connection that reaches the process of the switch that has followed, in order: its set-ups are given up at
     * once, but the releases of contacts established there may be on their way on it.
     */
    private void retireReplaced(SwitchConnection connection) {
        listener.connectionEnded(connection.endpoint.id, connection.transportConnection.id(), true);
        retire(connection, "address of another switch");
    }

    /** What the contacts established on these connections are owed is owed by the switch that has followed. */
    private void handOverFinishes(SwitchEndpoint endpoint, Set<Long> connectionIds) {
        endpoints.values().stream()
                .filter(other -> other.listed && other.address.equals(endpoint.address))
                .findFirst()
                .ifPresent(successor -> endpoint.pendingFinishes.moveTo(successor.pendingFinishes, connectionIds));
    }

    /** Ends this side of a connection; what the switch still writes is read, for a limited time. */
    private void retire(SwitchConnection connection, String reason) {
        connection.retiring = true;
        connection.transportConnection.endOutput();
        timerWheel.scheduleAfter(RETIRE_TIMEOUT, () -> connection.transportConnection.close(reason));
    }

    /**
     * Closes a connection and gives up its set-ups at once: an answer that was read before and waits in the inbox must not
     * establish a contact at a process that has ended.
     */
    private void end(SwitchConnection connection, String reason) {
        connection.transportConnection.close(reason);
        connectionLost(connection.transportConnection, reason);
    }

    private void checkLiveness(SwitchEndpoint endpoint) {
        if (endpoints.get(endpoint.id) != endpoint || closing) {
            return;
        }
        for (SwitchConnection connection : endpoint.connections) {
            if (connection.lastReadNs - endpoint.lastReadNs > 0
                    || endpoint.lastReadNs == 0 && connection.lastReadNs != 0) {
                endpoint.lastReadNs = connection.lastReadNs;
                endpoint.liveness.signalReceived(new Moment(connection.lastReadNs));
            }
        }
        checkConnections(endpoint);
        // The silence of a listed switch matters where it owes a release or the answer to a test.
        boolean silenceMatters =
                !endpoint.listed || listener.hasEstablishedContactsAt(endpoint.id) || endpoint.hasUnansweredTest();
        LivenessMonitor.Action action =
                silenceMatters ? endpoint.liveness.check(timerWheel.now()) : LivenessMonitor.Action.NONE;
        if (action == LivenessMonitor.Action.DECLARE_DEAD || !endpoint.listed && endpoint.connections.isEmpty()) {
            listener.log("switch " + endpoint.id + " at " + endpoint.address + " says nothing any more, listed: "
                    + endpoint.listed);
            List.copyOf(endpoint.connections).forEach(connection -> end(connection, "silent"));
            listener.processEnded(endpoint.id);
            if (!endpoint.listed) {
                endpoints.remove(endpoint.id);
                return;
            }
        } else if (endpoint.liveness.isDeclaredDead() && listener.hasEstablishedContactsAt(endpoint.id)) {
            listener.processEnded(endpoint.id);
        } else if (action == LivenessMonitor.Action.PROBE && openConnection(endpoint)) {
            endpoint.connections.get(endpoint.connections.size() - 1).probe = true;
        }
        timerWheel.scheduleAfter(LIVENESS_CHECK_INTERVAL, () -> checkLiveness(endpoint));
    }

    /** Tests connections that miss what others of the switch bring, and closes those that fail the test. */
    private void checkConnections(SwitchEndpoint endpoint) {
        for (SwitchConnection connection : List.copyOf(endpoint.connections)) {
            if (!connection.isUsable()) {
                continue;
            }
            ConnectionMonitor.Action action = connection.monitor.check(
                    timerWheel.now(),
                    connection.lastSignal(),
                    endpoint.siblingReport(connection),
                    endpoint.siblingSignal(connection));
            switch (action) {
                case TEST -> {
                    drops.increment("switch line tested");
                    sendTest(connection);
                }
                case CLOSE ->
                    connection.transportConnection.close("leaves a test unanswered while the switch is alive");
                case NONE -> {}
            }
        }
    }

    private static void sendTest(SwitchConnection connection) {
        connection.unansweredTests++;
        connection.transportConnection.send(SwitchMessage.encodeEcho());
    }

    private void testAnswered(SwitchConnection connection) {
        connection.unansweredTests = Math.max(0, connection.unansweredTests - 1);
        SwitchEndpoint endpoint = connection.endpoint;
        if (endpoint.succession != null && connection.unansweredTests == 0) {
            endpoint.succession.check().replied(connection.number);
            completeSuccessionIfKnown(endpoint);
        }
    }

    /**
     * Whether each listed switch has reported the state of its group, or has been connected long enough to have
     * reported it: the switch of the own exchange has no group and reports nothing. Unreachable switches are ignored.
     */
    public boolean allGroupStatesReported() {
        return endpoints.values().stream()
                .allMatch(endpoint -> !endpoint.listed
                        || endpoint.connectFailed
                        || endpoint.groupStateReported
                        || endpoint.connections.stream()
                                .anyMatch(connection -> connection.established
                                        && timerWheel
                                                .now()
                                                .since(connection.establishedAt)
                                                .longerThan(GROUP_STATE_TIMEOUT)));
    }

    /** How long set-ups have waited from their order until they were written, since the last call. */
    public String takeStartWaitsText() {
        return startWaits.takeText();
    }

    /** Number of connections that are open or being opened. */
    public int connectionCount() {
        return connections.size();
    }

    /** The number of the switch's oldest established connection; {@link Long#MAX_VALUE} if it has none. */
    public long oldestConnectionNumber(long switchId) {
        SwitchEndpoint endpoint = endpoints.get(switchId);
        return endpoint == null
                ? Long.MAX_VALUE
                : endpoint.connections.stream()
                        .filter(connection -> connection.established)
                        .mapToLong(connection -> connection.number)
                        .min()
                        .orElse(Long.MAX_VALUE);
    }

    /**
     * Connections that the switches may need: for each that is listed and not draining its own, those of a switch that
     * takes its place, and one probe; for each other its own.
     */
    public int requiredConnections() {
        return (2 * CONNECTIONS_PER_SWITCH + 1)
                        * (int) endpoints.values().stream()
                                .filter(endpoint -> endpoint.listed && !endpoint.draining)
                                .count()
                + CONNECTIONS_PER_SWITCH
                        * (int) endpoints.values().stream()
                                .filter(endpoint -> !endpoint.listed || endpoint.draining)
                                .count();
    }

    private void openMissingConnections(SwitchEndpoint endpoint) {
        while (endpoint.listed
                && !closing
                && !endpoint.retryScheduled
                && endpoint.connections.size() < CONNECTIONS_PER_SWITCH) {
            if (!openConnection(endpoint)) {
                scheduleRetry(endpoint);
            }
        }
    }

    private boolean openConnection(SwitchEndpoint endpoint) {
        Connection transportConnection = new Connection(
                ++lastConnectionId,
                socketFactory.get(),
                endpoint.address,
                false,
                limits,
                connectionListener,
                new LineFramer(),
                threadPool);
        SwitchConnection connection = new SwitchConnection(transportConnection, endpoint);
        connections.put(transportConnection.id(), connection);
        endpoint.connections.add(connection);
        connection.primary = endpoint.connections.get(0) == connection;
        try {
            transportConnection.start("switch");
            return true;
        } catch (OutOfMemoryError | RejectedExecutionException e) {
            connections.remove(transportConnection.id());
            endpoint.connections.remove(connection);
            transportConnection.close("no thread for a switch");
            return false;
        }
    }

    /** All connections of a switch share one pause; it doubles until one of them is established. */
    private void scheduleRetry(SwitchEndpoint endpoint) {
        if (!endpoint.retryScheduled && endpoint.listed && !closing) {
            endpoint.retryScheduled = true;
            timerWheel.scheduleAfter(endpoint.retryPause, () -> {
                endpoint.retryScheduled = false;
                openMissingConnections(endpoint);
            });
            endpoint.retryPause =
                    endpoint.retryPause.times(2).atLeast(FIRST_RETRY_PAUSE).atMost(MAX_RETRY_PAUSE);
        }
    }

    /**
     * Queues a START; returns null if no connection accepts it. Established connections are preferred to those that are
     * still being opened. The message may wait on either, so whether it is still due is checked again when it is
     * written; if it is not, {@code onRevoked} runs on the decision thread.
     */
    public QueuedMessage sendStart(long switchId, SwitchStartRequest request, Runnable onRevoked) {
        SwitchEndpoint endpoint = endpoints.get(switchId);
        if (endpoint == null) {
            return null;
        }
        // An estimate of the size: the description counts twice, as JSON escapes each line break and quote as two
        // bytes.
        long orderedNs = System.nanoTime();
        RevocableMessage message = new RevocableMessage(
                SwitchMessage.MAX_START_BYTES_WITHOUT_DESCRIPTION
                        + 2 * request.description().length(),
                () -> {
                    startWaits.add(new Span(System.nanoTime() - orderedNs), LatencyHistogram.NO_CONNECTION);
                    return encodeStartIfDue(endpoint, request);
                },
                () -> execute(onRevoked));
        // The FINISH of an earlier attempt must not be sent again on a connection established after this START.
        endpoint.pendingFinishes.remove(request.tag());
        for (SwitchConnection connection : endpoint.connectionsForStart()) {
            if (connection.transportConnection.send(message)) {
                connection.probe = false;
                return new QueuedMessage(connection.transportConnection.id(), message);
            }
        }
        return null;
    }

    /** Encodes a START at the time it is written; null if it is no longer due. */
    private static byte[] encodeStartIfDue(SwitchEndpoint endpoint, SwitchStartRequest request) {
        Moment now = new Moment(System.nanoTime());
        return endpoint.acceptsStarts && request.isDue(now)
                ? SwitchMessage.encodeStart(
                        request.tag(),
                        request.skill(),
                        request.remaining(now).ns() / 1_000_000,
                        request.calledNumber(),
                        request.description())
                : null;
    }

    /**
     * Sends a FINISH on the given connection, or on another established one of the switch if that is gone.
     * {@code onCompleted} runs on the decision thread once it has been written or can't be written any more.
     */
    public void sendFinish(long switchId, long connectionId, String tag, int cause, Runnable onCompleted) {
        OutgoingMessage message =
                OutgoingMessage.of(SwitchMessage.encodeFinish(tag, cause), () -> execute(onCompleted));
        SwitchEndpoint endpoint = endpoints.get(switchId);
        if (endpoint == null) {
            message.completed();
            return;
        }
        endpoint.pendingFinishes.add(tag, cause, connectionId, timerWheel.now());
        SwitchConnection sentOn = sendOnAnyConnection(endpoint, connectionId, message);
        if (sentOn == null) {
            message.completed();
        } else {
            // The switch acknowledges it with FINISHED.
            sentOn.monitor.replyExpected(timerWheel.now());
        }
    }

    /** Acknowledges a FINISH of the switch, on the connection it came on if that is open, else on another one. */
    public void sendFinished(long switchId, long connectionId, String tag) {
        SwitchEndpoint endpoint = endpoints.get(switchId);
        if (endpoint != null) {
            sendOnAnyConnection(endpoint, connectionId, OutgoingMessage.of(SwitchMessage.encodeFinished(tag)));
        }
    }

    /** Sends on the preferred connection, else on an established one; returns which, or null if there is none. */
    private SwitchConnection sendOnAnyConnection(SwitchEndpoint endpoint, long preferredId, OutgoingMessage message) {
        SwitchConnection preferred = connections.get(preferredId);
        if (preferred != null && !preferred.retiring && preferred.transportConnection.send(message)) {
            return preferred;
        }
        for (SwitchConnection connection : endpoint.connections) {
            if (connection.isUsable() && connection.transportConnection.send(message)) {
                return connection;
            }
        }
        return null;
    }

    private final Connection.Listener connectionListener = new Connection.Listener() {
        @Override
        public void messageReceived(Connection transportConnection, byte[] line) throws InterruptedException {
            SwitchConnection connection = connections.get(transportConnection.id());
            if (connection == null) {
                return;
            }
            connection.lastReadNs = System.nanoTime();
            if (SwitchMessage.isLoadReport(line)) {
                connection.lastLoadNs = connection.lastReadNs;
                // LOAD messages arrive at hundreds a second and only the newest counts: at most one is queued for the
                // decision thread, and those of other connections are not parsed until their connection is primary.
                if (connection.latestLoad.getAndSet(line) == null
                        && (connection.primary || !connection.endpoint.groupStateReported)) {
                    executor.run(() -> reportGroupState(connection));
                }
                return;
            }
            SwitchMessage message;
            try {
                message = SwitchMessage.parse(line);
            } catch (IOException | RuntimeException e) {
                drops.increment("a switch's line that can't be read");
                transportConnection.close("unreadable line");
                return;
            }
            executor.run(() -> handleMessage(connection, message));
        }

        @Override
        public void connected(Connection transportConnection) {
            execute(() -> connectionEstablished(transportConnection.id()));
        }

        @Override
        public void ended(Connection transportConnection, String reason) {
            drops.increment("switch line over", reason);
            execute(() -> connectionLost(transportConnection, reason));
        }
    };

    private void execute(Runnable task) {
        try {
            executor.run(task);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void connectionEstablished(long connectionId) {
        SwitchConnection connection = connections.get(connectionId);
        if (connection == null) {
            return;
        }
        if (connection.endpoint.draining && connection.endpoint.refused) {
            // A switch that has stopped listening does not begin again: this is the next process at its address.
            removeReplaced(connection.endpoint);
            listener.processEnded(connection.endpoint.id);
            return;
        }
        connection.established = true;
        connection.establishedAt = timerWheel.now();
        connection.number = ++lastConnectionNumber;
        connection.endpoint.retryPause = Span.ZERO;
        connection.endpoint.liveness.signalReceived(timerWheel.now());
        if (connection.probe) {
            timerWheel.scheduleAfter(PROBE_LINGER, () -> retireProbe(connection));
        }
        connection
                .endpoint
                .pendingFinishes
                .unexpired(timerWheel.now())
                .forEach((tag, cause) -> connection.transportConnection.send(SwitchMessage.encodeFinish(tag, cause)));
    }

    /**
     * Ends a probe's connection unless it is needed: this side first, so that whatever the switch has written is read.
     */
    private void retireProbe(SwitchConnection connection) {
        if (!isOpen(connection) || !connection.probe) {
            return;
        }
        if (connection.endpoint.connections.size() <= CONNECTIONS_PER_SWITCH) {
            connection.probe = false;
            return;
        }
        retire(connection, "it lives");
    }

    private boolean isOpen(SwitchConnection connection) {
        return connections.get(connection.transportConnection.id()) == connection;
    }

    private void connectionLost(Connection transportConnection, String reason) {
        SwitchConnection connection = connections.remove(transportConnection.id());
        if (connection == null) {
            return;
        }
        SwitchEndpoint endpoint = connection.endpoint;
        boolean wasPrimary = endpoint.connections.indexOf(connection) == 0;
        endpoint.connections.remove(connection);
        listener.log("switch " + endpoint.id + " at " + endpoint.address
                + (transportConnection.wasEstablished()
                        ? ", connection " + connection.number + ": "
                        : ", never established: ")
                + reason);
        if (!transportConnection.wasEstablished()) {
            endpoint.connectFailed = true;
            endpoint.liveness.connectFailed(timerWheel.now());
        }
        listener.connectionEnded(endpoint.id, transportConnection.id(), transportConnection.wasEstablished());
        if (transportConnection.wasRefused()
                && endpoint.listed
                && endpoint.connections.stream().noneMatch(other -> other.established)) {
            connectionRefused(endpoint);
        }
        if (endpoint.succession != null) {
            endpoint.succession.check().ended(connection.number);
            completeSuccessionIfKnown(endpoint);
        }
        if (wasPrimary && !endpoint.connections.isEmpty()) {
            makePrimary(endpoint.connections.get(0));
            reportGroupState(endpoint.connections.get(0));
        }
        scheduleRetry(endpoint);
    }

    /** A switch with no connection left has refused one. */
    private void connectionRefused(SwitchEndpoint endpoint) {
        if (endpoint.draining) {
            endpoint.refused = true;
        } else {
            listener.processEnded(endpoint.id);
        }
    }

    /** Makes a connection the first in its endpoint's list, whose LOAD messages count and which takes set-ups first. */
    private void makePrimary(SwitchConnection connection) {
        List<SwitchConnection> ordered = connection.endpoint.connections;
        ordered.get(0).primary = false;
        ordered.remove(connection);
        ordered.add(0, connection);
        connection.primary = true;
    }

    /**
     * Reports the latest LOAD if the connection is primary. The first connection of a switch that brings a LOAD becomes
     * the primary one, so that a group whose state was received is known to the listener.
     */
    private void reportGroupState(SwitchConnection connection) {
        if (!isOpen(connection) || endpoints.get(connection.endpoint.id) != connection.endpoint) {
            return;
        }
        if (!connection.endpoint.groupStateReported) {
            makePrimary(connection);
        }
        byte[] latestLoad = connection.primary ? connection.latestLoad.getAndSet(null) : null;
        if (latestLoad == null) {
            return;
        }
        connection.endpoint.groupStateReported = true;
        try {
            listener.loadReported(
                    connection.endpoint.id,
                    loadReportParser.parse(SwitchMessage.parse(latestLoad).load()));
        } catch (IOException e) {
            drops.increment("a switch's line that can't be read");
            connection.transportConnection.close("unreadable state");
        }
    }

    private void handleMessage(SwitchConnection connection, SwitchMessage message) {
        SwitchEndpoint endpoint = connection.endpoint;
        long connectionId = connection.transportConnection.id();
        if (!isOpen(connection) || endpoint.reachesSuccessor(connection)) {
            handleLateMessage(connection, message);
            return;
        }
        switch (message.verb()) {
            case "STARTED" -> listener.started(endpoint.id, connection.number, message.tag(), message.description());
            case "FINISH" ->
                listener.ended(
                        endpoint.id,
                        connectionId,
                        message.tag(),
                        message.cause(),
                        message.note(),
                        connection.primary
                                ? loadReportParser.parse(message.load())
                                : loadReportParser.parseWithoutCircuits(message.load()));
            case "FINISHED" -> endpoint.pendingFinishes.remove(message.tag());
            case "ECHOED" -> testAnswered(connection);
            case "PENDING" -> {}
            default -> {
                drops.increment("a switch's line of an unknown type");
                connection.transportConnection.close("unknown type");
            }
        }
    }

    /**
     * Handles a message of a connection whose set-ups have been given up, while a release of an established contact is
     * still due: one that was read whole before the connection ended and arrives here after that, as any thread may
     * notice the end first, or one of a connection that is being retired.
     */
    private void handleLateMessage(SwitchConnection connection, SwitchMessage message) {
        long switchId = connection.endpoint.switchIdOf(connection);
        switch (message.verb()) {
            case "FINISH" ->
                listener.releasedOnEndedConnection(
                        switchId, connection.transportConnection.id(), message.tag(), message.cause());
            case "STARTED" ->
                listener.answeredOnEndedConnection(switchId, connection.transportConnection.id(), message.tag());
            case "FINISHED" ->
                endpoints
                        .getOrDefault(switchId, connection.endpoint)
                        .pendingFinishes
                        .remove(message.tag());
            default -> drops.increment("a switch's line after its connection");
        }
    }

    /** Closes all connections and opens no further ones; queued messages get a limited time to be written. */
    public void close() {
        closing = true;
        for (SwitchConnection connection : List.copyOf(connections.values())) {
            connection.transportConnection.flushAndClose("closing", FLUSH_TIMEOUT);
        }
    }
}
