package martenslip.sip.dialog;

import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.ClientTransaction;
import martenslip.sip.transaction.ClientTransactionUser;
import martenslip.sip.transaction.RequestFailure;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transport.Hop;

/**
 * The calling side of an INVITE dialog (RFC 3261 13.2, 9.1, 15). Once taken back it tells its listener nothing
 * more and cleans up alone: a 2xx that crossed the CANCEL gets its ACK and a BYE. Owned by the thread of its
 * {@link DialogLayer}.
 */
public final class UacCall implements CallLeg, ClientTransactionUser {
    enum State {
        CALLING,
        ESTABLISHED,
        CANCELLED,
        ENDED
    }

    /** Hears of the call until it ends or is taken back. */
    public interface Listener {
        void progress(Response response);

        /** The INVITE is complete and is about to leave. */
        default void beforeSend(Request invite, Hop to) {
            // Most listeners need not know.
        }

        /** The first 2xx; its ACK has been sent. */
        void established(Response response);

        void refused(Response response);

        /** It was taken back before any response; the first one has come now, and only now its CANCEL has left. */
        default void delayedCancelSent() {
            // Most listeners need not know.
        }

        void failed(RequestFailure why);

        /** A call that stood ended from the far side; {@code bye} is null without one. */
        void ended(CallEndReason why, Request bye);
    }

    private final DialogLayer calls;
    private final Listener listener;
    private ClientTransaction transaction;
    private Dialog dialog;
    private State state = State.CALLING;
    private boolean hasResponse;
    private boolean cancelSent;
    private String cancelReason;

    UacCall(DialogLayer calls, Listener listener) {
        this.calls = calls;
        this.listener = listener;
    }

    void start(Request invite, Hop to) {
        transaction = calls.send(invite, to, this);
    }

    /** Takes over an INVITE that another thread had sent. */
    void takeOver(Request invite, Hop to) throws InvalidValueException {
        transaction = calls.transactionLayer().takeOver(invite, to, false, this);
    }

    /** Takes over a call that stands. */
    void takeOver(Request invite, Hop to, Response stood) throws InvalidValueException {
        hasResponse = true;
        state = State.ESTABLISHED;
        transaction = calls.transactionLayer().takeOver(invite, to, true, this);
        dialog = Dialog.asClient(invite, stood);
        dialog.skip();
        calls.stands(this, dialog.id());
    }

    @Override
    public void beforeSend(ClientTransaction which) {
        listener.beforeSend(which.request(), which.hop());
    }

    /** True once any response has come. */
    public boolean hasResponse() {
        return hasResponse;
    }

    public boolean isEstablished() {
        return state == State.ESTABLISHED;
    }

    public Hop hop() {
        return transaction.hop();
    }

    /** Takes the INVITE back; where it stands already, ends it. {@code reason} is a Reason value (RFC 3326). */
    public void cancel(String reason) {
        if (state == State.ESTABLISHED) {
            bye(reason);
        } else if (state == State.CALLING) {
            state = State.CANCELLED;
            cancelReason = reason;
            transaction.stopRetransmissions();
            transaction.endAfterTimeout();
            sendCancel();
        }
    }

    private void sendCancel() {
        // Before a provisional response no CANCEL may go (RFC 3261 9.1).
        if (hasResponse && !cancelSent && transaction.state() == ClientTransaction.State.PROCEEDING) {
            cancelSent = true;
            calls.sendCancel(transaction.cancel(cancelReason), transaction.hop());
        }
    }

    @Override
    public void responseReceived(ClientTransaction which, Response response) {
        hasResponse = true;
        if (response.isProvisional()) {
            if (state == State.CALLING) {
                listener.progress(response);
            } else if (state == State.CANCELLED && !cancelSent) {
                sendCancel();
                listener.delayedCancelSent();
            }
        } else if (response.isSuccess()) {
            success(response);
        } else if (state == State.CALLING) {
            state = State.ENDED;
            listener.refused(response);
        } else if (state == State.CANCELLED) {
            state = State.ENDED;
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
                state = state == State.ESTABLISHED ? State.ESTABLISHED : State.ENDED;
                return;
            }
            dialog = begun;
            state = State.ESTABLISHED;
            calls.stands(this, dialog.id());
            listener.established(response);
        } catch (InvalidValueException e) {
            // A 2xx without what a dialog needs can't be acknowledged or ended; it counts as a refusal.
            calls.drops().increment("2xx that makes no dialog");
            if (state == State.CALLING) {
                state = State.ENDED;
                listener.failed(RequestFailure.BROKEN);
            }
        }
    }

    @Override
    public void failed(ClientTransaction which, RequestFailure why) {
        if (state == State.CALLING) {
            state = State.ENDED;
            listener.failed(why);
        } else if (state == State.CANCELLED) {
            state = State.ENDED;
        }
    }

    @Override
    public void requestReceived(ServerTransaction next) throws InvalidValueException {
        if (calls.endedBy(next, dialog) && state == State.ESTABLISHED) {
            over();
            listener.ended(CallEndReason.BYE, next.request());
        }
    }

    /** Ends a call that stands. */
    public void bye(String reason) {
        if (state == State.ESTABLISHED) {
            calls.sendBye(dialog, reason);
            over();
        }
    }

    /** The connection it was set up over broke, and with it the call. */
    void broken() {
        if (state == State.ESTABLISHED) {
            over();
            listener.ended(CallEndReason.CONNECTION_LOST, null);
        }
    }

    private void over() {
        state = State.ENDED;
        calls.over(this, dialog.id());
    }
}
