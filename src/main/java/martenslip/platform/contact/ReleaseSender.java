package martenslip.platform.contact;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;

/**
 * Sends the releases of ended contacts to callers: on the connection of the set-up, else on any caller's connection,
 * and again until they are acknowledged. Belongs to the decision thread.
 */
final class ReleaseSender {
    /** How long an unacknowledged release waits until it is sent again. */
    private static final Span RETRANSMIT_INTERVAL = Span.ofMillis(400);

    private static final int MAX_TRANSMISSIONS = 6;
    private static final int MAX_PENDING_RELEASES = 4096;

    /** A release that its caller has not acknowledged. */
    private static final class PendingRelease {
        final String tag;
        final byte[] message;
        /** The connection it was last sent on; a retransmission takes another one where there is one. */
        long connectionId;

        int transmissions;

        PendingRelease(String tag, byte[] message, long connectionId) {
            this.tag = tag;
            this.message = message;
            this.connectionId = connectionId;
        }
    }

    private final TimerWheel wheel;
    private final OutboundMessages outbound;
    private final Map<String, PendingRelease> pendingByTag = new LinkedHashMap<>();

    ReleaseSender(TimerWheel wheel, OutboundMessages outbound) {
        this.wheel = wheel;
        this.outbound = outbound;
    }

    int pendingCount() {
        return pendingByTag.size();
    }

    /** The caller has acknowledged the release, or answered that it does not know the contact. */
    void acknowledged(String tag) {
        pendingByTag.remove(tag);
    }

    /** Sends a release and keeps it until it is acknowledged or has been sent often enough. */
    void release(String tag, String calledNumber, int q850Cause, long connectionId) {
        if (pendingByTag.size() >= MAX_PENDING_RELEASES) {
            outbound.log("releases", "too many unacknowledged releases; dropping the oldest");
            pendingByTag.remove(pendingByTag.keySet().iterator().next());
        }
        PendingRelease pending =
                new PendingRelease(tag, CallerMessages.release(tag, calledNumber, q850Cause), connectionId);
        pendingByTag.put(tag, pending);
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
        transmit(pending);
        if (pending.transmissions >= MAX_TRANSMISSIONS) {
            outbound.log(
                    "unheard",
                    "the release of " + pending.tag + " was sent " + pending.transmissions
                            + " times without an answer");
            pendingByTag.remove(pending.tag);
            return;
        }
        wheel.scheduleAfter(RETRANSMIT_INTERVAL, () -> transmitUntilAcknowledged(pending));
    }

    /**
     * The first transmission tries the given connection; all others, and a first one that fails, take another
     * connection.
     */
    private void transmit(PendingRelease pending) {
        if (pending.transmissions == 0 && outbound.sendToCaller(pending.connectionId, pending.message)) {
            pending.transmissions++;
            return;
        }
        long otherConnectionId = outbound.otherCallerConnection(pending.connectionId);
        if (otherConnectionId != 0 && outbound.sendToCaller(otherConnectionId, pending.message)) {
            pending.connectionId = otherConnectionId;
            pending.transmissions++;
        }
    }
}
