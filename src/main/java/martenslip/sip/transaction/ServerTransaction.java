package martenslip.sip.transaction;

import martenslip.control.Span;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Hop;

/**
 * Server transactions: INVITE (RFC 3261 17.2.1, with the Accepted state of RFC 6026 7.1) and all others
 * (17.2.2). Repeats of the request are met here and never reach the user. Owned by the thread of its
 * {@link TransactionLayer}.
 */
public final class ServerTransaction extends Transaction {
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
    private Hop back;
    private final boolean invite;
    final String key;
    private State state;
    private byte[] last;
    private Span gap;
    private Object user;

    ServerTransaction(TransactionLayer layer, String key, Request request, Hop from, Hop back) {
        super(layer);
        this.key = key;
        this.request = request;
        this.from = from;
        this.back = back;
        invite = request.hasMethod("INVITE");
        state = invite ? State.PROCEEDING : State.TRYING;
        gap = layer.timers.t1();
    }

    public Request request() {
        return request;
    }

    /** Where the request came from. */
    public Hop from() {
        return from;
    }

    public State state() {
        return state;
    }

    /** True while an INVITE has had no response at all. */
    public boolean isUnanswered() {
        return state == State.PROCEEDING && last == null;
    }

    /** What the user ties to it, for the CANCEL that may come. */
    public void attach(Object owner) {
        user = owner;
    }

    public Object attached() {
        return user;
    }

    /** Sends a response. A second final one, and any after the end, is not sent: false. */
    public boolean respond(Response response) {
        boolean open = state == State.TRYING || state == State.PROCEEDING;
        boolean repeatOf200 = state == State.ACCEPTED && response.isSuccess();
        if (!open && !repeatOf200) {
            return false;
        }
        byte[] bytes = response.bytes();
        send(bytes);
        if (response.isProvisional()) {
            state = State.PROCEEDING;
            last = bytes;
        } else if (!invite) {
            state = State.COMPLETED;
            last = bytes;
            linger(from.isReliable() ? Span.ZERO : layer.timers.transactionTimeout());
        } else if (response.isSuccess()) {
            if (state != State.ACCEPTED) {
                state = State.ACCEPTED;
                // Kept for 64 T1: what is not sent again need not weigh on the heap for so long.
                last = null;
                linger(layer.timers.transactionTimeout());
            }
        } else {
            state = State.COMPLETED;
            last = bytes;
            end = layer.wheel.scheduleCoarse(layer.timers.transactionTimeout(), this::terminate);
            if (!from.isReliable()) {
                repeat = layer.wheel.scheduleAfter(gap, this::again);
            }
        }
        return true;
    }

    /** Taken over in its Accepted state: repeats of the INVITE are met, and the 2xx is not sent. */
    public void restoreAccepted() {
        state = State.ACCEPTED;
        linger(layer.timers.transactionTimeout());
    }

    /** Taken over after its refusal was sent: it goes again to whoever asks again, or has not acknowledged it. */
    public void restoreRefused(Response response) {
        state = State.COMPLETED;
        last = response.bytes();
        end = layer.wheel.scheduleCoarse(layer.timers.transactionTimeout(), this::terminate);
        if (!from.isReliable()) {
            repeat = layer.wheel.scheduleAfter(gap, this::again);
        }
    }

    /** Timer G. */
    private void again() {
        if (state == State.COMPLETED) {
            send(last);
            gap = layer.timers.nextInterval(gap);
            repeat = layer.wheel.scheduleAfter(gap, this::again);
        }
    }

    void repeated() {
        // In Accepted the 2xx is the dialog's to repeat (RFC 6026 7.1); in Confirmed nothing is owed.
        if (last != null && (state == State.PROCEEDING || state == State.COMPLETED)) {
            send(last);
        }
    }

    /** Over the connection that the request came by; where that is over, over a new one (RFC 3261 18.2.2). */
    private void send(byte[] bytes) {
        if (!layer.out.send(bytes, back) && back.isReliable()) {
            Hop again = TransactionLayer.anew(request, back);
            if (again != null) {
                back = again;
                layer.out.send(bytes, back);
            }
        }
    }

    /** The ACK of a final response other than 2xx. */
    void acked() {
        if (state == State.COMPLETED && invite) {
            state = State.CONFIRMED;
            linger(from.isReliable() ? Span.ZERO : layer.timers.t4());
        }
    }

    /** An answer that nobody has acknowledged may have been lost with the connection; it goes once more. */
    void broken(Hop which) {
        boolean mine = back.isReliable() && back.connectionId() == which.connectionId();
        if (mine && state == State.COMPLETED && last != null) {
            send(last);
        }
    }

    boolean waitsForAck() {
        return invite && (state == State.COMPLETED || state == State.CONFIRMED);
    }

    @Override
    void terminate() {
        stop();
        state = State.TERMINATED;
        layer.over(this);
    }
}
