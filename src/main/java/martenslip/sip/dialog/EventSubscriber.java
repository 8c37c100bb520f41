package martenslip.sip.dialog;

import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.Headers;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.NameAddr;
import martenslip.sip.message.Parameters;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.ClientTransaction;
import martenslip.sip.transaction.ClientTransactionUser;
import martenslip.sip.transaction.RequestFailure;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transport.Hop;

/**
 * A subscriber (RFC 6665 4.1). It refreshes at half of the time it was granted; once it has failed it says so and
 * waits to be started anew. Owned by the thread of its {@link DialogLayer}.
 */
public final class EventSubscriber implements ClientTransactionUser {
    /** Hears what the watch brings. */
    public interface Listener {
        /** A body of the package; the NOTIFY has been answered. */
        void notified(byte[] body);

        /** The subscription could not be had or has ended. */
        void failed(String why);
    }

    private static final int ASKED_SECONDS = 30;

    private final DialogLayer calls;
    private final String uri;
    private final Hop hop;
    private final String event;
    private final String accept;
    private final Listener listener;
    private String callId;
    private String tag;
    private String remote;
    private String target;
    private long number;
    private long remoteNumber;
    private boolean isActive;
    private TimerWheel.Timer refresh;

    public EventSubscriber(DialogLayer calls, String uri, Hop hop, String event, String accept, Listener listener) {
        this.calls = calls;
        this.uri = uri;
        this.hop = hop;
        this.event = event;
        this.accept = accept;
        this.listener = listener;
    }

    public boolean isActive() {
        return isActive;
    }

    /** Subscribes anew, which brings the whole state; a subscription that stands is left to run out. */
    public void start() {
        stopTimer();
        callId = calls.idGenerator().nextCallId("watch");
        tag = calls.idGenerator().nextTag();
        remote = "<" + uri + ">";
        target = uri;
        number = 0;
        remoteNumber = -1;
        isActive = true;
        subscribe(ASKED_SECONDS);
    }

    /** Asks for the whole state within the subscription that stands; without one it does nothing. */
    public void refresh() {
        if (isActive) {
            stopTimer();
            subscribe(ASKED_SECONDS);
        }
    }

    /** Ends the subscription; nothing more is told. */
    public void stop() {
        stopTimer();
        if (isActive) {
            subscribe(0);
            isActive = false;
        }
    }

    private void stopTimer() {
        if (refresh != null) {
            refresh.cancel();
        }
    }

    private void subscribe(int seconds) {
        Headers headers = new Headers();
        headers.add("Max-Forwards", "70")
                .add("From", "<" + uri + ">;tag=" + tag)
                .add("To", remote);
        headers.add("Call-ID", callId).add("CSeq", ++number + " SUBSCRIBE").add("Event", event);
        headers.add("Accept", accept).add("Expires", seconds).add("Contact", calls.contactHeader(hop.protocol(), null));
        calls.transactionLayer().send(new Request("SUBSCRIBE", target, headers), hop, this);
    }

    @Override
    public void responseReceived(ClientTransaction transaction, Response response) {
        if (!isActive || !transaction.request().callId().equals(callId) || response.isProvisional()) {
            return;
        }
        if (overtaken(transaction)) {
            // A refresh that a later one has overtaken on a lossy way may be refused as out of order.
            return;
        }
        if (!response.isSuccess()) {
            fail("refused with " + response.status());
            return;
        }
        try {
            // The 2xx makes the subscription's dialog, unless a NOTIFY came before it (RFC 6665 4.1.2.4).
            remote = response.to().toString();
            String contact = response.headers().first("Contact");
            target = contact == null ? target : NameAddr.parse(contact).uri();
            String granted = response.headers().first("Expires");
            int seconds = granted == null ? ASKED_SECONDS : Integer.parseInt(granted);
            stopTimer();
            refresh = calls.timerWheel()
                    .scheduleAfter(Span.ofMillis(Math.max(1, seconds) * 500.0), () -> subscribe(ASKED_SECONDS));
        } catch (InvalidValueException | NumberFormatException e) {
            fail("an answer that can't be read: " + e.getMessage());
        }
    }

    @Override
    public void failed(ClientTransaction transaction, RequestFailure why) {
        if (isActive && transaction.request().callId().equals(callId) && !overtaken(transaction)) {
            fail(why.toString());
        }
    }

    private boolean overtaken(ClientTransaction transaction) {
        return !transaction.request().headers().first("CSeq").equals(number + " SUBSCRIBE");
    }

    private void fail(String why) {
        stopTimer();
        isActive = false;
        listener.failed(why);
    }

    /** Takes a NOTIFY that is of this subscription; false where it is not. */
    public boolean handleNotify(ServerTransaction transaction) throws InvalidValueException {
        Request request = transaction.request();
        if (!isActive
                || !request.hasMethod("NOTIFY")
                || !request.callId().equals(callId)
                || !request.to().tag().equals(tag)) {
            return false;
        }
        long sequence = request.cseq().number();
        if (sequence <= remoteNumber) {
            transaction.respond(request.createResponse(500, "CSeq out of order", null));
            return true;
        }
        remoteNumber = sequence;
        transaction.respond(request.createResponse(200, "OK", null));
        if (request.body().length > 0) {
            listener.notified(request.body());
        }
        String state = request.headers().first("Subscription-State");
        if (state != null && state.startsWith("terminated")) {
            int semicolon = state.indexOf(';');
            fail("ended"
                    + (semicolon < 0
                            ? ""
                            : " " + Parameters.parse(state.substring(semicolon)).get("reason")));
        }
        return true;
    }
}
