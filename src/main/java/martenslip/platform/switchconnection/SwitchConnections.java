package martenslip.platform.switchconnection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import martenslip.liveness.LivenessMonitor;
import martenslip.platform.contact.SwitchStartRequest;
import martenslip.sip.transport.Connection;
import martenslip.sip.transport.ConnectionThreadPool;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.OutgoingMessage;
import martenslip.sip.transport.QueuedMessage;
import martenslip.sip.transport.RevocableMessage;
import martenslip.sip.transport.TransportLimits;

/**
 * Connections to the switches: so many to each that a spoilt one takes only a part down, opened at once when a switch
 * is listed and again after each loss, with bounded pauses. All state belongs to the deciding thread; reading threads
 * hand in what they read through {@link DecisionExecutor}.
 *
 * <p>States of a group are taken from one connection of a switch, the first, and set-ups go by that one while it is up:
 * what comes by two connections overtakes each other by milliseconds, and a release's report that is older than the
 * last state would stand for it. The last state of the others is kept for when the first ends.
 */
public final class SwitchConnections {
    /** Runs something on the deciding thread; waits for room. */
    public interface DecisionExecutor {
        void run(Runnable what) throws InterruptedException;
    }

    /** What the lines tell; called on the deciding thread. */
    public interface Listener {
        void started(long target, long connection, String tag, String description);

        void ended(long target, long connection, String tag, int cause, String note, float[] report);

        void loadReported(long target, float[] report);

        void connectionEnded(long target, long connection, boolean everUp);

        /** The process there has ended: what stood on it is over. */
        void processEnded(long target);

        boolean hasEstablishedAt(long target);

        void log(String line);
    }

    private static final int EACH = 2;
    private static final Span FIRST_PAUSE = Span.ofMillis(50);
    private static final Span LONGEST_PAUSE = Span.ofMillis(1000);
    /** A switch tells the state of its group before anything else: one that has not by then has none. */
    private static final Span TELLS = Span.ofMillis(150);

    private static final Span LOOK = Span.ofMillis(500);
    /** How long a release is kept for a further connection where nothing says that it was heard. */
    private static final Span UNHEARD = Span.ofMillis(4000);

    private static final int MOST_UNHEARD = 2048;

    private static final class SwitchConnection {
        final Connection connection;
        final SwitchEndpoint far;
        /** Opened for a sign of life only, and ended once it has come up. */
        boolean asks;

        boolean up;
        Moment upAt;
        boolean told;
        /** The one whose states count; readers look at it. */
        volatile boolean first;
        /** The newest state that was read and not yet taken, or that is kept while another link's count. */
        final AtomicReference<byte[]> newest = new AtomicReference<>();

        volatile long readAt;

        SwitchConnection(Connection connection, SwitchEndpoint far) {
            this.connection = connection;
            this.far = far;
        }
    }

    private record PendingFinish(int cause, Moment at) {}

    private static final class SwitchEndpoint {
        final long id;
        final InetSocketAddress at;
        final List<SwitchConnection> links = new ArrayList<>();
        final Map<String, PendingFinish> releases = new LinkedHashMap<>();
        boolean listed = true;
        boolean drains;
        /** Listed and not draining; who writes looks at it. */
        volatile boolean takesNew = true;

        Span pause = Span.ZERO;
        boolean waiting;
        boolean failed;
        final LivenessMonitor pulse;
        long readAt;

        SwitchEndpoint(long id, InetSocketAddress at, Moment now) {
            this.id = id;
            this.at = at;
            pulse = new LivenessMonitor(now);
        }
    }

    private final TransportLimits bounds;
    private final Supplier<Socket> sockets;
    private final ConnectionThreadPool writers;
    private final TimerWheel wheel;
    private final DecisionExecutor turn;
    private final Listener heard;
    private final LoadReportParser loads;
    private final DropCounter drops;
    private final Map<Long, SwitchEndpoint> fars = new LinkedHashMap<>();
    private final Map<Long, SwitchConnection> links = new ConcurrentHashMap<>();
    private long numbers;
    private boolean closing;

    /** {@code sockets} makes one not yet connected for each connection. */
    public SwitchConnections(
            TransportLimits bounds,
            Supplier<Socket> sockets,
            ConnectionThreadPool writers,
            TimerWheel wheel,
            LoadReportParser loads,
            DropCounter drops,
            DecisionExecutor turn,
            Listener heard) {
        this.bounds = bounds;
        this.sockets = sockets;
        this.writers = writers;
        this.wheel = wheel;
        this.loads = loads;
        this.drops = drops;
        this.turn = turn;
        this.heard = heard;
    }

    /** A switch is on the list, or still is. One that drains may take no further connection and lives all the same. */
    public void listed(long id, InetSocketAddress at, boolean drains) {
        SwitchEndpoint far = fars.get(id);
        if (far == null) {
            far = new SwitchEndpoint(id, at, wheel.now());
            fars.put(id, far);
            look(far);
        }
        far.listed = true;
        far.drains = drains;
        far.takesNew = !drains;
        far.pulse.setListed(true);
        fill(far);
    }

    /** A switch has left the list: no further connection is opened to it, and it is forgotten once it is quiet. */
    public void unlisted(long id) {
        SwitchEndpoint far = fars.get(id);
        if (far != null) {
            far.listed = false;
            far.takesNew = false;
            far.pulse.setListed(false);
        }
    }

    private void look(SwitchEndpoint far) {
        if (fars.get(far.id) != far || closing) {
            return;
        }
        for (SwitchConnection link : far.links) {
            if (link.readAt - far.readAt > 0 || far.readAt == 0 && link.readAt != 0) {
                far.readAt = link.readAt;
                far.pulse.signalReceived(new Moment(link.readAt));
            }
        }
        // Where nothing stands, nothing is owed, and silence is no matter.
        LivenessMonitor.Action sign = far.listed && !heard.hasEstablishedAt(far.id)
                ? LivenessMonitor.Action.NONE
                : far.pulse.check(wheel.now());
        if (sign == LivenessMonitor.Action.DECLARE_DEAD || !far.listed && far.links.isEmpty()) {
            heard.log("switch " + far.id + " at " + far.at + " says nothing any more, listed: " + far.listed);
            List.copyOf(far.links).forEach(link -> link.connection.close("silent"));
            heard.processEnded(far.id);
            if (!far.listed) {
                fars.remove(far.id);
                return;
            }
        } else if (sign == LivenessMonitor.Action.PROBE && open(far)) {
            far.links.get(far.links.size() - 1).asks = true;
        }
        wheel.scheduleAfter(LOOK, () -> look(far));
    }

    /**
     * True once each listed switch has told the state of its group, or has been connected for long enough to have told
     * it: the own exchange's switch has no group and says nothing. One that can't be reached is not waited for.
     */
    public boolean allGroupStatesReported() {
        return fars.values().stream()
                .allMatch(far -> !far.listed
                        || far.failed
                        || far.links.stream()
                                .anyMatch(link -> link.told
                                        || link.up
                                                && wheel.now().since(link.upAt).longerThan(TELLS)));
    }

    public int connectionCount() {
        return links.size();
    }

    /** Connections that the switches of the list may need: to each, to one that takes its place, and one that asks. */
    public int requiredConnections() {
        return (2 * EACH + 1)
                        * (int) fars.values().stream()
                                .filter(far -> far.listed && !far.drains)
                                .count()
                + EACH
                        * (int) fars.values().stream()
                                .filter(far -> !far.listed || far.drains)
                                .count();
    }

    private void fill(SwitchEndpoint far) {
        while (far.listed && !closing && !far.waiting && far.links.size() < EACH) {
            if (!open(far)) {
                pause(far);
            }
        }
    }

    private boolean open(SwitchEndpoint far) {
        Connection connection =
                new Connection(++numbers, sockets.get(), far.at, false, bounds, events, new LineFramer(), writers);
        SwitchConnection link = new SwitchConnection(connection, far);
        links.put(connection.id(), link);
        far.links.add(link);
        link.first = far.links.get(0) == link;
        try {
            connection.start("switch");
            return true;
        } catch (OutOfMemoryError | RejectedExecutionException e) {
            links.remove(connection.id());
            far.links.remove(link);
            connection.close("no thread for a switch");
            return false;
        }
    }

    /** One pause for all connections of a switch: it doubles until one of them comes up. */
    private void pause(SwitchEndpoint far) {
        if (!far.waiting && far.listed && !closing) {
            far.waiting = true;
            wheel.scheduleAfter(far.pause, () -> {
                far.waiting = false;
                fill(far);
            });
            far.pause = far.pause.times(2).atLeast(FIRST_PAUSE).atMost(LONGEST_PAUSE);
        }
    }

    /**
     * Queues a set-up; null where no connection takes it. One that is up is preferred to one that is yet to come up,
     * but on either it may wait, so its reason is looked at once more when it is written. {@code unsent} is run by the
     * deciding thread where it no longer held.
     */
    public QueuedMessage sendStart(long target, SwitchStartRequest start, Runnable unsent) {
        SwitchEndpoint far = fars.get(target);
        if (far == null) {
            return null;
        }
        RevocableMessage message = new RevocableMessage(
                SwitchMessage.STARTS_AT_MOST + 2 * start.description().length(),
                () -> due(far, start),
                () -> put(unsent));
        // The end of an earlier attempt must not be said again on a connection that comes up after this one.
        far.releases.remove(start.tag());
        for (boolean up : new boolean[] {true, false}) {
            for (SwitchConnection link : far.links) {
                if (link.up == up && link.connection.send(message)) {
                    return new QueuedMessage(link.connection.id(), message);
                }
            }
        }
        return null;
    }

    /** What a set-up reads as when it is written, or null where there is nothing left to ask for. */
    private static byte[] due(SwitchEndpoint far, SwitchStartRequest start) {
        Moment now = new Moment(System.nanoTime());
        return far.takesNew && start.isDue(now)
                ? SwitchMessage.start(
                        start.tag(),
                        start.skill(),
                        start.remaining(now).ns() / 1_000_000,
                        start.calledNumber(),
                        start.description())
                : null;
    }

    /** {@code written} is run by the deciding thread once it has been written, or can't be any more. */
    public void sendFinish(long target, long connection, String tag, int cause, Runnable written) {
        OutgoingMessage message = OutgoingMessage.of(SwitchMessage.finish(tag, cause), () -> put(written));
        SwitchEndpoint far = fars.get(target);
        if (far == null) {
            message.completed();
            return;
        }
        // They stand in the order of time.
        for (Iterator<PendingFinish> all = far.releases.values().iterator(); all.hasNext(); ) {
            boolean old = wheel.now().since(all.next().at).longerThan(UNHEARD);
            if (!old && far.releases.size() < MOST_UNHEARD) {
                break;
            }
            all.remove();
        }
        far.releases.put(tag, new PendingFinish(cause, wheel.now()));
        SwitchConnection own = links.get(connection);
        if (own != null && own.connection.send(message)) {
            return;
        }
        for (SwitchConnection link : far.links) {
            if (link.up && link.connection.send(message)) {
                return;
            }
        }
        message.completed();
    }

    public void sendFinished(long target, long connection, String tag) {
        SwitchConnection link = links.get(connection);
        if (link != null) {
            link.connection.send(SwitchMessage.finished(tag));
        }
    }

    private final Connection.Listener events = new Connection.Listener() {
        @Override
        public void messageReceived(Connection connection, byte[] line) throws InterruptedException {
            SwitchConnection link = links.get(connection.id());
            if (link == null) {
                return;
            }
            link.readAt = System.nanoTime();
            if (SwitchMessage.state(line)) {
                // States come by the hundred a second and only the newest counts: one waits for its turn at a time,
                // and those of a further connection stay unread until that one is the first.
                if (link.newest.getAndSet(line) == null && (link.first || !link.told)) {
                    turn.run(() -> loaded(link));
                }
                return;
            }
            SwitchMessage says;
            try {
                says = SwitchMessage.read(line);
            } catch (IOException | RuntimeException e) {
                drops.increment("a switch's line that can't be read");
                connection.close("unreadable line");
                return;
            }
            turn.run(() -> take(connection.id(), says));
        }

        @Override
        public void connected(Connection connection) {
            put(() -> opened(connection.id()));
        }

        @Override
        public void ended(Connection connection, String why) {
            drops.increment("switch line over", why);
            put(() -> over(connection, why));
        }
    };

    private void put(Runnable what) {
        try {
            turn.run(what);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void opened(long number) {
        SwitchConnection link = links.get(number);
        if (link == null) {
            return;
        }
        link.up = true;
        link.upAt = wheel.now();
        link.far.pause = Span.ZERO;
        link.far.pulse.signalReceived(wheel.now());
        if (link.asks && link.far.links.size() > EACH) {
            link.connection.close("it lives");
            return;
        }
        link.far.releases.values().removeIf(one -> wheel.now().since(one.at).longerThan(UNHEARD));
        link.far.releases.forEach((tag, one) -> link.connection.send(SwitchMessage.finish(tag, one.cause)));
    }

    private void over(Connection connection, String why) {
        SwitchConnection link = links.remove(connection.id());
        if (link == null) {
            return;
        }
        SwitchEndpoint far = link.far;
        boolean told = far.links.indexOf(link) == 0;
        far.links.remove(link);
        heard.log("switch " + far.id + " at " + far.at + (connection.wasEstablished() ? ": " : ", never up: ") + why);
        if (!connection.wasEstablished()) {
            far.failed = true;
            far.pulse.connectFailed(wheel.now());
        }
        heard.connectionEnded(far.id, connection.id(), connection.wasEstablished());
        if (connection.wasRefused()
                && far.listed
                && !far.drains
                && far.links.stream().noneMatch(other -> other.up)) {
            heard.processEnded(far.id);
        }
        if (told && !far.links.isEmpty()) {
            first(far.links.get(0));
        }
        pause(far);
    }

    private void first(SwitchConnection link) {
        link.first = true;
        loaded(link);
    }

    private void loaded(SwitchConnection link) {
        if (links.get(link.connection.id()) != link) {
            return;
        }
        link.told = true;
        byte[] newest = link.first ? link.newest.getAndSet(null) : null;
        if (newest == null) {
            return;
        }
        try {
            heard.loadReported(
                    link.far.id, loads.read(SwitchMessage.read(newest).load()));
        } catch (IOException e) {
            drops.increment("a switch's line that can't be read");
            link.connection.close("unreadable state");
        }
    }

    private void take(long number, SwitchMessage says) {
        SwitchConnection link = links.get(number);
        if (link == null) {
            return;
        }
        SwitchEndpoint far = link.far;
        switch (says.verb()) {
            case "STARTED" -> heard.started(far.id, number, says.tag(), says.description());
            case "FINISH" ->
                heard.ended(
                        far.id,
                        number,
                        says.tag(),
                        says.cause(),
                        says.note(),
                        link.first ? loads.read(says.load()) : loads.processor(says.load()));
            case "FINISHED" -> far.releases.remove(says.tag());
            case "PENDING", "ECHOED" -> {}
            default -> {
                drops.increment("a switch's line of an unknown type");
                link.connection.close("unknown type");
            }
        }
    }

    public void close() {
        closing = true;
        for (SwitchConnection link : List.copyOf(links.values())) {
            link.connection.flushAndClose("closing", Span.ofMillis(100));
        }
    }
}
