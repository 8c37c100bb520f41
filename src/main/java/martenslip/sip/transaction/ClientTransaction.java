package martenslip.sip.transaction;

import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.Headers;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Hop;

/**
 * Client transactions: INVITE (RFC 3261 17.1.1, with the Accepted state of RFC 6026 7.2) and all others (17.1.2). Owned
 * by the thread of its {@link TransactionLayer}.
 */
public final class ClientTransaction extends Transaction {
    /** States of RFC 3261 17.1 and RFC 6026 7.2; CALLING is the Trying state of non-INVITE transactions. */
    public enum State {
        CALLING,
        PROCEEDING,
        COMPLETED,
        ACCEPTED,
        TERMINATED
    }

    private final Request request;
    private final ClientTransactionUser user;
    private final boolean isInvite;
    private Hop hop;
    private byte[] requestBytes;
    private String branch;
    private byte[] ack;
    private State state = State.CALLING;
    private Moment sentAt;
    private Span retransmitInterval;
    private boolean retransmissionsStopped;
    /** The request goes over TCP only because of its size. */
    private boolean tcpForSize;

    ClientTransaction(
            TransactionLayer layer,
            Request request,
            byte[] requestBytes,
            String branch,
            Hop hop,
            boolean tcpForSize,
            ClientTransactionUser user) {
        super(layer);
        this.requestBytes = requestBytes;
        this.branch = branch;
        this.tcpForSize = tcpForSize;
        this.request = request;
        this.hop = hop;
        this.user = user;
        isInvite = request.hasMethod("INVITE");
        retransmitInterval = layer.timers.t1();
    }

    /** The request, complete with its Via. */
    public Request request() {
        return request;
    }

    /** Address that the request was sent to; a CANCEL goes to the same one (RFC 3261 9.1). */
    public Hop hop() {
        return hop;
    }

    /** The current state. */
    public State state() {
        return state;
    }

    String key() {
        return TransactionLayer.clientKey(branch, request.method());
    }

    void start() {
        user.beforeSend(this);
        sentAt = layer.timerWheel.now();
        endTimer = layer.timerWheel.scheduleAfter(layer.timers.transactionTimeout(), this::timedOut);
        if (!layer.sender.send(requestBytes, hop)) {
            // Reported from the next turn of the timer wheel, as the sender has not returned from its own call yet.
            layer.timerWheel.scheduleAt(layer.timerWheel.now(), () -> fail(RequestFailure.NO_CONNECTION));
        } else if (!hop.isReliable()) {
            retransmitTimer = layer.timerWheel.scheduleAfter(retransmitInterval, this::retransmit);
        }
    }

    /** Retransmits the request on timers A and E. */
    private void retransmit() {
        boolean due = state == State.CALLING || state == State.PROCEEDING && !isInvite;
        if (!due || retransmissionsStopped) {
            return;
        }
        layer.sender.send(requestBytes, hop);
        retransmitInterval = isInvite
                ? retransmitInterval.times(2)
                : state == State.PROCEEDING ? layer.timers.t2() : layer.timers.nextInterval(retransmitInterval);
        retransmitTimer = layer.timerWheel.scheduleAfter(retransmitInterval, this::retransmit);
    }

    /**
     * Stops retransmissions after the user has cancelled the request before any response. A late response is still
     * handled.
     */
    public void stopRetransmissions() {
        retransmissionsStopped = true;
    }

    /**
     * Restarts the timeout after a CANCEL: without a final response the transaction ends after 64 T1 (RFC 3261 9.1).
     */
    public void endAfterTimeout() {
        if (state == State.CALLING || state == State.PROCEEDING) {
            stopTimers();
            endTimer = layer.timerWheel.scheduleAfter(layer.timers.transactionTimeout(), this::timedOut);
        }
    }

    void handleResponse(Response response) {
        if (response.isProvisional()) {
            if (state == State.CALLING || state == State.PROCEEDING) {
                state = State.PROCEEDING;
                if (isInvite) {
                    // The user decides how long an INVITE may ring (RFC 3261 17.1.1.2: timer B ends here).
                    stopTimers();
                }
                user.responseReceived(this, response);
            }
            return;
        }
        if (isInvite) {
            handleInviteFinalResponse(response);
        } else if (state != State.COMPLETED) {
            state = State.COMPLETED;
            terminateAfter(hop.isReliable() ? Span.ZERO : layer.timers.t4());
            user.responseReceived(this, response);
        }
    }

    private void handleInviteFinalResponse(Response response) {
        if (response.isSuccess()) {
            if (state == State.COMPLETED) {
                return;
            }
            if (state != State.ACCEPTED) {
                state = State.ACCEPTED;
                terminateAfter(layer.timers.transactionTimeout());
            }
            user.responseReceived(this, response);
            return;
        }
        if (state == State.COMPLETED) {
            layer.sender.send(ack, hop);
        } else if (state != State.ACCEPTED) {
            state = State.COMPLETED;
            ack = createAck(response).bytes();
            layer.sender.send(ack, hop);
            terminateAfter(hop.isReliable() ? Span.ZERO : layer.timers.timerD());
            user.responseReceived(this, response);
        }
    }

    /** The ACK of a final response other than 2xx, which is part of the transaction (RFC 3261 17.1.1.3). */
    private Request createAck(Response response) {
        Headers headers = new Headers();
        headers.add("Via", request.headers().first("Via"));
        headers.copyFrom(request.headers(), "Route");
        headers.add("Max-Forwards", "70").add("From", request.headers().first("From"));
        headers.add("To", response.headers().first("To")).add("Call-ID", request.callId());
        headers.add("CSeq", cseqNumber() + " ACK");
        return new Request("ACK", request.uri(), headers);
    }

    /** A CANCEL for this INVITE: same branch, no tag added (RFC 3261 9.1). */
    public Request createCancel(String reason) {
        Headers headers = new Headers();
        headers.add("Via", request.headers().first("Via"));
        headers.copyFrom(request.headers(), "Route");
        headers.add("Max-Forwards", "70").add("From", request.headers().first("From"));
        headers.add("To", request.headers().first("To")).add("Call-ID", request.callId());
        headers.add("CSeq", cseqNumber() + " CANCEL");
        if (reason != null) {
            headers.add("Reason", reason);
        }
        return new Request("CANCEL", request.uri(), headers);
    }

    private long cseqNumber() {
        try {
            return request.cseq().number();
        } catch (InvalidValueException e) {
            throw new IllegalStateException("own request without CSeq", e);
        }
    }

    void connectionLost(boolean wasEstablished, Hop lostHop) {
        boolean affected = hop.isReliable()
                && (hop.connectionId() == 0
                        ? hop.address().equals(lostHop.address())
                        : hop.connectionId() == lostHop.connectionId());
        if (!affected || state != State.CALLING && state != State.PROCEEDING) {
            return;
        }
        if (!wasEstablished && tcpForSize) {
            tcpForSize = false;
            layer.retryOverUdp(this);
            return;
        }
        fail(wasEstablished ? RequestFailure.BROKEN : RequestFailure.NO_CONNECTION);
    }

    /** Falls back to UDP after TCP, chosen only for the size of the request, was not available (RFC 3261 18.1.1). */
    void resendOverUdp(String via, String newBranch, Hop newHop) {
        request.headers().set("Via", via);
        branch = newBranch;
        hop = newHop;
        requestBytes = request.bytes();
        layer.sender.send(requestBytes, hop);
        retransmitTimer = layer.timerWheel.scheduleAfter(retransmitInterval, this::retransmit);
    }

    /** Restores a transaction of another thread in the Accepted state, in which it receives retransmitted 2xx. */
    void restoreAccepted() {
        state = State.ACCEPTED;
        terminateAfter(layer.timers.transactionTimeout());
    }

    private void timedOut() {
        if (state == State.CALLING && hop.isReliable()) {
            layer.sender.requestUnanswered(hop, sentAt);
        }
        fail(RequestFailure.TIMED_OUT);
    }

    void fail(RequestFailure reason) {
        if (state == State.CALLING || state == State.PROCEEDING) {
            terminate();
            user.failed(this, reason);
        }
    }

    @Override
    void terminate() {
        stopTimers();
        state = State.TERMINATED;
        layer.remove(this);
    }
}
