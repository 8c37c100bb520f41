package martenslip.platform.desk;

import martenslip.control.Moment;
import martenslip.wheel.Wheel;

/**
 * A contact from its set-up until nothing of it is left: open until its final answer, then standing where that was
 * good. It may outlast its answer with a ring still out.
 */
final class Taken {
    /** A ring that is out; {@code connection} is 0 once the contact was inherited and none is known. */
    static final class Ring {
        final int number;
        final long target;
        final long connection;
        final Moment begun;
        Wheel.Timer limit;

        Ring(int number, long target, long connection, Moment begun) {
            this.number = number;
            this.target = target;
            this.connection = connection;
            this.begun = begun;
        }
    }

    final long id;
    final String tag;
    final String key;
    final long line;
    SetUp asked;
    Wheel.Timer lastWord;
    int rings;
    Ring ring;
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
