package martenslip.platform.caller;

import java.util.LinkedHashMap;
import java.util.Map;
import martenslip.control.Span;

/**
 * The set-ups of one caller's connection: decides whether the connection is in use. A set-up is open from its receipt
 * until its final response has been written; after a 200 the connection stays in use until the caller's ACK has been
 * read, for a limited time.
 *
 * <p>Without I/O, threads or clock: times are values of {@link System#nanoTime} that the caller passes in. Thread-safe.
 */
final class ConnectionActivity {
    /** Open set-ups allowed on one connection. */
    static final int MAX_OPEN_SET_UPS = 256;

    /** A connection is idle if nothing was received or answered for this long. */
    static final Span MIN_IDLE = Span.ofMillis(400);

    /** How long a 200 that was written waits for its ACK. */
    static final Span ACK_TIMEOUT = Span.ofMillis(1000);

    /** An answer whose ACK has not come for this long is overdue: the caller gets no further call until it comes. */
    static final Span ACK_OVERDUE = Span.ofMillis(2000);

    /** Refusals in a row, without any call before them, that no caller needs who waits between its tries. */
    static final int MANY_REFUSALS = 64;

    /** How long an overdue ACK counts against the caller. */
    private static final Span MAX_OVERDUE_AGE = Span.ofMillis(10_000);

    /** Answers that may wait for their ACK; the oldest is no longer awaited when there is one more. */
    static final int MAX_UNACKNOWLEDGED = 256;

    private int openSetUps;
    /** Set-ups refused since the connection was accepted. */
    private int refusals;
    /** Whether the caller has acknowledged a 200, or named a contact that stands. */
    private boolean hasHadContact;

    private long lastReceivedNs;
    private long lastActivityNs;
    /** The time of each 200 whose ACK has not been read, by Call-ID, the oldest first. */
    private final Map<String, Long> answerTimesNs = new LinkedHashMap<>();

    /** The activity of a connection that was accepted at this time. */
    ConnectionActivity(long acceptedNs) {
        lastReceivedNs = acceptedNs;
        lastActivityNs = acceptedNs;
    }

    /** A whole message was received. */
    synchronized void messageReceived(long nowNs) {
        lastReceivedNs = nowNs;
        lastActivityNs = nowNs;
    }

    /** Adds an open set-up; returns false where {@link #MAX_OPEN_SET_UPS} are open already. */
    synchronized boolean addSetUp() {
        if (openSetUps >= MAX_OPEN_SET_UPS) {
            return false;
        }
        openSetUps++;
        return true;
    }

    /** An open set-up needs no final response. */
    synchronized void setUpEnded() {
        openSetUps--;
    }

    /** The 200 of an open set-up was queued. */
    synchronized void answerQueued(String callId, long nowNs) {
        forgetUnacknowledged(nowNs);
        if (answerTimesNs.size() >= MAX_UNACKNOWLEDGED) {
            answerTimesNs.remove(answerTimesNs.keySet().iterator().next());
        }
        answerTimesNs.put(callId, nowNs);
    }

    /** The caller has named a contact that stands. */
    synchronized void contactNamed() {
        hasHadContact = true;
    }

    /** The final response of an open set-up was written, or its connection has ended. */
    synchronized void finalResponseWritten(String callId, long nowNs) {
        openSetUps--;
        lastActivityNs = nowNs;
        refusals += answerTimesNs.containsKey(callId) ? 0 : 1;
        // An ACK may be read before the writing thread gets here: it has removed the entry.
        answerTimesNs.computeIfPresent(callId, (key, queuedNs) -> nowNs);
    }

    /** A message of the caller shows that it has received the 200 of this set-up. */
    synchronized void acknowledged(String callId) {
        hasHadContact |= answerTimesNs.remove(callId) != null;
    }

    /** The number of set-ups whose final response has not been written. */
    synchronized int openSetUpCount() {
        return openSetUps;
    }

    /** The number of answers that wait for their ACK. */
    synchronized int unacknowledgedCount(long nowNs) {
        return (int) answerTimesNs.values().stream()
                .filter(answeredNs -> nowNs - answeredNs <= ACK_TIMEOUT.ns())
                .count();
    }

    /** Whether the caller has left an answer without its ACK for {@link #ACK_OVERDUE}. */
    synchronized boolean hasOverdueAck(long nowNs) {
        forgetUnacknowledged(nowNs);
        return answerTimesNs.values().stream().anyMatch(answeredNs -> nowNs - answeredNs > ACK_OVERDUE.ns());
    }

    /** Whether no set-up is open and no ACK is awaited. */
    synchronized boolean isSettled(long nowNs) {
        return openSetUps <= 0 && unacknowledgedCount(nowNs) == 0;
    }

    /** Whether the connection is settled and nothing was received or answered for {@link #MIN_IDLE}. */
    synchronized boolean isIdle(long nowNs) {
        return isSettled(nowNs) && nowNs - lastActivityNs > MIN_IDLE.ns();
    }

    /** Whether the connection is settled and its caller has got nothing but refusals. */
    synchronized boolean isOnlyRefused(long nowNs) {
        return refusals > 0 && !hasHadContact && isSettled(nowNs);
    }

    /**
     * Whether the caller keeps the connection from settling though it has nothing to show for it: answers without ACK, or
     * {@link #MANY_REFUSALS} and no call.
     */
    synchronized boolean isAbusive(long nowNs) {
        return hasOverdueAck(nowNs) || refusals >= MANY_REFUSALS && !hasHadContact && unacknowledgedCount(nowNs) == 0;
    }

    /** The time of the last message received, or of the acceptance before the first. */
    synchronized long lastReceivedNs() {
        return lastReceivedNs;
    }

    /** The time of the last message received or final response written. */
    synchronized long lastActivityNs() {
        return lastActivityNs;
    }

    private void forgetUnacknowledged(long nowNs) {
        answerTimesNs.values().removeIf(answeredNs -> nowNs - answeredNs > MAX_OVERDUE_AGE.ns());
    }
}
