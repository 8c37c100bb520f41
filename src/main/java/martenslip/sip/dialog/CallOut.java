package martenslip.sip.dialog;

import martenslip.sip.message.BadValue;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.Asker;
import martenslip.sip.transaction.ClientTransaction;
import martenslip.sip.transaction.Failure;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transport.Hop;

/**
 * The calling side of an INVITE dialog (RFC 3261 13.2, 9.1, 15). Once taken back it tells its listener nothing
 * more and cleans up alone: a 2xx that crossed the CANCEL gets its ACK and a BYE. Owned by the thread of its
 * {@link Calls}.
 */
public final class CallOut implements Leg, Asker {
    enum State {
        CALLING,
        STANDS,
        TAKEN_BACK,
        OVER
    }

    /** Hears of the call until it ends or is taken back. */
    public interface Listener {
        void progress(Response response);

        /** The INVITE is complete and is about to leave. */
        default void leaving(Request invite, Hop to) {
            // Most listeners need not know.
        }

        /** The first 2xx; its ACK has been sent. */
        void stood(Response response);

        void refused(Response response);

        /** It was taken back before any response; the first one has come now, and only now its CANCEL has left. */
        default void cancelledLate() {
            // Most listeners need not know.
        }

        void failed(Failure why);

        /** A call that stood ended from the far side; {@code bye} is null without one. */
        void ended(Ending why, Request bye);
    }

    private final Calls calls;
    private final Listener listener;
    private ClientTransaction transaction;
    private Dialog dialog;
    private State state = State.CALLING;
    private boolean heard;
    private boolean cancelSent;
    private String cancelReason;

    CallOut(Calls calls, Listener listener) {
        this.calls = calls;
        this.listener = listener;
    }

    void start(Request invite, Hop to) {
        transaction = calls.send(invite, to, this);
    }

    /** Takes over an INVITE that another thread had sent. */
    void takeOver(Request invite, Hop to) throws BadValue {
        transaction = calls.transactions().takeOver(invite, to, false, this);
    }

    /** Takes over a call that stands. */
    void takeOver(Request invite, Hop to, Response stood) throws BadValue {
        heard = true;
        state = State.STANDS;
        transaction = calls.transactions().takeOver(invite, to, true, this);
        dialog = Dialog.asClient(invite, stood);
        dialog.skip();
        calls.stands(this, dialog.id());
    }

    @Override
    public void leaving(ClientTransaction which) {
        listener.leaving(which.request(), which.hop());
    }

    /** True once any response has come. */
    public boolean heard() {
        return heard;
    }

    public boolean stands() {
        return state == State.STANDS;
    }

    public Hop hop() {
        return transaction.hop();
    }

    /** Takes the INVITE back; where it stands already, ends it. {@code reason} is a Reason value (RFC 3326). */
    public void cancel(String reason) {
        if (state == State.STANDS) {
            bye(reason);
        } else if (state == State.CALLING) {
            state = State.TAKEN_BACK;
            cancelReason = reason;
            transaction.hush();
            transaction.endLater();
            sendCancel();
        }
    }

    private void sendCancel() {
        // Before a provisional response no CANCEL may go (RFC 3261 9.1).
        if (heard && !cancelSent && transaction.state() == ClientTransaction.State.PROCEEDING) {
            cancelSent = true;
            calls.sendCancel(transaction.cancel(cancelReason), transaction.hop());
        }
    }

    @Override
    public void answered(ClientTransaction which, Response response) {
        heard = true;
        if (response.provisional()) {
            if (state == State.CALLING) {
                listener.progress(response);
            } else if (state == State.TAKEN_BACK && !cancelSent) {
                sendCancel();
                listener.cancelledLate();
            }
        } else if (response.success()) {
            success(response);
        } else if (state == State.CALLING) {
            state = State.OVER;
            listener.refused(response);
        } else if (state == State.TAKEN_BACK) {
            state = State.OVER;
        }
    }

    private void success(Response response) {
        try {
            if (dialog != null && dialog.remoteTag().equals(response.to().tag())) {
                // Its ACK was lost (RFC 3261 13.2.2.4).
                calls.sendAck(dialog, transaction);
                return;
            }
            Dialog begun = Dialog.asClient(transaction.request(), response);
            calls.sendAck(begun, transaction);
            if (state != State.CALLING) {
                // It crossed the CANCEL, or is another branch's of a fork: one call is wanted, or none.
                calls.sendBye(begun, cancelReason);
                dialog = dialog == null ? begun : dialog;
                state = state == State.STANDS ? State.STANDS : State.OVER;
                return;
            }
            dialog = begun;
            state = State.STANDS;
            calls.stands(this, dialog.id());
            listener.stood(response);
        } catch (BadValue e) {
            // A 2xx without what a dialog needs can't be acknowledged or ended; it counts as a refusal.
            calls.drops().count("2xx that makes no dialog");
            if (state == State.CALLING) {
                state = State.OVER;
                listener.failed(Failure.BROKEN);
            }
        }
    }

    @Override
    public void failed(ClientTransaction which, Failure why) {
        if (state == State.CALLING) {
            state = State.OVER;
            listener.failed(why);
        } else if (state == State.TAKEN_BACK) {
            state = State.OVER;
        }
    }

    @Override
    public void requested(ServerTransaction next) throws BadValue {
        if (calls.endedBy(next, dialog) && state == State.STANDS) {
            over();
            listener.ended(Ending.BYE, next.request());
        }
    }

    /** Ends a call that stands. */
    public void bye(String reason) {
        if (state == State.STANDS) {
            calls.sendBye(dialog, reason);
            over();
        }
    }

    /** The connection it was set up over broke, and with it the call. */
    void broken() {
        if (state == State.STANDS) {
            over();
            listener.ended(Ending.BROKEN, null);
        }
    }

    private void over() {
        state = State.OVER;
        calls.over(this, dialog.id());
    }
}
