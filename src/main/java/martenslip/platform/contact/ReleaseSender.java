package martenslip.platform.contact;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;

/**
 * Sends the releases of ended contacts to callers: on the connection of the set-up, else on any caller's connection,
 * and again until they are acknowledged. A caller need not acknowledge a release, so one that was sent is given up in
 * the end; one that could not be sent waits for a connection. Belongs to the decision thread.
 */
final class ReleaseSender {
    /** How long an unacknowledged release waits at first until it is sent again: it is due within 1 s. */
    private static final Span FIRST_RETRANSMIT_INTERVAL = Span.ofMillis(150);

    private static final Span LATER_RETRANSMIT_INTERVAL = Span.ofMillis(1000);
    /** Transmissions at the first interval, each on a connection that was not tried before if there is one. */
    private static final int QUICK_TRANSMISSIONS = 6;

    /** A release is due within 8 s where none could be sent; some connections swallow what is sent for as long. */
    private static final Span SENT_LIFETIME = Span.ofMillis(10_000);

    /** For a release that no connection has taken. */
    private static final Span UNSENT_LIFETIME = Span.ofMillis(60_000);

    /** After this many the connections are tried again. */
    private static final int MAX_TRIED_CONNECTIONS = 8;

    private static final int MAX_PENDING_RELEASES = 4096;

    /** A release that its caller has not acknowledged. */
    private static final class PendingRelease {
        final String tag;
        final byte[] message;
        /** The connection of the set-up, then the one it was last sent on. */
        long connectionId;
        /** The connections it was sent on; a retransmission takes another one where there is one. */
        final Set<Long> triedConnectionIds = new LinkedHashSet<>();

        final Moment endedAt;
        final Runnable onAcknowledged;
        /** Whether it is sent on another connection only once its own has ended. */
        final boolean staysOnConnection;

        int transmissions;

        PendingRelease(
                String tag,
                byte[] message,
                long connectionId,
                Moment endedAt,
                Runnable onAcknowledged,
                boolean staysOnConnection) {
            this.tag = tag;
            this.message = message;
            this.connectionId = connectionId;
            this.endedAt = endedAt;
            this.onAcknowledged = onAcknowledged;
            this.staysOnConnection = staysOnConnection;
        }

        Span retransmitInterval() {
            return transmissions < QUICK_TRANSMISSIONS ? FIRST_RETRANSMIT_INTERVAL : LATER_RETRANSMIT_INTERVAL;
        }

        Span lifetime() {
            return transmissions == 0 ? UNSENT_LIFETIME : SENT_LIFETIME;
        }
    }

    private final TimerWheel wheel;
    private final OutboundMessages outbound;
    private final ContactCounters counters;
    private final Map<String, PendingRelease> pendingByTag = new LinkedHashMap<>();

    ReleaseSender(TimerWheel wheel, OutboundMessages outbound, ContactCounters counters) {
        this.wheel = wheel;
        this.outbound = outbound;
        this.counters = counters;
    }

    int pendingCount() {
        return pendingByTag.size();
    }

    /** The caller has acknowledged the release, or answered that it does not know the contact. */
    void acknowledged(String tag) {
        PendingRelease pending = pendingByTag.remove(tag);
        if (pending != null) {
            counters.releasesAcknowledged++;
            pending.onAcknowledged.run();
            if (pending.transmissions > 1) {
                outbound.log("release", describe(pending) + ", acknowledged");
            }
        }
    }

    /** Whether the release of this contact waits to be acknowledged. */
    boolean isPending(String tag) {
        return pendingByTag.containsKey(tag);
    }

    /**
     * Sends a release and keeps it until it is acknowledged or its lifetime has passed. {@code onAcknowledged} runs in
     * the first case only.
     */
    void release(String tag, String calledNumber, int q850Cause, long connectionId, Runnable onAcknowledged) {
        add(tag, calledNumber, q850Cause, connectionId, onAcknowledged, false);
    }

    /**
     * Sends a release as {@link #release}, on other connections only once its own has ended: what a caller leaves without
     * answer there is no reason to ask all others.
     */
    void releaseOnConnection(String tag, String calledNumber, int q850Cause, long connectionId) {
        add(tag, calledNumber, q850Cause, connectionId, () -> {}, true);
    }

    private void add(
            String tag,
            String calledNumber,
            int q850Cause,
            long connectionId,
            Runnable onAcknowledged,
            boolean staysOnConnection) {
        if (pendingByTag.size() >= MAX_PENDING_RELEASES) {
            PendingRelease oldest = pendingByTag.values().iterator().next();
            outbound.log("releases", "too many unacknowledged releases; dropping the oldest: " + describe(oldest));
            giveUp(oldest);
        }
        PendingRelease pending = new PendingRelease(
                tag,
                CallerMessages.release(tag, calledNumber, q850Cause),
                connectionId,
                wheel.now(),
                onAcknowledged,
                staysOnConnection);
        pendingByTag.put(tag, pending);
        counters.releases++;
        transmitUntilAcknowledged(pending);
    }

    /**
     * A caller's connection has ended: an unacknowledged release last sent on it may not have arrived, so it is sent
     * again at once.
     */
    void callerConnectionEnded(long connectionId) {
        for (PendingRelease pending : List.copyOf(pendingByTag.values())) {
            if (pending.connectionId == connectionId && pending.transmissions > 0) {
                transmit(pending);
            }
        }
    }

    private void transmitUntilAcknowledged(PendingRelease pending) {
        if (pendingByTag.get(pending.tag) != pending) {
            return;
        }
        if (!pending.lifetime().longerThan(wheel.now().since(pending.endedAt))) {
            outbound.log("unheard", describe(pending) + " and given up without an answer");
            giveUp(pending);
            return;
        }
        transmit(pending);
        wheel.scheduleAfter(pending.retransmitInterval(), () -> transmitUntilAcknowledged(pending));
    }

    private void giveUp(PendingRelease pending) {
        pendingByTag.remove(pending.tag);
        counters.releasesGivenUp++;
    }

    private String describe(PendingRelease pending) {
        return "the release of " + pending.tag + " was sent " + pending.transmissions + " times in "
                + wheel.now().since(pending.endedAt).ns() / 1_000_000 + " ms, on connections "
                + pending.triedConnectionIds;
    }

    /**
     * The first transmission tries the connection of the set-up; all others, unless they stay there, and one that fails,
     * take another connection: one that was not tried yet, or, once all were tried, any.
     */
    private void transmit(PendingRelease pending) {
        if ((pending.transmissions == 0 || pending.staysOnConnection)
                && outbound.sendToCaller(pending.connectionId, pending.message)) {
            transmitted(pending, pending.connectionId);
            return;
        }
        if (pending.triedConnectionIds.size() >= MAX_TRIED_CONNECTIONS) {
            pending.triedConnectionIds.clear();
            pending.triedConnectionIds.add(pending.connectionId);
        }
        long otherConnectionId = outbound.otherCallerConnection(pending.triedConnectionIds);
        if (otherConnectionId != 0 && outbound.sendToCaller(otherConnectionId, pending.message)) {
            transmitted(pending, otherConnectionId);
        }
    }

    private static void transmitted(PendingRelease pending, long connectionId) {
        pending.connectionId = connectionId;
        pending.triedConnectionIds.add(connectionId);
        pending.transmissions++;
    }
}
