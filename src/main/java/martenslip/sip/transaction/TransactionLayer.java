package martenslip.sip.transaction;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Message;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.Via;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.TransportEvent;

/**
 * All transactions of one thread (RFC 3261 17). At {@code most} transactions new requests are answered 503
 * without state, and own requests fail with {@link RequestFailure#TABLE_FULL}.
 */
public final class TransactionLayer {
    /** Requests over this size go by TCP where the path's limit is unknown (RFC 3261 18.1.1). */
    public static final int LARGE_REQUEST_BYTES = 1300;

    final TimerWheel wheel;
    final TransactionTimers timers;
    final MessageSender out;
    private final IdGenerator branches;
    private final TransactionUser user;
    private final DropCounter drops;
    private final int most;
    private final Map<String, ServerTransaction> servers = new HashMap<>();
    private final Map<String, ClientTransaction> clients = new LinkedHashMap<>();

    public TransactionLayer(
            TimerWheel wheel,
            TransactionTimers timers,
            MessageSender out,
            IdGenerator branches,
            TransactionUser user,
            DropCounter drops,
            int most) {
        this.wheel = wheel;
        this.timers = timers;
        this.out = out;
        this.branches = branches;
        this.user = user;
        this.drops = drops;
        this.most = most;
    }

    public int openCount() {
        return servers.size() + clients.size();
    }

    static String clientKey(String branch, String method) {
        return method + ' ' + branch;
    }

    /** RFC 3261 17.2.3; without the cookie the older rule's parts stand in for the branch. */
    static String serverKey(Request request, String method) throws InvalidValueException {
        Via via = request.via();
        if (via.branch().startsWith(Via.MAGIC_COOKIE)) {
            return method + ' ' + via.branch() + ' ' + via.sentBy();
        }
        return method
                + ' '
                + request.callId()
                + ' '
                + request.cseq().number()
                + ' '
                + request.from().tag()
                + ' '
                + via.sentBy()
                + via.branch();
    }

    /** Sends a request over a transaction of its own; its Via is put here. */
    public ClientTransaction send(Request request, Hop to, ClientTransactionUser asker) {
        String branch = branches.nextBranch();
        request.headers().addFirst("Via", via(to.protocol(), branch));
        byte[] bytes = request.bytes();
        if (to.protocol() != Hop.Protocol.UDP || bytes.length <= LARGE_REQUEST_BYTES) {
            return start(request, bytes, branch, to, false, asker);
        }
        request.headers().set("Via", via(Hop.Protocol.TCP, branch));
        return start(request, request.bytes(), branch, Hop.tcp(to.address()), true, asker);
    }

    /** Sends a CANCEL, which bears the Via of what it cancels. */
    public ClientTransaction sendCancel(Request cancel, Hop to, ClientTransactionUser asker) {
        try {
            return start(cancel, cancel.bytes(), cancel.via().branch(), to, false, asker);
        } catch (InvalidValueException e) {
            throw new IllegalStateException("a CANCEL without the Via of its INVITE", e);
        }
    }

    private ClientTransaction start(
            Request request, byte[] bytes, String branch, Hop hop, boolean forSize, ClientTransactionUser asker) {
        ClientTransaction transaction = new ClientTransaction(this, request, bytes, branch, hop, forSize, asker);
        if (openCount() >= most) {
            drops.increment("transaction table full");
            wheel.scheduleAt(wheel.now(), () -> transaction.fail(RequestFailure.TABLE_FULL));
            return transaction;
        }
        clients.put(transaction.key(), transaction);
        transaction.start();
        return transaction;
    }

    /** Sends a request that has no transaction: the ACK of a 2xx (RFC 3261 13.2.2.4). */
    public void sendAck(Request ack, Hop to) {
        ack.headers().addFirst("Via", via(to.protocol(), branches.nextBranch()));
        out.send(ack.bytes(), to);
    }

    /** Asks for overload control too (RFC 7339 4.1), and for the answer to come back here (RFC 3581 3). */
    private String via(Hop.Protocol kind, String branch) {
        return "SIP/2.0/" + kind.name() + ' ' + out.sentBy(kind) + ";branch=" + branch
                + ";rport;oc;oc-algo=\"loss,rate\"";
    }

    public void handleEvent(TransportEvent arrival) {
        if (arrival instanceof TransportEvent.MessageReceived received) {
            received(received.message(), received.from());
        } else if (arrival instanceof TransportEvent.InvalidRequest wrong) {
            drops.increment("wrong request answered " + wrong.status());
            refuseStateless(wrong.request(), wrong.status(), wrong.reasonPhrase(), wrong.from());
        } else if (arrival instanceof TransportEvent.ConnectionLost broken) {
            new ArrayList<>(clients.values()).forEach(one -> one.broken(broken.wasEstablished(), broken.hop()));
            new ArrayList<>(servers.values()).forEach(one -> one.broken(broken.hop()));
            user.connectionLost(broken.hop(), broken.wasEstablished());
        }
    }

    private void received(Message message, Hop from) {
        try {
            if (message instanceof Response response) {
                response(response, from);
            } else if (message instanceof Request request) {
                request(request, from);
            }
        } catch (InvalidValueException e) {
            drops.increment("unreadable value");
        }
    }

    private void response(Response response, Hop from) throws InvalidValueException {
        ClientTransaction transaction =
                clients.get(clientKey(response.via().branch(), response.cseq().method()));
        if (transaction != null) {
            transaction.response(response);
        } else {
            user.unmatchedResponse(response, from);
        }
    }

    private void request(Request request, Hop from) throws InvalidValueException {
        if (request.hasMethod("ACK")) {
            ServerTransaction invite = servers.get(serverKey(request, "INVITE"));
            if (invite != null && invite.waitsForAck()) {
                invite.acked();
            } else {
                user.ackReceived(request, from);
            }
            return;
        }
        String key = serverKey(request, request.method());
        ServerTransaction known = servers.get(key);
        if (known != null) {
            known.repeated();
            return;
        }
        if (openCount() >= most) {
            drops.increment("transaction table full");
            refuseStateless(request, 503, "Too many transactions", from);
            return;
        }
        ServerTransaction begun = new ServerTransaction(this, key, request, from, responseDestination(request, from));
        servers.put(key, begun);
        if (request.hasMethod("CANCEL")) {
            cancel(begun);
        } else {
            user.requestReceived(begun);
        }
    }

    /** RFC 3261 9.2. */
    private void cancel(ServerTransaction cancel) throws InvalidValueException {
        ServerTransaction invite = servers.get(serverKey(cancel.request(), "INVITE"));
        if (invite == null) {
            cancel.respond(cancel.request().createResponse(481, "No transaction to cancel", branches.nextTag()));
            return;
        }
        cancel.respond(cancel.request().createResponse(200, "OK", branches.nextTag()));
        if (invite.state() == ServerTransaction.State.PROCEEDING) {
            user.cancelled(invite, cancel.request());
        }
    }

    /** Answers without state (RFC 3261 8.2.7); a repeat gets the same answer. */
    public void refuseStateless(Request request, int status, String reason, Hop from) {
        if (!request.hasMethod("ACK")) {
            String tag = Integer.toString(request.headers().first("Call-ID").hashCode() & 0x7fffffff, 36);
            try {
                out.send(request.createResponse(status, reason, tag).bytes(), responseDestination(request, from));
            } catch (InvalidValueException e) {
                drops.increment("nobody to answer");
            }
        }
    }

    /** Where responses go (RFC 3261 18.2.2, RFC 3581 4). */
    public static Hop responseDestination(Request request, Hop from) throws InvalidValueException {
        if (from.isReliable()) {
            return from;
        }
        Via via = request.via();
        String rport = via.params().get("rport");
        int port = rport != null
                ? Integer.parseInt(rport)
                : via.sentBy().port() < 0 ? 5060 : via.sentBy().port();
        return Hop.udp(new InetSocketAddress(from.address().getAddress(), port));
    }

    /** Where the sender of a request listens for TCP, or null where it does not say. */
    static Hop anew(Request request, Hop from) {
        try {
            int port = request.via().sentBy().port();
            return Hop.tcp(new InetSocketAddress(from.address().getAddress(), port < 0 ? 5060 : port));
        } catch (InvalidValueException e) {
            return null;
        }
    }

    /** A large request went by TCP only for its size, which was refused; now it goes by UDP after all. */
    void shrunk(ClientTransaction transaction) {
        String branch = branches.nextBranch();
        clients.remove(transaction.key());
        transaction.overUdp(
                via(Hop.Protocol.UDP, branch), branch, Hop.udp(transaction.hop().address()));
        clients.put(transaction.key(), transaction);
    }

    void over(ClientTransaction transaction) {
        clients.remove(transaction.key(), transaction);
    }

    void over(ServerTransaction transaction) {
        servers.remove(transaction.key, transaction);
        user.transactionEnded(transaction);
    }

    /**
     * A server transaction of an INVITE that another thread had begun and can't go on with: it stands as if the
     * INVITE had just come and had no response, and the user is not told. Null where it is known here already.
     */
    public ServerTransaction takeOver(Request invite, Hop from) throws InvalidValueException {
        String key = serverKey(invite, invite.method());
        if (servers.containsKey(key)) {
            return null;
        }
        ServerTransaction begun = new ServerTransaction(this, key, invite, from, responseDestination(invite, from));
        servers.put(key, begun);
        return begun;
    }

    /**
     * A client transaction that another thread had begun. The request bears its Via. It is sent again, which the far
     * side takes for a repeat, or stands as {@code accepted} and only meets what comes again.
     */
    public ClientTransaction takeOver(Request request, Hop hop, boolean accepted, ClientTransactionUser asker)
            throws InvalidValueException {
        ClientTransaction begun = new ClientTransaction(
                this, request, request.bytes(), request.via().branch(), hop, false, asker);
        clients.put(begun.key(), begun);
        if (accepted) {
            begun.accepted();
        } else {
            begun.start();
        }
        return begun;
    }
}
