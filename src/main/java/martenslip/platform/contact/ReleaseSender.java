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

    /** Of contacts that stood by the word of a switch, and of those that only their caller speaks of. */
    private static final int MAX_CONFIRMED_RELEASES = 4096;

    private static final int MAX_UNCONFIRMED_RELEASES = 1024;

    /** A search sends on this many connections at once, and on the next ones after an interval. */
    private static final int SEARCH_BATCH = 64;

    private static final Span SEARCH_INTERVAL = Span.ofMillis(50);

    private static final long NO_CONNECTION = 0;

    /** What is known of the caller of a contact. */
    private enum Owner {
        /** The contact stood, and its caller is known by its connection. */
        CONFIRMED,
        /** The contact stood by its caller's word, or its caller has not acknowledged the answer. */
        UNCONFIRMED,
        /** The contact stood, and nothing is known of its caller. */
        UNKNOWN
    }

    /** In place of the number called, which only the caller's set-up told. */
    private static final String UNKNOWN_NUMBER = "0000000000000000";

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
        final Owner owner;
        final long ownConnectionId;
        /** Whether it is sent on another connection only once its own has ended. */
        final boolean staysOnConnection;

        int transmissions;

        PendingRelease(
                String tag,
                byte[] message,
                long connectionId,
                Moment endedAt,
                Runnable onAcknowledged,
                Owner owner,
                boolean staysOnConnection) {
            this.owner = owner;
            ownConnectionId = connectionId;
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
    /** The tags of pending releases, the oldest first; a flood of the latter displaces none of the former. */
    private final Set<String> confirmedTags = new LinkedHashSet<>();

    private final Set<String> unconfirmedTags = new LinkedHashSet<>();

    ReleaseSender(TimerWheel wheel, OutboundMessages outbound, ContactCounters counters) {
        this.wheel = wheel;
        this.outbound = outbound;
        this.counters = counters;
    }

    int pendingCount() {
        return pendingByTag.size();
    }

    /**
     * A caller has answered the release. That it does not know the contact counts on the connection of the set-up only:
     * releases are sent to other callers too.
     */
    void answered(long connectionId, String tag, boolean knowsContact) {
        PendingRelease pending = pendingByTag.get(tag);
        if (pending != null && (knowsContact || connectionId == pending.ownConnectionId)) {
            remove(pending);
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
        add(tag, calledNumber, q850Cause, connectionId, onAcknowledged, Owner.CONFIRMED, false);
    }

    /** Sends a release as {@link #release}, of a contact that only its caller speaks of. */
    void releaseUnconfirmed(String tag, String calledNumber, int q850Cause, long connectionId) {
        add(tag, calledNumber, q850Cause, connectionId, () -> {}, Owner.UNCONFIRMED, false);
    }

    /**
     * Sends the release of a contact whose caller is not known to all callers, until one acknowledges that it knows the
     * contact or the lifetime of the release has passed.
     */
    void search(String tag, int q850Cause, Runnable onAcknowledged) {
        add(tag, UNKNOWN_NUMBER, q850Cause, NO_CONNECTION, onAcknowledged, Owner.UNKNOWN, false);
    }

    /**
     * Sends a release as {@link #release}, on other connections only once its own has ended: what a caller leaves without
     * answer there is no reason to ask all others.
     */
    void releaseOnConnection(String tag, String calledNumber, int q850Cause, long connectionId) {
        add(tag, calledNumber, q850Cause, connectionId, () -> {}, Owner.UNCONFIRMED, true);
    }

    private void add(
            String tag,
            String calledNumber,
            int q850Cause,
            long connectionId,
            Runnable onAcknowledged,
            Owner owner,
            boolean staysOnConnection) {
        Set<String> ofItsKind = owner == Owner.UNCONFIRMED ? unconfirmedTags : confirmedTags;
        if (ofItsKind.size() >= (owner == Owner.UNCONFIRMED ? MAX_UNCONFIRMED_RELEASES : MAX_CONFIRMED_RELEASES)) {
            PendingRelease oldest = pendingByTag.get(ofItsKind.iterator().next());
            outbound.log("releases", "too many unacknowledged releases; dropping the oldest: " + describe(oldest));
            giveUp(oldest);
        }
        PendingRelease pending = new PendingRelease(
                tag,
                CallerMessages.release(tag, calledNumber, q850Cause),
                connectionId,
                wheel.now(),
                onAcknowledged,
                owner,
                staysOnConnection);
        PendingRelease previous = pendingByTag.put(tag, pending);
        if (previous != null) {
            tagsOf(previous).remove(tag);
        }
        ofItsKind.add(tag);
        counters.releases++;
        transmitUntilAcknowledged(pending);
    }

    /**
     * A caller's connection has ended: an unacknowledged release last sent on it may not have arrived, so it is sent
     * again at once.
     */
    void callerConnectionEnded(long connectionId) {
        for (PendingRelease pending : List.copyOf(pendingByTag.values())) {
            if (pending.owner != Owner.UNKNOWN && pending.connectionId == connectionId && pending.transmissions > 0) {
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
        Span interval = pending.retransmitInterval();
        if (pending.owner == Owner.UNKNOWN) {
            interval = transmitToNextCallers(pending);
        } else {
            transmit(pending);
        }
        wheel.scheduleAfter(interval, () -> transmitUntilAcknowledged(pending));
    }

    /** Sends a release to callers that it was not sent to; returns when to go on. */
    private Span transmitToNextCallers(PendingRelease pending) {
        for (int i = 0; i < SEARCH_BATCH; i++) {
            long connectionId = outbound.otherCallerConnection(pending.triedConnectionIds);
            if (connectionId == NO_CONNECTION || pending.triedConnectionIds.contains(connectionId)) {
                // All were asked; others may come, and the one that knows the contact may not have read yet.
                pending.triedConnectionIds.clear();
                return LATER_RETRANSMIT_INTERVAL;
            }
            pending.triedConnectionIds.add(connectionId);
            if (outbound.sendToCaller(connectionId, pending.message)) {
                transmitted(pending, connectionId);
            }
        }
        return SEARCH_INTERVAL;
    }

    private Set<String> tagsOf(PendingRelease pending) {
        return pending.owner == Owner.UNCONFIRMED ? unconfirmedTags : confirmedTags;
    }

    private void remove(PendingRelease pending) {
        pendingByTag.remove(pending.tag);
        tagsOf(pending).remove(pending.tag);
    }

    private void giveUp(PendingRelease pending) {
        remove(pending);
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
