package martenslip.sip.transaction;

import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Hop;

/**
 * Server transactions: INVITE (RFC 3261 17.2.1, with the Accepted state of RFC 6026 7.1) and all others (17.2.2).
 * Retransmitted requests are handled here and never reach the user. Owned by the thread of its
 * {@link TransactionLayer}.
 */
public final class ServerTransaction extends Transaction {
    /** States of RFC 3261 17.2 and RFC 6026 7.1. */
    public enum State {
        TRYING,
        PROCEEDING,
        COMPLETED,
        CONFIRMED,
        ACCEPTED,
        TERMINATED
    }

    private final Request request;
    private final Hop from;
    private final Moment receivedAt;
    private Hop responseHop;
    private final boolean isInvite;
    final String key;
    private State state;
    private byte[] lastResponse;
    private Span retransmitInterval;
    private Object attachment;

    ServerTransaction(
            TransactionLayer layer, String key, Request request, Hop from, Hop responseHop, Moment receivedAt) {
        super(layer);
        this.key = key;
        this.request = request;
        this.from = from;
        this.responseHop = responseHop;
        this.receivedAt = receivedAt;
        isInvite = request.hasMethod("INVITE");
        state = isInvite ? State.PROCEEDING : State.TRYING;
        retransmitInterval = layer.timers.t1();
    }

    /** The request that began the transaction. */
    public Request request() {
        return request;
    }

    /** Address that the request came from. */
    public Hop from() {
        return from;
    }

    /** When the last byte of the request was read; a request may wait for its thread. */
    public Moment receivedAt() {
        return receivedAt;
    }

    /** The current state. */
    public State state() {
        return state;
    }

    /** True while no response to the INVITE has been sent. */
    public boolean isUnanswered() {
        return state == State.PROCEEDING && lastResponse == null;
    }

    /** Attaches an object of the user, to be found again when a CANCEL arrives or the transaction ends. */
    public void attach(Object newAttachment) {
        attachment = newAttachment;
    }

    /** The attached object, or null. */
    public Object attached() {
        return attachment;
    }

    /**
     * Sends a response. Returns false without sending for a second final response and for any response after the end; a
     * retransmitted 2xx to an INVITE is sent.
     */
    public boolean respond(Response response) {
        boolean open = state == State.TRYING || state == State.PROCEEDING;
        boolean isRetransmitted2xx = state == State.ACCEPTED && response.isSuccess();
        if (!open && !isRetransmitted2xx) {
            return false;
        }
        byte[] bytes = response.bytes();
        send(bytes);
        if (response.isProvisional()) {
            state = State.PROCEEDING;
            lastResponse = bytes;
        } else if (!isInvite) {
            state = State.COMPLETED;
            lastResponse = bytes;
            terminateAfter(from.isReliable() ? Span.ZERO : layer.timers.transactionTimeout());
        } else if (response.isSuccess()) {
            if (state != State.ACCEPTED) {
                state = State.ACCEPTED;
                // The transaction lasts 64 T1 longer; a response that it will not retransmit is not kept on the heap.
                lastResponse = null;
                terminateAfter(layer.timers.transactionTimeout());
            }
        } else {
            state = State.COMPLETED;
            lastResponse = bytes;
            endTimer = layer.timerWheel.scheduleCoarse(layer.timers.transactionTimeout(), this::terminate);
            if (!from.isReliable()) {
                retransmitTimer = layer.timerWheel.scheduleAfter(retransmitInterval, this::retransmit);
            }
        }
        return true;
    }

    /**
     * Restores a transaction of another thread in the Accepted state: retransmitted INVITEs are absorbed, and the 2xx
     * is not sent.
     */
    public void restoreAccepted() {
        state = State.ACCEPTED;
        terminateAfter(layer.timers.transactionTimeout());
    }

    /**
     * Restores a transaction of another thread after its refusal was sent: the refusal is retransmitted until
     * acknowledged and in response to a retransmitted request.
     */
    public void restoreRefused(Response response) {
        state = State.COMPLETED;
        lastResponse = response.bytes();
        endTimer = layer.timerWheel.scheduleCoarse(layer.timers.transactionTimeout(), this::terminate);
        if (!from.isReliable()) {
            retransmitTimer = layer.timerWheel.scheduleAfter(retransmitInterval, this::retransmit);
        }
    }

    /** Retransmits the final response on timer G. */
    private void retransmit() {
        if (state == State.COMPLETED) {
            send(lastResponse);
            retransmitInterval = layer.timers.nextInterval(retransmitInterval);
            retransmitTimer = layer.timerWheel.scheduleAfter(retransmitInterval, this::retransmit);
        }
    }

    void requestRetransmitted() {
        // In Accepted the dialog retransmits the 2xx (RFC 6026 7.1); in Confirmed no response is pending.
        if (lastResponse != null && (state == State.PROCEEDING || state == State.COMPLETED)) {
            send(lastResponse);
        }
    }

    /** Sends over the connection that the request came by; if that has ended, over a new one (RFC 3261 18.2.2). */
    private void send(byte[] bytes) {
        if (!layer.sender.send(bytes, responseHop) && responseHop.isReliable()) {
            Hop fallback = TransactionLayer.newConnectionHop(request, responseHop);
            if (fallback != null) {
                responseHop = fallback;
                layer.sender.send(bytes, responseHop);
            }
        }
    }

    /** Handles the ACK of a final response other than 2xx. */
    void ackReceived() {
        if (state == State.COMPLETED && isInvite) {
            state = State.CONFIRMED;
            terminateAfter(from.isReliable() ? Span.ZERO : layer.timers.t4());
        }
    }

    /** Resends a final response that was not acknowledged, as it may have been lost with the connection. */
    void connectionLost(Hop lostHop) {
        boolean affected = responseHop.isReliable() && responseHop.connectionId() == lostHop.connectionId();
        if (affected && state == State.COMPLETED && lastResponse != null) {
            send(lastResponse);
        }
    }

    /** True if an ACK belongs to this transaction and not to a 2xx. */
    boolean absorbsAck() {
        return isInvite && (state == State.COMPLETED || state == State.CONFIRMED);
    }

    @Override
    void terminate() {
        stopTimers();
        state = State.TERMINATED;
        layer.remove(this);
    }
}
