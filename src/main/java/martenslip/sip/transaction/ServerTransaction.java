package martenslip.sip.transaction;

import martenslip.control.Span;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Hop;

/**
 * Server transactions: INVITE (RFC 3261 17.2.1, with the Accepted state of RFC 6026 7.1) and all others
 * (17.2.2). Repeats of the request are met here and never reach the user. Owned by the thread of its
 * {@link Transactions}.
 */
public final class ServerTransaction extends Timed {
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

    ServerTransaction(Transactions layer, String key, Request request, Hop from, Hop back) {
        super(layer);
        this.key = key;
        this.request = request;
        this.from = from;
        this.back = back;
        invite = request.is("INVITE");
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
    public boolean silent() {
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
        boolean repeatOf200 = state == State.ACCEPTED && response.success();
        if (!open && !repeatOf200) {
            return false;
        }
        byte[] bytes = response.bytes();
        send(bytes);
        if (response.provisional()) {
            state = State.PROCEEDING;
            last = bytes;
        } else if (!invite) {
            state = State.COMPLETED;
            last = bytes;
            linger(from.reliable() ? Span.ZERO : layer.timers.whole());
        } else if (response.success()) {
            if (state != State.ACCEPTED) {
                state = State.ACCEPTED;
                // Kept for 64 T1: what is not sent again need not weigh on the heap for so long.
                last = null;
                linger(layer.timers.whole());
            }
        } else {
            state = State.COMPLETED;
            last = bytes;
            end = layer.wheel.loosely(layer.timers.whole(), this::terminate);
            if (!from.reliable()) {
                repeat = layer.wheel.after(gap, this::again);
            }
        }
        return true;
    }

    /** Taken over in its Accepted state: repeats of the INVITE are met, and the 2xx is not sent. */
    public void acceptedAlready() {
        state = State.ACCEPTED;
        linger(layer.timers.whole());
    }

    /** Taken over after its refusal was sent: it goes again to whoever asks again, or has not acknowledged it. */
    public void refusedAlready(Response response) {
        state = State.COMPLETED;
        last = response.bytes();
        end = layer.wheel.loosely(layer.timers.whole(), this::terminate);
        if (!from.reliable()) {
            repeat = layer.wheel.after(gap, this::again);
        }
    }

    /** Timer G. */
    private void again() {
        if (state == State.COMPLETED) {
            send(last);
            gap = layer.timers.next(gap);
            repeat = layer.wheel.after(gap, this::again);
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
        if (!layer.out.send(bytes, back) && back.reliable()) {
            Hop again = Transactions.anew(request, back);
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
            linger(from.reliable() ? Span.ZERO : layer.timers.t4());
        }
    }

    /** An answer that nobody has acknowledged may have been lost with the connection; it goes once more. */
    void broken(Hop which) {
        boolean mine = back.reliable() && back.connection() == which.connection();
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
