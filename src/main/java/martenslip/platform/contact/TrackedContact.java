package martenslip.platform.contact;

import martenslip.control.Moment;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.transport.QueuedMessage;

/**
 * A contact from its set-up until nothing of it is left: open until its final answer, then standing where that was
 * good. It may outlast its answer with an attempt still out.
 */
final class TrackedContact {
    /** An attempt that is out; {@code queued} is null where no connection could be had, or none is known. */
    static final class Attempt {
        final int number;
        final long target;
        final QueuedMessage queued;
        final Moment begun;
        TimerWheel.Timer limit;
        boolean givenUp;

        Attempt(int number, long target, QueuedMessage queued, Moment begun) {
            this.number = number;
            this.target = target;
            this.queued = queued;
            this.begun = begun;
        }

        long connection() {
            return queued == null ? 0 : queued.connectionId();
        }

        /** Takes it back; true where not a byte of it has been or will be written. */
        boolean revoked() {
            return queued == null || queued.message().revoke();
        }
    }

    final long id;
    final String tag;
    final String key;
    final long line;
    SetUpRequest asked;
    TimerWheel.Timer lastWord;
    int attempts;
    Attempt attempt;
    boolean open = true;
    boolean stands;
    boolean acknowledged;
    Moment stoodAt;

    TrackedContact(long id, SetUpRequest asked) {
        this.id = id;
        this.asked = asked;
        tag = asked.tag();
        key = asked.calledNumber();
        line = asked.connectionId();
    }
}
