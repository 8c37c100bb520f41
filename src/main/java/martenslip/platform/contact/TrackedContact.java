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
        final int ringNumber;
        final long switchId;
        final QueuedMessage queuedStart;
        final Moment startedAt;
        TimerWheel.Timer timeLimitTimer;
        boolean isCancelled;

        Attempt(int ringNumber, long switchId, QueuedMessage queuedStart, Moment startedAt) {
            this.ringNumber = ringNumber;
            this.switchId = switchId;
            this.queuedStart = queuedStart;
            this.startedAt = startedAt;
        }

        long switchConnectionId() {
            return queuedStart == null ? 0 : queuedStart.connectionId();
        }

        /** Takes it back; true where not a byte of it has been or will be written. */
        boolean revoke() {
            return queuedStart == null || queuedStart.message().revoke();
        }
    }

    final long id;
    final String tag;
    final String calledNumber;
    final long callerConnectionId;
    SetUpRequest setUpRequest;
    TimerWheel.Timer answerDeadlineTimer;
    int attemptCount;
    Attempt attempt;
    boolean isOpen = true;
    boolean isEstablished;
    boolean isAcknowledged;
    Moment establishedAt;

    TrackedContact(long id, SetUpRequest setUpRequest) {
        this.id = id;
        this.setUpRequest = setUpRequest;
        tag = setUpRequest.tag();
        calledNumber = setUpRequest.calledNumber();
        callerConnectionId = setUpRequest.connectionId();
    }
}
