package martenslip.platform.contact;

import martenslip.control.Moment;
import martenslip.eventloop.TimerWheel;
import martenslip.platform.contact.NamedContacts.NamedContact;
import martenslip.sip.transport.QueuedMessage;

/**
 * The state of one contact. It is open until its final answer and established after a 200. It may outlast a refusal
 * while an attempt has not ended.
 */
final class TrackedContact {
    /**
     * One ring in flight. {@code queuedStart} is null where no connection could be had or the caller had already gone,
     * and for a contact that was inherited as established.
     */
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

        /** Revokes the START; true where no byte of it has been or will be written. */
        boolean revoke() {
            return queuedStart == null || queuedStart.message().revoke();
        }
    }

    /** Ring number of a contact that its caller has named as established; the routing module does not know it. */
    static final int INHERITED = -1;

    /** Id of a contact that the routing module does not know. */
    private static final long NO_ID = 0;

    final long id;
    final String tag;
    final String calledNumber;
    final long callerConnectionId;
    SetUpRequest setUpRequest;
    TimerWheel.Timer answerDeadlineTimer;
    int attemptCount;
    Attempt attempt;
    /** Whether the START of an attempt was written: a switch may have run the contact. */
    boolean wasForwarded;

    boolean isOpen = true;
    /** What its set-up occupies while it is open. */
    long openBytes;

    boolean isEstablished;
    boolean isAcknowledged;
    /** Number of the switch's connection that brought the answer; 0 for an inherited contact. */
    long connectionNumber;
    /** Whether the operators' log has told that no connection of the time of the answer is left. */
    boolean isLoggedAsUnconfirmed;
    /** Where the contact stands: another switch than that of its attempt if that has taken its address. */
    long establishedSwitchId;

    TrackedContact(long id, SetUpRequest setUpRequest) {
        this.id = id;
        this.setUpRequest = setUpRequest;
        tag = setUpRequest.tag();
        calledNumber = setUpRequest.calledNumber();
        callerConnectionId = setUpRequest.connectionId();
    }

    /** A contact that its caller has named as established. */
    TrackedContact(NamedContact named, Moment now) {
        id = NO_ID;
        tag = named.tag();
        calledNumber = named.calledNumber();
        callerConnectionId = named.connectionId();
        attempt = new Attempt(INHERITED, named.switchId(), null, now);
        isOpen = false;
        isEstablished = true;
        isAcknowledged = true;
        establishedSwitchId = named.switchId();
    }

    /** Whether the contact was taken over as established, as its caller has named it. */
    boolean isInherited() {
        return attempt != null && attempt.ringNumber == INHERITED;
    }

    /** The switch that the contact's messages are exchanged with; there must be an attempt. */
    long switchId() {
        return isEstablished ? establishedSwitchId : attempt.switchId;
    }
}
