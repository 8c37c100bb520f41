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
 * A subscriber (RFC 6665 4.1). It refreshes after half of the granted duration. Once it has failed it reports the
 * failure and remains inactive until {@link #start}. Owned by the thread of its {@link DialogLayer}.
 */
public final class EventSubscriber implements ClientTransactionUser {
    /** Receives notifications and the end of the subscription. */
    public interface Listener {
        /** A NOTIFY with a body arrived; it has been answered. */
        void notified(byte[] body);

        /** The subscription could not be established or has ended. */
        void failed(String reason);
    }

    private static final int REQUESTED_EXPIRES_SECONDS = 30;

    private final DialogLayer dialogLayer;
    private final String uri;
    private final Hop hop;
    private final String eventPackage;
    private final String accept;
    private final Listener listener;
    private String callId;
    private String localTag;
    private String remoteNameAddr;
    private String remoteTarget;
    private long localCseq;
    private long remoteCseq;
    private boolean active;
    private TimerWheel.Timer refreshTimer;

    /**
     * Creates an inactive subscriber to {@code eventPackage} at {@code uri}; {@code accept} is the value of the Accept
     * header.
     */
    public EventSubscriber(
            DialogLayer dialogLayer, String uri, Hop hop, String eventPackage, String accept, Listener listener) {
        this.dialogLayer = dialogLayer;
        this.uri = uri;
        this.hop = hop;
        this.eventPackage = eventPackage;
        this.accept = accept;
        this.listener = listener;
    }

    /** True from {@link #start} until it stops or fails. */
    public boolean isActive() {
        return active;
    }

    /** Starts a new subscription, which brings the full state; an existing one is left to expire. */
    public void start() {
        stopTimer();
        callId = dialogLayer.idGenerator().nextCallId("watch");
        localTag = dialogLayer.idGenerator().nextTag();
        remoteNameAddr = "<" + uri + ">";
        remoteTarget = uri;
        localCseq = 0;
        remoteCseq = -1;
        active = true;
        subscribe(REQUESTED_EXPIRES_SECONDS);
    }

    /** Requests the full state within the existing subscription; without one it does nothing. */
    public void refresh() {
        if (active) {
            stopTimer();
            subscribe(REQUESTED_EXPIRES_SECONDS);
        }
    }

    /** Ends the subscription; the listener is not called any more. */
    public void stop() {
        stopTimer();
        if (active) {
            subscribe(0);
            active = false;
        }
    }

    private void stopTimer() {
        if (refreshTimer != null) {
            refreshTimer.cancel();
        }
    }

    private void subscribe(int seconds) {
        Headers headers = new Headers();
        headers.add("Max-Forwards", "70")
                .add("From", "<" + uri + ">;tag=" + localTag)
                .add("To", remoteNameAddr);
        headers.add("Call-ID", callId).add("CSeq", ++localCseq + " SUBSCRIBE").add("Event", eventPackage);
        headers.add("Accept", accept)
                .add("Expires", seconds)
                .add("Contact", dialogLayer.contactHeader(hop.protocol(), null));
        dialogLayer.transactionLayer().send(new Request("SUBSCRIBE", remoteTarget, headers), hop, this);
    }

    @Override
    public void responseReceived(ClientTransaction transaction, Response response) {
        if (!active || !transaction.request().callId().equals(callId) || response.isProvisional()) {
            return;
        }
        if (isSuperseded(transaction)) {
            // On an unreliable transport a refresh that a later one overtook may be refused as out of order.
            return;
        }
        if (!response.isSuccess()) {
            fail("refused with " + response.status());
            return;
        }
        try {
            // The 2xx establishes the dialog of the subscription, unless a NOTIFY came before it (RFC 6665 4.1.2.4).
            remoteNameAddr = response.to().toString();
            String contact = response.headers().first("Contact");
            remoteTarget =
                    contact == null ? remoteTarget : NameAddr.parse(contact).uri();
            String granted = response.headers().first("Expires");
            int seconds = granted == null ? REQUESTED_EXPIRES_SECONDS : Integer.parseInt(granted);
            stopTimer();
            // Refresh after half of the granted time; 500 ms are half of a second.
            refreshTimer = dialogLayer
                    .timerWheel()
                    .scheduleAfter(
                            Span.ofMillis(Math.max(1, seconds) * 500.0), () -> subscribe(REQUESTED_EXPIRES_SECONDS));
        } catch (InvalidValueException | NumberFormatException e) {
            fail("unreadable response: " + e.getMessage());
        }
    }

    @Override
    public void failed(ClientTransaction transaction, RequestFailure reason) {
        if (active && transaction.request().callId().equals(callId) && !isSuperseded(transaction)) {
            fail(reason.toString());
        }
    }

    /** True if a later SUBSCRIBE has been sent in the meantime. */
    private boolean isSuperseded(ClientTransaction transaction) {
        return !transaction.request().headers().first("CSeq").equals(localCseq + " SUBSCRIBE");
    }

    private void fail(String reason) {
        stopTimer();
        active = false;
        listener.failed(reason);
    }

    /** Handles a NOTIFY of this subscription; returns false for any other request. */
    public boolean handleNotify(ServerTransaction transaction) throws InvalidValueException {
        Request request = transaction.request();
        if (!active
                || !request.hasMethod("NOTIFY")
                || !request.callId().equals(callId)
                || !request.to().tag().equals(localTag)) {
            return false;
        }
        long cseq = request.cseq().number();
        if (cseq <= remoteCseq) {
            transaction.respond(request.createResponse(500, "CSeq out of order", null));
            return true;
        }
        remoteCseq = cseq;
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
