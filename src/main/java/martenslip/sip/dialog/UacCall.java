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
 * The UAC of an INVITE dialog (RFC 3261 13.2, 9.1, 15). After {@link #cancel} its listener is notified only of a
 * delayed CANCEL, and a 2xx that crossed the CANCEL gets its ACK and a BYE. Owned by the thread of its {@link
 * DialogLayer}.
 */
public final class UacCall implements CallLeg, ClientTransactionUser {
    /** CALLING: no final response yet; CANCELLED: cancelled, final response awaited. */
    enum State {
        CALLING,
        ESTABLISHED,
        CANCELLED,
        ENDED
    }

    /** Notified of the call until it ends or is cancelled. */
    public interface Listener {
        /** A provisional response was received. */
        void progress(Response response);

        /** The INVITE is complete and is about to be sent. */
        default void beforeSend(Request invite, Hop to) {
            // Most listeners need no notification.
        }

        /** The first 2xx was received; its ACK has been sent. */
        void established(Response response);

        /** A final response other than 2xx was received. */
        void refused(Response response);

        /**
         * The call was cancelled before any response; the first response has come now, and only now was the CANCEL
         * sent.
         */
        default void delayedCancelSent() {
            // Most listeners need no notification.
        }

        /** No final response will come, or a 2xx established no dialog. */
        void failed(RequestFailure reason);

        /**
         * The established call ended without {@link UacCall#bye}; {@code bye} is the BYE of the remote side or null.
         */
        void ended(CallEndReason reason, Request bye);
    }

    private final DialogLayer dialogLayer;
    private final Listener listener;
    private ClientTransaction transaction;
    private Dialog dialog;
    private State state = State.CALLING;
    private boolean hasResponse;
    private boolean cancelSent;
    private String cancelReason;

    UacCall(DialogLayer dialogLayer, Listener listener) {
        this.dialogLayer = dialogLayer;
        this.listener = listener;
    }

    void start(Request invite, Hop to) {
        transaction = dialogLayer.send(invite, to, this);
    }

    /** Takes over an INVITE that another thread had sent. */
    void takeOver(Request invite, Hop to) throws InvalidValueException {
        transaction = dialogLayer.transactionLayer().takeOver(invite, to, false, this);
    }

    /** Takes over an established call. */
    void takeOver(Request invite, Hop to, Response success) throws InvalidValueException {
        hasResponse = true;
        state = State.ESTABLISHED;
        transaction = dialogLayer.transactionLayer().takeOver(invite, to, true, this);
        dialog = Dialog.asUac(invite, success);
        dialog.skipCseqNumbers();
        dialogLayer.addLeg(this, dialog.id());
    }

    @Override
    public void beforeSend(ClientTransaction clientTransaction) {
        listener.beforeSend(clientTransaction.request(), clientTransaction.hop());
    }

    /** True once any response has been received. */
    public boolean hasResponse() {
        return hasResponse;
    }

    /** True from the first 2xx until the call ends. */
    public boolean isEstablished() {
        return state == State.ESTABLISHED;
    }

    /** Address that the INVITE was sent to. */
    public Hop hop() {
        return transaction.hop();
    }

    /**
     * Cancels the INVITE; ends the call if it is established already. {@code reason} is a Reason value (RFC 3326) or
     * null.
     */
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
        // No CANCEL may be sent before a provisional response (RFC 3261 9.1).
        if (hasResponse && !cancelSent && transaction.state() == ClientTransaction.State.PROCEEDING) {
            cancelSent = true;
            dialogLayer.sendCancel(transaction.createCancel(cancelReason), transaction.hop());
        }
    }

    @Override
    public void responseReceived(ClientTransaction clientTransaction, Response response) {
        hasResponse = true;
        if (response.isProvisional()) {
            if (state == State.CALLING) {
                listener.progress(response);
            } else if (state == State.CANCELLED && !cancelSent) {
                sendCancel();
                listener.delayedCancelSent();
            }
        } else if (response.isSuccess()) {
            handleSuccess(response);
        } else if (state == State.CALLING) {
            state = State.ENDED;
            listener.refused(response);
        } else if (state == State.CANCELLED) {
            state = State.ENDED;
        }
    }

    private void handleSuccess(Response response) {
        try {
            if (dialog != null && dialog.remoteTag().equals(response.to().tag())) {
                // A retransmitted 2xx: its ACK was lost (RFC 3261 13.2.2.4).
                dialogLayer.sendAck(dialog, transaction);
                return;
            }
            Dialog newDialog = Dialog.asUac(transaction.request(), response);
            dialogLayer.sendAck(newDialog, transaction);
            if (state != State.CALLING) {
                // The 2xx crossed the CANCEL or belongs to another branch of a fork; at most one call is wanted.
                dialogLayer.sendBye(newDialog, cancelReason);
                dialog = dialog == null ? newDialog : dialog;
                state = state == State.ESTABLISHED ? State.ESTABLISHED : State.ENDED;
                return;
            }
            dialog = newDialog;
            state = State.ESTABLISHED;
            dialogLayer.addLeg(this, dialog.id());
            listener.established(response);
        } catch (InvalidValueException e) {
            // A 2xx that establishes no dialog can be neither acknowledged nor ended; the call fails.
            dialogLayer.drops().increment("2xx that makes no dialog");
            if (state == State.CALLING) {
                state = State.ENDED;
                listener.failed(RequestFailure.BROKEN);
            }
        }
    }

    @Override
    public void failed(ClientTransaction clientTransaction, RequestFailure reason) {
        if (state == State.CALLING) {
            state = State.ENDED;
            listener.failed(reason);
        } else if (state == State.CANCELLED) {
            state = State.ENDED;
        }
    }

    @Override
    public void requestReceived(ServerTransaction requestTransaction) throws InvalidValueException {
        if (dialogLayer.answerInDialog(requestTransaction, dialog) && state == State.ESTABLISHED) {
            markEnded();
            listener.ended(CallEndReason.BYE, requestTransaction.request());
        }
    }

    /** Ends an established call; otherwise it does nothing. {@code reason} is a Reason value or null. */
    public void bye(String reason) {
        if (state == State.ESTABLISHED) {
            dialogLayer.sendBye(dialog, reason);
            markEnded();
        }
    }

    /** The connection that the call was set up over was lost, which ends the call. */
    void connectionLost() {
        if (state == State.ESTABLISHED) {
            markEnded();
            listener.ended(CallEndReason.CONNECTION_LOST, null);
        }
    }

    private void markEnded() {
        state = State.ENDED;
        dialogLayer.removeLeg(this, dialog.id());
    }
}
