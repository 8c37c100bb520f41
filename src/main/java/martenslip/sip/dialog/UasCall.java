package martenslip.sip.dialog;

import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.transaction.ServerTransaction;

/**
 * The UAS of an INVITE dialog (RFC 3261 13.3, 15). Exactly one final response is sent; methods that would send another
 * return false. Owned by the thread of its {@link DialogLayer}.
 */
public final class UasCall implements CallLeg {
    /** OPEN: no final response yet; ACCEPTED: 2xx sent, ACK awaited; CONFIRMED: ACK received. */
    enum State {
        OPEN,
        ACCEPTED,
        CONFIRMED,
        ENDED
    }

    /** Notified of the call on the thread of its {@link DialogLayer}. */
    public interface Listener {
        /** The caller cancelled the INVITE, or ended its early dialog; 487 has been sent. */
        void cancelled();

        /**
         * The established call ended without {@link UasCall#bye}; {@code bye} is the BYE of the remote side or null.
         */
        void ended(CallEndReason reason, Request bye);

        /** A final response that this side generates itself is about to be sent. */
        default void beforeFinalResponse(Response response) {
            // Most listeners need no notification.
        }

        /** The 2xx was acknowledged. */
        default void confirmed() {
            // Most listeners need no notification.
        }

        /** The server transaction has ended: the INVITE, if received again, begins a new call. */
        default void transactionEnded() {
            // Most listeners need no notification.
        }
    }

    private final DialogLayer dialogLayer;
    private final ServerTransaction transaction;
    private final Dialog dialog;
    private final String localTag;
    private Listener listener;
    private State state = State.OPEN;
    private Response successResponse;
    private Span retransmitInterval;
    private TimerWheel.Timer retransmitTimer;
    private TimerWheel.Timer ackTimer;
    /** The BYE is sent once the ACK has arrived. */
    private boolean byePending;

    private String byeReason;

    UasCall(DialogLayer dialogLayer, ServerTransaction transaction, Dialog dialog) {
        this.dialogLayer = dialogLayer;
        this.transaction = transaction;
        this.dialog = dialog;
        localTag = dialog.localTag();
    }

    /** The INVITE. */
    public Request invite() {
        return transaction.request();
    }

    /** The server transaction of the INVITE. */
    public ServerTransaction transaction() {
        return transaction;
    }

    /** The local tag of the dialog. */
    public String localTag() {
        return localTag;
    }

    /** Sets the listener; it must be set before any event of the call. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /** A response with the tag of this dialog, to be completed and sent. */
    public Response response(int status, String reason) {
        return invite().createResponse(status, reason, localTag);
    }

    /** True while no final response has been sent. */
    public boolean isPending() {
        return state == State.OPEN;
    }

    /** Sends a provisional response, with a Contact if its status is above 100; false once a final one was sent. */
    public boolean progress(Response response) {
        if (response.status() > 100) {
            response.headers()
                    .add("Contact", dialogLayer.contactHeader(transaction.from().protocol(), setContactUser));
        }
        return state == State.OPEN && transaction.respond(response);
    }

    private String setContactUser;

    /** Sets the user part of this side's Contact; without one the Contact has none. */
    public void setContactUser(String user) {
        setContactUser = user;
    }

    /** Sends a final response other than 2xx; false if a final response was sent before. */
    public boolean refuse(Response response) {
        if (state != State.OPEN) {
            return false;
        }
        markEnded();
        return transaction.respond(response);
    }

    /**
     * Sends a 2xx and retransmits it until its ACK arrives (RFC 3261 13.3.1.4); false if a final response was sent
     * before.
     */
    public boolean accept(Response response) {
        if (state != State.OPEN) {
            return false;
        }
        state = State.ACCEPTED;
        response.headers()
                .add("Contact", dialogLayer.contactHeader(transaction.from().protocol(), setContactUser));
        successResponse = response;
        transaction.respond(response);
        retransmitInterval = dialogLayer.timers().t1();
        retransmitTimer = dialogLayer.timerWheel().scheduleAfter(retransmitInterval, this::retransmit);
        ackTimer = dialogLayer.timerWheel().scheduleAfter(dialogLayer.timers().transactionTimeout(), this::ackTimedOut);
        return true;
    }

    /** Restores a call taken over from another thread after its refusal was sent. */
    public void restoreRefused(Response response) {
        markEnded();
        transaction.restoreRefused(response);
    }

    /** Restores a call taken over from another thread after its 2xx was acknowledged; nothing is sent. */
    void restoreConfirmed() {
        state = State.CONFIRMED;
        transaction.restoreAccepted();
    }

    void transactionEnded() {
        if (listener != null) {
            listener.transactionEnded();
        }
    }

    private void retransmit() {
        if (state == State.ACCEPTED) {
            transaction.respond(successResponse);
            retransmitInterval = dialogLayer.timers().nextInterval(retransmitInterval);
            retransmitTimer = dialogLayer.timerWheel().scheduleAfter(retransmitInterval, this::retransmit);
        }
    }

    private void ackTimedOut() {
        if (state == State.ACCEPTED) {
            sendBye("SIP;cause=408;text=\"No ACK\"");
            end(CallEndReason.NO_ACK, null);
        }
    }

    void ackReceived() {
        if (state == State.ACCEPTED) {
            state = State.CONFIRMED;
            successResponse = null;
            stopTimers();
            listener.confirmed();
            if (byePending) {
                sendBye(byeReason);
                markEnded();
            }
        }
    }

    void cancelled() {
        if (state == State.OPEN) {
            terminate();
        }
    }

    private void terminate() {
        Response response = response(487, "Request Terminated");
        listener.beforeFinalResponse(response);
        refuse(response);
        listener.cancelled();
    }

    @Override
    public void requestReceived(ServerTransaction requestTransaction) throws InvalidValueException {
        if (!dialogLayer.answerInDialog(requestTransaction, dialog)) {
            return;
        }
        if (state == State.OPEN) {
            // A BYE in an early dialog also ends the INVITE (RFC 3261 15.1.2).
            terminate();
        } else {
            end(CallEndReason.BYE, requestTransaction.request());
        }
    }

    /** Ends an established call. A UAS must not send BYE before the ACK, so the BYE waits for it (RFC 3261 15). */
    public void bye(String reason) {
        if (state == State.CONFIRMED) {
            sendBye(reason);
            markEnded();
        } else if (state == State.ACCEPTED) {
            byePending = true;
            byeReason = reason;
        }
    }

    private void sendBye(String reason) {
        dialogLayer.sendBye(dialog, reason);
    }

    private void end(CallEndReason reason, Request bye) {
        if (state != State.ENDED) {
            boolean localByePending = byePending;
            markEnded();
            if (!localByePending) {
                listener.ended(reason, bye);
            }
        }
    }

    private void stopTimers() {
        if (retransmitTimer != null) {
            retransmitTimer.cancel();
            ackTimer.cancel();
        }
    }

    private void markEnded() {
        state = State.ENDED;
        stopTimers();
        dialogLayer.removeLeg(this, dialog.id());
    }

    /** The user part of the Request-URI, which is the dialled number; empty if there is none. */
    public String dialledNumber() {
        try {
            SipUri uri = invite().parsedUri();
            return uri.unescapedUser() == null ? "" : uri.unescapedUser();
        } catch (InvalidValueException e) {
            return "";
        }
    }

    String id() {
        return dialog.id();
    }
}
