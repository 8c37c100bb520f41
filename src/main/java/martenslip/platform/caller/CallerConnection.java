package martenslip.platform.caller;

import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import martenslip.control.Span;
import martenslip.platform.contact.CallerCancellation;
import martenslip.sip.transport.Connection;
import martenslip.sip.transport.OutgoingMessage;

/** One caller's connection with its open set-ups. It is closed for its idleness by the methods here only. */
final class CallerConnection {
    /**
     * The connections to close first: those that never sent a valid message, among them the one without activity for
     * the longest time.
     */
    static final Comparator<CallerConnection> EVICTION_ORDER =
            (first, second) -> first.hasSentValidMessage != second.hasSentValidMessage
                    ? Boolean.compare(first.hasSentValidMessage, second.hasSentValidMessage)
                    : Long.signum(first.activity.lastActivityNs() - second.activity.lastActivityNs());

    /** Answers by the reading thread in a row, and the time for each further one. */
    private static final int MAX_ANSWERS_HERE = 20;

    private static final Span ANSWER_HERE_INTERVAL = Span.ofMillis(50);

    final Connection connection;
    final ConnectionActivity activity;
    /** Cancellation marks of the open set-ups by Call-ID; a Call-ID names at most one of them. */
    final Map<String, CallerCancellation> cancellations = new ConcurrentHashMap<>();

    volatile boolean hasSentValidMessage;
    /** Its caller has answered a BYE, so it reads what is sent. */
    volatile boolean hasAnsweredRelease;

    int invalidMessages;
    /** Limits the answers that the reading thread gives by itself. */
    private final TokenBucket answersHere;

    private final LongSupplier clock;

    /** {@code clock} gives values of {@link System#nanoTime}. */
    CallerConnection(Connection connection, LongSupplier clock) {
        this.connection = connection;
        this.clock = clock;
        activity = new ConnectionActivity(clock.getAsLong());
        answersHere = new TokenBucket(MAX_ANSWERS_HERE, ANSWER_HERE_INTERVAL, clock.getAsLong());
    }

    /** Queues the 200 of a set-up, which stays open until it has been written; false if the connection has ended. */
    boolean sendAnswer(String callId, byte[] response) {
        activity.answerQueued(callId, clock.getAsLong());
        return sendFinalResponse(callId, response);
    }

    /** Queues a final response, whose set-up stays open until it has been written; false if the connection has ended. */
    boolean sendFinalResponse(String callId, byte[] response) {
        cancellations.remove(callId);
        return connection.send(
                OutgoingMessage.of(response, () -> activity.finalResponseWritten(callId, clock.getAsLong())));
    }

    /** The set-up needs no final response. */
    void setUpEnded(String callId) {
        cancellations.remove(callId);
        activity.setUpEnded();
    }

    /** Whether the connection may be closed to make room. Its unread input is not considered. */
    boolean isIdle() {
        return connection.isUnused(this::isActivityIdle);
    }

    /**
     * Whether anything is unread, unanswered, unwritten or unacknowledged. What waits for a peer that does not read
     * does not count.
     */
    boolean hasPendingWork() {
        return connection.hasUnreadInput() || !connection.isUnused(this::isActivitySettled);
    }

    /** Whether no set-up is open and no ACK is awaited. */
    boolean isActivitySettled() {
        return activity.isSettled(clock.getAsLong());
    }

    private boolean isActivityIdle() {
        return activity.isIdle(clock.getAsLong());
    }

    /** Closes the connection if it is idle and has no unread input; returns whether it did. */
    boolean closeIfIdle(String reason) {
        return connection.closeIfUnused(reason, this::isActivityIdle);
    }

    /** Whether the caller has left an answer without its ACK for too long to get a further call. */
    boolean hasOverdueAck() {
        return activity.hasOverdueAck(clock.getAsLong());
    }

    /** The time to wait before the next answer by the reading thread, after one more. */
    Span answeredHere() {
        return answersHere.take(clock.getAsLong());
    }

    /** Whether the connection may be closed for a new one though it is not idle. Its unread input is not considered. */
    boolean isWorthLessThanNewcomer() {
        return activity.isAbusive(clock.getAsLong()) || connection.isUnused(this::isOnlyRefused);
    }

    private boolean isOnlyRefused() {
        return activity.isOnlyRefused(clock.getAsLong());
    }

    /**
     * Closes the connection if its caller has got nothing but refusals and nothing is unread or open, or whatever is open
     * if it is abusive; returns whether it did.
     */
    boolean closeForNewcomer(String reason) {
        if (activity.isAbusive(clock.getAsLong())) {
            connection.close(reason);
            return true;
        }
        return connection.closeIfUnused(reason, this::isOnlyRefused);
    }

    /** Closes the connection if it has no pending work, however short it has been idle; returns whether it did. */
    boolean closeIfSettled(String reason) {
        return connection.closeIfUnused(reason, this::isActivitySettled);
    }
}
