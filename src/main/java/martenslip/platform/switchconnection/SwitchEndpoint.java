package martenslip.platform.switchconnection;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.liveness.LivenessMonitor;

/** One switch, with its connections. Belongs to the decision thread but for the fields that are marked otherwise. */
final class SwitchEndpoint {
    final long id;
    final InetSocketAddress address;
    /** The first is the primary one. */
    final List<SwitchConnection> connections = new ArrayList<>();

    final PendingFinishes pendingFinishes = new PendingFinishes();

    /** Whether the listener has the state of the switch's group; read by the reading threads. */
    volatile boolean groupStateReported;

    /** Finds out which connections reach the process that has followed; null while none has. */
    Succession succession;

    /** The switch whose process has followed at the address, and its first connection; 0 while there is none. */
    private long successorId;

    private long successorFirstNumber;

    boolean listed = true;
    boolean draining;
    /** A connection was refused, while no other was open, since the switch was last listed as not draining. */
    boolean refused;
    /** Listed and not draining; read by the writing threads. */
    volatile boolean acceptsStarts = true;

    Span retryPause = Span.ZERO;
    boolean retryScheduled;
    boolean connectFailed;
    final LivenessMonitor liveness;
    long lastReadNs;

    SwitchEndpoint(long id, InetSocketAddress address, Moment now) {
        this.id = id;
        this.address = address;
        liveness = new LivenessMonitor(now);
    }

    /** A running check, and the switch whose process is at the address now. */
    record Succession(SuccessionCheck check, long newSwitchId) {}

    void list(boolean draining) {
        listed = true;
        this.draining = draining;
        refused &= draining;
        acceptsStarts = !draining;
        liveness.setListed(true);
    }

    /** Another switch's process has followed; the connections from the given number on reach it. */
    void succeededBy(long newSwitchId, long firstNumber) {
        successorId = newSwitchId;
        successorFirstNumber = firstNumber;
    }

    /** Whether the connection reaches the process of the switch that has followed. */
    boolean reachesSuccessor(SwitchConnection connection) {
        return successorId != 0 && connection.established && connection.number >= successorFirstNumber;
    }

    /** The switch whose process the connection reaches. */
    long switchIdOf(SwitchConnection connection) {
        return reachesSuccessor(connection) ? successorId : id;
    }

    void unlist() {
        listed = false;
        acceptsStarts = false;
        liveness.setListed(false);
    }

    Set<Long> connectionIds() {
        return connections.stream()
                .map(connection -> connection.transportConnection.id())
                .collect(Collectors.toSet());
    }

    /** The connections in the order in which a set-up is to be offered to them. */
    List<SwitchConnection> connectionsForStart() {
        return connections.stream()
                .filter(connection -> !connection.retiring)
                .sorted(Comparator.comparing((SwitchConnection connection) -> !connection.established)
                        .thenComparing(connection -> connection.monitor.isTestUnanswered()))
                .toList();
    }

    boolean hasUnansweredTest() {
        return connections.stream().anyMatch(connection -> connection.monitor.isTestUnanswered());
    }

    /** The latest signal of the other established connections; null if there is none. */
    Moment siblingSignal(SwitchConnection connection) {
        return connections.stream()
                .filter(sibling -> sibling != connection && sibling.established)
                .map(SwitchConnection::lastSignal)
                .max(Comparator.naturalOrder())
                .orElse(null);
    }

    /** The latest LOAD of the other connections; null if there is none. A switch sends it on all connections. */
    Moment siblingReport(SwitchConnection connection) {
        return connections.stream()
                .filter(sibling -> sibling != connection && sibling.lastLoadNs != 0)
                .map(sibling -> new Moment(sibling.lastLoadNs))
                .max(Comparator.naturalOrder())
                .orElse(null);
    }
}
