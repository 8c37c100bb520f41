package martenslip.sip.transaction;

import martenslip.control.Span;
import martenslip.sip.message.Headers;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Hop;

/**
 * Client transactions: INVITE (RFC 3261 17.1.1, with the Accepted state of RFC 6026 7.2) and all others
 * (17.1.2). Owned by the thread of its {@link TransactionLayer}.
 */
public final class ClientTransaction extends Transaction {
    public enum State {
        CALLING,
        PROCEEDING,
        COMPLETED,
        ACCEPTED,
        TERMINATED
    }

    private final Request request;
    private final ClientTransactionUser asker;
    private final boolean invite;
    private Hop hop;
    private byte[] bytes;
    private String branch;
    private byte[] ack;
    private State state = State.CALLING;
    private Span gap;
    private boolean mute;
    /** It goes by TCP only as it is large. */
    private boolean forSize;

    ClientTransaction(
            TransactionLayer layer,
            Request request,
            byte[] bytes,
            String branch,
            Hop hop,
            boolean forSize,
            ClientTransactionUser asker) {
        super(layer);
        this.bytes = bytes;
        this.branch = branch;
        this.forSize = forSize;
        this.request = request;
        this.hop = hop;
        this.asker = asker;
        invite = request.hasMethod("INVITE");
        gap = layer.timers.t1();
    }

    public Request request() {
        return request;
    }

    /** Where the request went; a CANCEL goes the same way (RFC 3261 9.1). */
    public Hop hop() {
        return hop;
    }

    public State state() {
        return state;
    }

    String key() {
        return TransactionLayer.clientKey(branch, request.method());
    }

    void start() {
        asker.beforeSend(this);
        end = layer.wheel.scheduleAfter(layer.timers.transactionTimeout(), () -> fail(RequestFailure.TIMED_OUT));
        if (!layer.out.send(bytes, hop)) {
            // Told by the next turn of the wheel: whoever sent it is still amid its own call.
            layer.wheel.scheduleAt(layer.wheel.now(), () -> fail(RequestFailure.NO_CONNECTION));
        } else if (!hop.isReliable()) {
            repeat = layer.wheel.scheduleAfter(gap, this::again);
        }
    }

    /** Timers A and E. */
    private void again() {
        boolean due = state == State.CALLING || state == State.PROCEEDING && !invite;
        if (!due || mute) {
            return;
        }
        layer.out.send(bytes, hop);
        gap = invite ? gap.times(2) : state == State.PROCEEDING ? layer.timers.t2() : layer.timers.nextInterval(gap);
        repeat = layer.wheel.scheduleAfter(gap, this::again);
    }

    /**
     * Sends no repeats any more, where the asker has given it up before any response came: nothing of it is to
     * go out after that, but a late response is still met as it should be.
     */
    public void stopRetransmissions() {
        mute = true;
    }

    /** After a CANCEL: without a final response it ends when timer B would have passed (RFC 3261 9.1). */
    public void endAfterTimeout() {
        if (state == State.CALLING || state == State.PROCEEDING) {
            stop();
            end = layer.wheel.scheduleAfter(layer.timers.transactionTimeout(), () -> fail(RequestFailure.TIMED_OUT));
        }
    }

    void response(Response response) {
        if (response.isProvisional()) {
            if (state == State.CALLING || state == State.PROCEEDING) {
                state = State.PROCEEDING;
                if (invite) {
                    // How long an INVITE may ring is its user's to say (RFC 3261 17.1.1.2: B ends here).
                    stop();
                }
                asker.responseReceived(this, response);
            }
            return;
        }
        if (invite) {
            finalToInvite(response);
        } else if (state != State.COMPLETED) {
            state = State.COMPLETED;
            linger(hop.isReliable() ? Span.ZERO : layer.timers.t4());
            asker.responseReceived(this, response);
        }
    }

    private void finalToInvite(Response response) {
        if (response.isSuccess()) {
            if (state == State.COMPLETED) {
                return;
            }
            if (state != State.ACCEPTED) {
                state = State.ACCEPTED;
                linger(layer.timers.transactionTimeout());
            }
            asker.responseReceived(this, response);
            return;
        }
        if (state == State.COMPLETED) {
            layer.out.send(ack, hop);
        } else if (state != State.ACCEPTED) {
            state = State.COMPLETED;
            ack = ackFor(response).bytes();
            layer.out.send(ack, hop);
            linger(hop.isReliable() ? Span.ZERO : layer.timers.timerD());
            asker.responseReceived(this, response);
        }
    }

    /** The ACK of a final response other than 2xx is part of the transaction (RFC 3261 17.1.1.3). */
    private Request ackFor(Response response) {
        Headers headers = new Headers();
        headers.add("Via", request.headers().first("Via"));
        headers.copyFrom(request.headers(), "Route");
        headers.add("Max-Forwards", "70").add("From", request.headers().first("From"));
        headers.add("To", response.headers().first("To")).add("Call-ID", request.callId());
        headers.add("CSeq", number() + " ACK");
        return new Request("ACK", request.uri(), headers);
    }

    /** A CANCEL for this INVITE: same branch, no tag added (RFC 3261 9.1). */
    public Request cancel(String reason) {
        Headers headers = new Headers();
        headers.add("Via", request.headers().first("Via"));
        headers.copyFrom(request.headers(), "Route");
        headers.add("Max-Forwards", "70").add("From", request.headers().first("From"));
        headers.add("To", request.headers().first("To")).add("Call-ID", request.callId());
        headers.add("CSeq", number() + " CANCEL");
        if (reason != null) {
            headers.add("Reason", reason);
        }
        return new Request("CANCEL", request.uri(), headers);
    }

    private long number() {
        try {
            return request.cseq().number();
        } catch (InvalidValueException e) {
            throw new IllegalStateException("a request of our own without CSeq", e);
        }
    }

    void broken(boolean everUp, Hop which) {
        boolean mine = hop.isReliable()
                && (hop.connectionId() == 0
                        ? hop.address().equals(which.address())
                        : hop.connectionId() == which.connectionId());
        if (!mine || state != State.CALLING && state != State.PROCEEDING) {
            return;
        }
        if (!everUp && forSize) {
            forSize = false;
            layer.shrunk(this);
            return;
        }
        fail(everUp ? RequestFailure.BROKEN : RequestFailure.NO_CONNECTION);
    }

    /** Back from TCP, which was taken for the size only, to UDP (RFC 3261 18.1.1). */
    void overUdp(String via, String nextBranch, Hop udp) {
        request.headers().set("Via", via);
        branch = nextBranch;
        hop = udp;
        bytes = request.bytes();
        layer.out.send(bytes, hop);
        repeat = layer.wheel.scheduleAfter(gap, this::again);
    }

    /** Taken over in its Accepted state: it meets 2xx that come again. */
    void accepted() {
        state = State.ACCEPTED;
        linger(layer.timers.transactionTimeout());
    }

    void fail(RequestFailure why) {
        if (state == State.CALLING || state == State.PROCEEDING) {
            terminate();
            asker.failed(this, why);
        }
    }

    @Override
    void terminate() {
        stop();
        state = State.TERMINATED;
        layer.over(this);
    }
}
