package martenslip.sip.dialog;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.sip.message.Headers;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.NameAddr;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.ClientTransaction;
import martenslip.sip.transaction.ClientTransactionUser;
import martenslip.sip.transaction.RequestFailure;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.HopResolver;

/**
 * The notifier of one event package (RFC 6665 4.2). At {@code maxSubscriptions} a new one is refused with 503. Owned by
 * the thread of its {@link DialogLayer}.
 */
public final class Notifier {
    /** Provides the body for a subscriber. */
    public interface StateSource {
        /** The full state, for a new or refreshed subscription. */
        byte[] fullState(Subscription subscription);
    }

    /** One subscription. */
    public static final class Subscription {
        private final String callId;
        private final String localNameAddr;
        private final String remoteNameAddr;
        private final String remoteTarget;
        private final Hop hop;
        private long localCseq;
        private long remoteCseq;
        private Moment expiry;
        private int unansweredNotifies;
        /** The version of the state that was last sent; maintained by the state source. */
        public long lastNotifiedVersion;

        private Subscription(String callId, String localNameAddr, String remoteNameAddr, String remoteTarget, Hop hop) {
            this.callId = callId;
            this.localNameAddr = localNameAddr;
            this.remoteNameAddr = remoteNameAddr;
            this.remoteTarget = remoteTarget;
            this.hop = hop;
        }

        /** Address that notifications go to. */
        public Hop hop() {
            return hop;
        }
    }

    private static final int MAX_EXPIRES_SECONDS = 60;
    private static final int MAX_UNANSWERED_NOTIFIES = 64;

    private final DialogLayer dialogLayer;
    private final String eventPackage;
    private final String contentType;
    private final StateSource stateSource;
    private final int maxSubscriptions;
    private final Map<String, Subscription> subscriptionsByKey = new LinkedHashMap<>();

    /** Creates a notifier without subscriptions; {@code contentType} is the type of its bodies. */
    public Notifier(
            DialogLayer dialogLayer,
            String eventPackage,
            String contentType,
            StateSource stateSource,
            int maxSubscriptions) {
        this.dialogLayer = dialogLayer;
        this.eventPackage = eventPackage;
        this.contentType = contentType;
        this.stateSource = stateSource;
        this.maxSubscriptions = maxSubscriptions;
    }

    /** The subscriptions that have not expired. */
    public List<Subscription> subscriptions() {
        subscriptionsByKey
                .values()
                .removeIf(subscription ->
                        subscription.expiry.before(dialogLayer.timerWheel().now()));
        return new ArrayList<>(subscriptionsByKey.values());
    }

    /** True if the request belongs to a known subscription. */
    public boolean hasSubscription(Request request) throws InvalidValueException {
        return subscriptionsByKey.containsKey(
                request.callId() + ' ' + request.from().tag());
    }

    /** Handles a SUBSCRIBE of the package; returns false for any other request. */
    public boolean handleSubscribe(ServerTransaction transaction) throws InvalidValueException {
        Request request = transaction.request();
        if (!request.hasMethod("SUBSCRIBE")
                || !eventPackage.equals(request.headers().first("Event"))) {
            return false;
        }
        String toTag = request.to().tag();
        String key = request.callId() + ' ' + request.from().tag();
        Subscription subscription = subscriptionsByKey.get(key);
        if (subscription == null && !toTag.isEmpty()) {
            transaction.respond(request.createResponse(481, "No such subscription", null));
            return true;
        }
        if (subscription != null && request.cseq().number() <= subscription.remoteCseq) {
            transaction.respond(request.createResponse(500, "CSeq out of order", null));
            return true;
        }
        if (subscription == null && subscriptions().size() >= maxSubscriptions) {
            transaction.respond(request.createResponse(
                    503, "Too many subscriptions", dialogLayer.idGenerator().nextTag()));
            return true;
        }
        String requestedExpires = request.headers().first("Expires");
        int seconds = requestedExpires == null
                ? MAX_EXPIRES_SECONDS
                : (int) Math.min(MAX_EXPIRES_SECONDS, Long.parseLong(requestedExpires));
        if (subscription == null) {
            subscription = createSubscription(request);
            subscriptionsByKey.put(key, subscription);
        }
        subscription.remoteCseq = request.cseq().number();
        subscription.expiry = dialogLayer.timerWheel().now().plus(Span.ofMillis(seconds * 1000.0));
        Response ok = request.createResponse(
                200, "OK", NameAddr.parse(subscription.localNameAddr).tag());
        ok.headers().add("Expires", seconds);
        ok.headers().add("Contact", dialogLayer.contactHeader(transaction.from().protocol(), null));
        transaction.respond(ok);
        send(
                subscription,
                stateSource.fullState(subscription),
                seconds == 0 ? "terminated;reason=timeout" : "active;expires=" + seconds);
        if (seconds == 0) {
            subscriptionsByKey.remove(key);
        }
        return true;
    }

    private Subscription createSubscription(Request request) throws InvalidValueException {
        String contact = request.headers().first("Contact");
        if (contact == null) {
            throw new InvalidValueException("no Contact, so no subscription");
        }
        String remoteTarget = NameAddr.parse(contact).uri();
        String localNameAddr =
                request.to().withTag(dialogLayer.idGenerator().nextTag()).toString();
        return new Subscription(
                request.callId(),
                localNameAddr,
                request.headers().first("From"),
                remoteTarget,
                HopResolver.resolve(martenslip.sip.message.SipUri.parse(remoteTarget)));
    }

    /** Sends a NOTIFY; returns false if this subscriber has too many unanswered ones and must be notified later. */
    public boolean sendNotify(Subscription subscription, byte[] body) {
        if (subscription.unansweredNotifies >= MAX_UNANSWERED_NOTIFIES) {
            return false;
        }
        send(subscription, body, "active");
        return true;
    }

    private void send(Subscription subscription, byte[] body, String state) {
        Headers headers = new Headers();
        headers.add("Max-Forwards", "70")
                .add("From", subscription.localNameAddr)
                .add("To", subscription.remoteNameAddr)
                .add("Call-ID", subscription.callId);
        headers.add("CSeq", ++subscription.localCseq + " NOTIFY")
                .add("Event", eventPackage)
                .add("Subscription-State", state);
        headers.add("Contact", dialogLayer.contactHeader(subscription.hop.protocol(), null));
        Request request = new Request("NOTIFY", subscription.remoteTarget, headers);
        request.body(contentType, body);
        subscription.unansweredNotifies++;
        dialogLayer.transactionLayer().send(request, subscription.hop, new ClientTransactionUser() {
            @Override
            public void responseReceived(ClientTransaction transaction, Response response) {
                if (!response.isProvisional()) {
                    subscription.unansweredNotifies--;
                }
                if (response.status() == 481) {
                    subscriptionsByKey.values().remove(subscription);
                }
            }

            @Override
            public void failed(ClientTransaction transaction, RequestFailure reason) {
                // RFC 6665 4.2.2: a subscription whose NOTIFY fails is removed.
                subscriptionsByKey.values().remove(subscription);
            }
        });
    }
}
