package martenslip.sip.dialog;

import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.transaction.ServerTransaction;

/**
 * The called side of an INVITE dialog (RFC 3261 13.3, 15). Exactly one final response leaves it: what comes
 * after the first is refused with false. Owned by the thread of its {@link DialogLayer}.
 */
public final class UasCall implements CallLeg {
    enum State {
        OPEN,
        ACCEPTED,
        CONFIRMED,
        ENDED
    }

    /** Hears of the call; the moments are those of the thread's wheel. */
    public interface Listener {
        /** The caller took its INVITE back; 487 has been sent. */
        void cancelled();

        /** A call that stood ended from the far side; {@code bye} is null without one. */
        void ended(CallEndReason why, Request bye);

        /** A final answer that this side gives by itself is about to leave. */
        default void beforeFinalResponse(Response last) {
            // Most listeners need not know.
        }

        /** The 2xx was acknowledged. */
        default void confirmed() {
            // Most listeners need not know.
        }

        /** The INVITE, should it come once more, would now count as a new one. */
        default void transactionEnded() {
            // Most listeners need not know.
        }
    }

    private final DialogLayer calls;
    private final ServerTransaction transaction;
    private final Dialog dialog;
    private final String tag;
    private Listener listener;
    private State state = State.OPEN;
    private Response accepted;
    private Span gap;
    private TimerWheel.Timer repeat;
    private TimerWheel.Timer giveUp;
    private boolean byeWanted;
    private String byeReason;

    UasCall(DialogLayer calls, ServerTransaction transaction, Dialog dialog) {
        this.calls = calls;
        this.transaction = transaction;
        this.dialog = dialog;
        tag = dialog.localTag();
    }

    public Request invite() {
        return transaction.request();
    }

    public ServerTransaction transaction() {
        return transaction;
    }

    /** The tag that this side gave the dialog. */
    public String tag() {
        return tag;
    }

    public void setListener(Listener one) {
        listener = one;
    }

    /** A response with this dialog's tag, to be completed and sent. */
    public Response response(int status, String reason) {
        return invite().createResponse(status, reason, tag);
    }

    /** True while a final response is owed. */
    public boolean isPending() {
        return state == State.OPEN;
    }

    public boolean progress(Response response) {
        if (response.status() > 100) {
            response.headers()
                    .add("Contact", calls.contactHeader(transaction.from().protocol(), contactUser));
        }
        return state == State.OPEN && transaction.respond(response);
    }

    private String contactUser;

    /** The user part that this side's Contact bears; without one it bears none. */
    public void contactUser(String user) {
        contactUser = user;
    }

    /** Sends a final response other than 2xx. */
    public boolean refuse(Response response) {
        if (state != State.OPEN) {
            return false;
        }
        over();
        return transaction.respond(response);
    }

    /** Sends a 2xx and repeats it until its ACK comes (RFC 3261 13.3.1.4). */
    public boolean accept(Response response) {
        if (state != State.OPEN) {
            return false;
        }
        state = State.ACCEPTED;
        response.headers().add("Contact", calls.contactHeader(transaction.from().protocol(), contactUser));
        accepted = response;
        transaction.respond(response);
        gap = calls.timers().t1();
        repeat = calls.timerWheel().scheduleAfter(gap, this::again);
        giveUp = calls.timerWheel().scheduleAfter(calls.timers().transactionTimeout(), this::unacknowledged);
        return true;
    }

    /** Taken over from another thread after its refusal was sent. */
    public void restoreRefused(Response response) {
        over();
        transaction.restoreRefused(response);
    }

    /** Taken over from another thread after its 2xx was acknowledged: it stands, and nothing is sent. */
    void standsAlready() {
        state = State.CONFIRMED;
        transaction.restoreAccepted();
    }

    void transactionOver() {
        if (listener != null) {
            listener.transactionEnded();
        }
    }

    private void again() {
        if (state == State.ACCEPTED) {
            transaction.respond(accepted);
            gap = calls.timers().nextInterval(gap);
            repeat = calls.timerWheel().scheduleAfter(gap, this::again);
        }
    }

    private void unacknowledged() {
        if (state == State.ACCEPTED) {
            sendBye("SIP;cause=408;text=\"No ACK\"");
            end(CallEndReason.NO_ACK, null);
        }
    }

    void acked() {
        if (state == State.ACCEPTED) {
            state = State.CONFIRMED;
            accepted = null;
            stop();
            listener.confirmed();
            if (byeWanted) {
                sendBye(byeReason);
                over();
            }
        }
    }

    void cancelled() {
        if (state == State.OPEN) {
            terminated();
        }
    }

    private void terminated() {
        Response last = response(487, "Request Terminated");
        listener.beforeFinalResponse(last);
        refuse(last);
        listener.cancelled();
    }

    @Override
    public void requestReceived(ServerTransaction next) throws InvalidValueException {
        if (!calls.endedBy(next, dialog)) {
            return;
        }
        if (state == State.OPEN) {
            // A BYE of an early dialog ends the INVITE too (RFC 3261 15.1.2).
            terminated();
        } else {
            end(CallEndReason.BYE, next.request());
        }
    }

    /** Ends a call that stands. Before the ACK a called side may not say BYE, so it waits for it (RFC 3261 15). */
    public void bye(String reason) {
        if (state == State.CONFIRMED) {
            sendBye(reason);
            over();
        } else if (state == State.ACCEPTED) {
            byeWanted = true;
            byeReason = reason;
        }
    }

    private void sendBye(String reason) {
        calls.sendBye(dialog, reason);
    }

    private void end(CallEndReason why, Request bye) {
        if (state != State.ENDED) {
            boolean told = byeWanted;
            over();
            if (!told) {
                listener.ended(why, bye);
            }
        }
    }

    private void stop() {
        if (repeat != null) {
            repeat.cancel();
            giveUp.cancel();
        }
    }

    private void over() {
        state = State.ENDED;
        stop();
        calls.over(this, dialog.id());
    }

    /** The INVITE's To with the tag of this side, for logs. */
    public String number() {
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
