package martenslip.platform.desk;

import martenslip.control.Moment;
import martenslip.sip.transport.Queued;
import martenslip.wheel.Wheel;

/**
 * A contact from its set-up until nothing of it is left: open until its final answer, then standing where that was
 * good. It may outlast its answer with an attempt still out.
 */
final class Taken {
    /** An attempt that is out; {@code queued} is null where no connection could be had, or none is known. */
    static final class Attempt {
        final int number;
        final long target;
        final Queued queued;
        final Moment begun;
        Wheel.Timer limit;
        boolean givenUp;

        Attempt(int number, long target, Queued queued, Moment begun) {
            this.number = number;
            this.target = target;
            this.queued = queued;
            this.begun = begun;
        }

        long connection() {
            return queued == null ? 0 : queued.connection();
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
    SetUp asked;
    Wheel.Timer lastWord;
    int attempts;
    Attempt attempt;
    boolean open = true;
    boolean stands;
    boolean acknowledged;
    Moment stoodAt;

    Taken(long id, SetUp asked) {
        this.id = id;
        this.asked = asked;
        tag = asked.tag();
        key = asked.key();
        line = asked.line();
    }
}
