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
    private static final Span AGAIN = Span.ofMillis(400);

    private static final int MOST_SAID = 6;
    private static final int MOST_RELEASES = 4096;

    /** A release that a caller has not been heard to take. */
    private static final class PendingRelease {
        final String tag;
        final byte[] message;
        /** The connection that it was said on last; the next time another is taken, where there is one. */
        long line;

        int said;

        PendingRelease(String tag, byte[] message, long line) {
            this.tag = tag;
            this.message = message;
            this.line = line;
        }
    }

    private final TimerWheel wheel;
    private final OutboundMessages out;
    private final Map<String, PendingRelease> unheard = new LinkedHashMap<>();

    ReleaseSender(TimerWheel wheel, OutboundMessages out) {
        this.wheel = wheel;
        this.out = out;
    }

    int unheard() {
        return unheard.size();
    }

    /** The caller has taken it, or knows nothing of it. */
    void heard(String tag) {
        unheard.remove(tag);
    }

    void release(String tag, String key, int cause, long line) {
        if (unheard.size() >= MOST_RELEASES) {
            out.log("releases", "too many releases unheard, the oldest is dropped");
            unheard.remove(unheard.keySet().iterator().next());
        }
        PendingRelease one = new PendingRelease(tag, CallerMessages.release(tag, key, cause), line);
        unheard.put(tag, one);
        say(one);
    }

    /** A connection is over: what was said on it last, and not heard, may never have come through. */
    void lineOver(long line) {
        for (PendingRelease one : List.copyOf(unheard.values())) {
            if (one.line == line && one.said > 0) {
                again(one);
            }
        }
    }

    private void say(PendingRelease one) {
        if (unheard.get(one.tag) != one) {
            return;
        }
        again(one);
        if (one.said >= MOST_SAID) {
            out.log("unheard", "the release of " + one.tag + " was said " + one.said + " times and not heard");
            unheard.remove(one.tag);
            return;
        }
        wheel.scheduleAfter(AGAIN, () -> say(one));
    }

    private void again(PendingRelease one) {
        if (one.said == 0 && out.sendToCaller(one.line, one.message)) {
            one.said++;
            return;
        }
        long other = out.anyConnection(one.line);
        if (other != 0 && out.sendToCaller(other, one.message)) {
            one.line = other;
            one.said++;
        }
    }
}
