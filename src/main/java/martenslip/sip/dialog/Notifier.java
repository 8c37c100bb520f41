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
 * The notifying side of one event package (RFC 6665 4.2). At {@code most} subscriptions a new one is refused
 * with 503. Owned by the thread of its {@link DialogLayer}.
 */
public final class Notifier {
    /** Gives the body for a subscriber. */
    public interface StateSource {
        /** All that is known, for a new or refreshed subscription. */
        byte[] fullState(Subscription to);
    }

    /** One subscription; {@code note} is for the source to remember by what this one has been told. */
    public static final class Subscription {
        private final String callId;
        private final String local;
        private final String remote;
        private final String target;
        private final Hop hop;
        private long number;
        private long remoteNumber;
        private Moment until;
        private int waiting;
        /** The version that this one was told last. */
        public long lastNotifiedVersion;

        private Subscription(String callId, String local, String remote, String target, Hop hop) {
            this.callId = callId;
            this.local = local;
            this.remote = remote;
            this.target = target;
            this.hop = hop;
        }

        public Hop hop() {
            return hop;
        }
    }

    private static final int MOST_SECONDS = 60;
    private static final int MOST_WAITING = 64;

    private final DialogLayer calls;
    private final String event;
    private final String type;
    private final StateSource source;
    private final int most;
    private final Map<String, Subscription> all = new LinkedHashMap<>();

    public Notifier(DialogLayer calls, String event, String type, StateSource source, int most) {
        this.calls = calls;
        this.event = event;
        this.type = type;
        this.source = source;
        this.most = most;
    }

    public List<Subscription> subscriptions() {
        all.values().removeIf(one -> one.until.before(calls.timerWheel().now()));
        return new ArrayList<>(all.values());
    }

    /** True where the request belongs to a subscription that stands here. */
    public boolean hasSubscription(Request request) throws InvalidValueException {
        return all.containsKey(request.callId() + ' ' + request.from().tag());
    }

    /** Takes a SUBSCRIBE of the package; false where it is not. */
    public boolean handleSubscribe(ServerTransaction transaction) throws InvalidValueException {
        Request request = transaction.request();
        if (!request.hasMethod("SUBSCRIBE") || !event.equals(request.headers().first("Event"))) {
            return false;
        }
        String toTag = request.to().tag();
        String key = request.callId() + ' ' + request.from().tag();
        Subscription one = all.get(key);
        if (one == null && !toTag.isEmpty()) {
            transaction.respond(request.createResponse(481, "No such subscription", null));
            return true;
        }
        if (one != null && request.cseq().number() <= one.remoteNumber) {
            transaction.respond(request.createResponse(500, "CSeq out of order", null));
            return true;
        }
        if (one == null && subscriptions().size() >= most) {
            transaction.respond(request.createResponse(
                    503, "Too many subscriptions", calls.idGenerator().nextTag()));
            return true;
        }
        String asked = request.headers().first("Expires");
        int seconds = asked == null ? MOST_SECONDS : (int) Math.min(MOST_SECONDS, Long.parseLong(asked));
        if (one == null) {
            one = begin(request);
            all.put(key, one);
        }
        one.remoteNumber = request.cseq().number();
        one.until = calls.timerWheel().now().plus(Span.ofMillis(seconds * 1000.0));
        Response ok =
                request.createResponse(200, "OK", NameAddr.parse(one.local).tag());
        ok.headers().add("Expires", seconds);
        ok.headers().add("Contact", calls.contactHeader(transaction.from().protocol(), null));
        transaction.respond(ok);
        send(one, source.fullState(one), seconds == 0 ? "terminated;reason=timeout" : "active;expires=" + seconds);
        if (seconds == 0) {
            all.remove(key);
        }
        return true;
    }

    private Subscription begin(Request request) throws InvalidValueException {
        String contact = request.headers().first("Contact");
        if (contact == null) {
            throw new InvalidValueException("no Contact, so no subscription");
        }
        String target = NameAddr.parse(contact).uri();
        String local = request.to().withTag(calls.idGenerator().nextTag()).toString();
        return new Subscription(
                request.callId(),
                local,
                request.headers().first("From"),
                target,
                HopResolver.resolve(martenslip.sip.message.SipUri.parse(target)));
    }

    /** Sends a body; false where this subscriber has too many unanswered ones and must be told later. */
    public boolean sendNotify(Subscription one, byte[] body) {
        if (one.waiting >= MOST_WAITING) {
            return false;
        }
        send(one, body, "active");
        return true;
    }

    private void send(Subscription one, byte[] body, String state) {
        Headers headers = new Headers();
        headers.add("Max-Forwards", "70")
                .add("From", one.local)
                .add("To", one.remote)
                .add("Call-ID", one.callId);
        headers.add("CSeq", ++one.number + " NOTIFY").add("Event", event).add("Subscription-State", state);
        headers.add("Contact", calls.contactHeader(one.hop.protocol(), null));
        Request request = new Request("NOTIFY", one.target, headers);
        request.body(type, body);
        one.waiting++;
        calls.transactionLayer().send(request, one.hop, new ClientTransactionUser() {
            @Override
            public void responseReceived(ClientTransaction transaction, Response response) {
                if (!response.isProvisional()) {
                    one.waiting--;
                }
                if (response.status() == 481) {
                    all.values().remove(one);
                }
            }

            @Override
            public void failed(ClientTransaction transaction, RequestFailure why) {
                // RFC 6665 4.2.2: a subscriber that can't be told is taken off.
                all.values().remove(one);
            }
        });
    }
}
