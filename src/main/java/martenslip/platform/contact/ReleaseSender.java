package martenslip.platform.contact;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;

/**
 * Releases toward callers of what stood and is over: said on the connection of the set-up, else on any caller's, and
 * again until they are heard. The deciding thread's.
 */
final class ReleaseSender {
    /** How often releases are said again to callers who were not heard to take them, and how often at most. */
    private static final Span RETRANSMIT_INTERVAL = Span.ofMillis(400);

    private static final int MAX_TRANSMISSIONS = 6;
    private static final int MAX_PENDING_RELEASES = 4096;

    /** A release that a caller has not been heard to take. */
    private static final class PendingRelease {
        final String tag;
        final byte[] message;
        /** The connection that it was said on last; the next time another is taken, where there is one. */
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

    /** The caller has taken it, or knows nothing of it. */
    void acknowledged(String tag) {
        pendingByTag.remove(tag);
    }

    void release(String tag, String calledNumber, int q850Cause, long connectionId) {
        if (pendingByTag.size() >= MAX_PENDING_RELEASES) {
            outbound.log("releases", "too many releases unheard, the oldest is dropped");
            pendingByTag.remove(pendingByTag.keySet().iterator().next());
        }
        PendingRelease pending =
                new PendingRelease(tag, CallerMessages.release(tag, calledNumber, q850Cause), connectionId);
        pendingByTag.put(tag, pending);
        transmitUntilAcknowledged(pending);
    }

    /** A connection is over: what was said on it last, and not heard, may never have come through. */
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
                    "the release of " + pending.tag + " was said " + pending.transmissions + " times and not heard");
            pendingByTag.remove(pending.tag);
            return;
        }
        wheel.scheduleAfter(RETRANSMIT_INTERVAL, () -> transmitUntilAcknowledged(pending));
    }

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
