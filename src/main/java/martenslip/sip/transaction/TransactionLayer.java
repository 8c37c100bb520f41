package martenslip.sip.transaction;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import martenslip.control.Moment;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.Via;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.TransportEvent;

/**
 * All transactions of one thread (RFC 3261 17). At {@code maxTransactions} a new request is answered with a stateless
 * 503, and an own request fails with {@link RequestFailure#TABLE_FULL}.
 */
public final class TransactionLayer {
    /** Requests over this size go over TCP, as the path MTU is unknown (RFC 3261 18.1.1). */
    public static final int LARGE_REQUEST_BYTES = 1300;

    private static final int DEFAULT_SIP_PORT = 5060;

    final TimerWheel timerWheel;
    final TransactionTimers timers;
    final MessageSender sender;
    private final IdGenerator idGenerator;
    private final TransactionUser user;
    private final DropCounter drops;
    private final int maxTransactions;
    private final Map<String, ServerTransaction> serverTransactions = new HashMap<>();
    private final Map<String, ClientTransaction> clientTransactions = new LinkedHashMap<>();

    /** Creates an empty layer that sends through {@code sender}. */
    public TransactionLayer(
            TimerWheel timerWheel,
            TransactionTimers timers,
            MessageSender sender,
            IdGenerator idGenerator,
            TransactionUser user,
            DropCounter drops,
            int maxTransactions) {
        this.timerWheel = timerWheel;
        this.timers = timers;
        this.sender = sender;
        this.idGenerator = idGenerator;
        this.user = user;
        this.drops = drops;
        this.maxTransactions = maxTransactions;
    }

    /** The number of open client and server transactions. */
    public int openCount() {
        return serverTransactions.size() + clientTransactions.size();
    }

    static String clientKey(String branch, String method) {
        return method + ' ' + branch;
    }

    /**
     * Key by which requests match a server transaction (RFC 3261 17.2.3). A branch without the magic cookie is
     * supplemented by Call-ID, CSeq number and From tag.
     */
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

    /** Sends a request in a new transaction and adds its Via. */
    public ClientTransaction send(Request request, Hop to, ClientTransactionUser clientUser) {
        String branch = idGenerator.nextBranch();
        request.headers().addFirst("Via", via(to.protocol(), branch));
        byte[] bytes = request.bytes();
        if (to.protocol() != Hop.Protocol.UDP || bytes.length <= LARGE_REQUEST_BYTES) {
            return start(request, bytes, branch, to, false, clientUser);
        }
        request.headers().set("Via", via(Hop.Protocol.TCP, branch));
        return start(request, request.bytes(), branch, Hop.tcp(to.address()), true, clientUser);
    }

    /** Sends a CANCEL, which has the Via of the request it cancels. */
    public ClientTransaction sendCancel(Request cancel, Hop to, ClientTransactionUser clientUser) {
        try {
            return start(cancel, cancel.bytes(), cancel.via().branch(), to, false, clientUser);
        } catch (InvalidValueException e) {
            throw new IllegalStateException("CANCEL without the Via of its INVITE", e);
        }
    }

    private ClientTransaction start(
            Request request,
            byte[] bytes,
            String branch,
            Hop hop,
            boolean tcpForSize,
            ClientTransactionUser clientUser) {
        ClientTransaction transaction =
                new ClientTransaction(this, request, bytes, branch, hop, tcpForSize, clientUser);
        if (openCount() >= maxTransactions) {
            drops.increment("transaction table full");
            timerWheel.scheduleAt(timerWheel.now(), () -> transaction.fail(RequestFailure.TABLE_FULL));
            return transaction;
        }
        clientTransactions.put(transaction.key(), transaction);
        transaction.start();
        return transaction;
    }

    /** Sends the ACK of a 2xx, which has no transaction (RFC 3261 13.2.2.4). */
    public void sendAck(Request ack, Hop to) {
        ack.headers().addFirst("Via", via(to.protocol(), idGenerator.nextBranch()));
        sender.send(ack.bytes(), to);
    }

    /** Via that requests overload control (RFC 7339 4.1) and responses to the source port (RFC 3581 3). */
    private String via(Hop.Protocol protocol, String branch) {
        return "SIP/2.0/" + protocol.name() + ' ' + sender.sentBy(protocol) + ";branch=" + branch
                + ";rport;oc;oc-algo=\"loss,rate\"";
    }

    /** Handles a message, an invalid request or the loss of a connection. */
    public void handleEvent(TransportEvent event) {
        if (event instanceof TransportEvent.MessageReceived received) {
            handleMessage(received);
        } else if (event instanceof TransportEvent.InvalidRequest invalid) {
            drops.increment("wrong request answered " + invalid.status());
            refuseStateless(invalid.request(), invalid.status(), invalid.reasonPhrase(), invalid.from());
        } else if (event instanceof TransportEvent.ConnectionLost lost) {
            new ArrayList<>(clientTransactions.values())
                    .forEach(transaction -> transaction.connectionLost(lost.wasEstablished(), lost.hop()));
            new ArrayList<>(serverTransactions.values()).forEach(transaction -> transaction.connectionLost(lost.hop()));
            user.connectionLost(lost.hop(), lost.wasEstablished());
        }
    }

    private void handleMessage(TransportEvent.MessageReceived received) {
        try {
            if (received.message() instanceof Response response) {
                handleResponse(response, received.from());
            } else if (received.message() instanceof Request request) {
                handleRequest(request, received.from(), received.receivedAt());
            }
        } catch (InvalidValueException e) {
            drops.increment("unreadable value");
        }
    }

    private void handleResponse(Response response, Hop from) throws InvalidValueException {
        ClientTransaction transaction = clientTransactions.get(
                clientKey(response.via().branch(), response.cseq().method()));
        if (transaction != null) {
            transaction.handleResponse(response);
        } else {
            user.unmatchedResponse(response, from);
        }
    }

    private void handleRequest(Request request, Hop from, Moment receivedAt) throws InvalidValueException {
        if (request.hasMethod("ACK")) {
            ServerTransaction invite = serverTransactions.get(serverKey(request, "INVITE"));
            if (invite != null && invite.absorbsAck()) {
                invite.ackReceived();
            } else {
                user.ackReceived(request, from);
            }
            return;
        }
        String key = serverKey(request, request.method());
        ServerTransaction existing = serverTransactions.get(key);
        if (existing != null) {
            existing.requestRetransmitted();
            return;
        }
        if (openCount() >= maxTransactions) {
            drops.increment("transaction table full");
            refuseStateless(request, 503, "Too many transactions", from);
            return;
        }
        ServerTransaction transaction =
                new ServerTransaction(this, key, request, from, responseDestination(request, from), receivedAt);
        serverTransactions.put(key, transaction);
        if (request.hasMethod("CANCEL")) {
            handleCancel(transaction);
        } else {
            user.requestReceived(transaction);
        }
    }

    /** Answers a CANCEL and reports it to the user if the INVITE is still pending (RFC 3261 9.2). */
    private void handleCancel(ServerTransaction cancel) throws InvalidValueException {
        ServerTransaction invite = serverTransactions.get(serverKey(cancel.request(), "INVITE"));
        if (invite == null) {
            cancel.respond(cancel.request().createResponse(481, "No transaction to cancel", idGenerator.nextTag()));
            return;
        }
        cancel.respond(cancel.request().createResponse(200, "OK", idGenerator.nextTag()));
        if (invite.state() == ServerTransaction.State.PROCEEDING) {
            user.cancelled(invite, cancel.request());
        }
    }

    /** Answers without state (RFC 3261 8.2.7); a retransmission gets the same response. An ACK is not answered. */
    public void refuseStateless(Request request, int status, String reason, Hop from) {
        if (!request.hasMethod("ACK")) {
            String tag = Integer.toString(request.headers().first("Call-ID").hashCode() & 0x7fffffff, 36);
            try {
                sender.send(request.createResponse(status, reason, tag).bytes(), responseDestination(request, from));
            } catch (InvalidValueException e) {
                drops.increment("nobody to answer");
            }
        }
    }

    /** Address that responses go to (RFC 3261 18.2.2, RFC 3581 4). */
    public static Hop responseDestination(Request request, Hop from) throws InvalidValueException {
        if (from.isReliable()) {
            return from;
        }
        Via via = request.via();
        String rport = via.params().get("rport");
        int port = rport != null
                ? Integer.parseInt(rport)
                : via.sentBy().port() < 0 ? DEFAULT_SIP_PORT : via.sentBy().port();
        return Hop.udp(new InetSocketAddress(from.address().getAddress(), port));
    }

    /** TCP address on which the sender of a request listens, by its Via; null if the Via is unreadable. */
    static Hop newConnectionHop(Request request, Hop from) {
        try {
            int port = request.via().sentBy().port();
            return Hop.tcp(new InetSocketAddress(from.address().getAddress(), port < 0 ? DEFAULT_SIP_PORT : port));
        } catch (InvalidValueException e) {
            return null;
        }
    }

    /**
     * Retries a request over UDP that went over TCP only for its size, after no TCP connection could be established.
     */
    void retryOverUdp(ClientTransaction transaction) {
        String branch = idGenerator.nextBranch();
        clientTransactions.remove(transaction.key());
        transaction.resendOverUdp(
                via(Hop.Protocol.UDP, branch), branch, Hop.udp(transaction.hop().address()));
        clientTransactions.put(transaction.key(), transaction);
    }

    void remove(ClientTransaction transaction) {
        clientTransactions.remove(transaction.key(), transaction);
    }

    void remove(ServerTransaction transaction) {
        serverTransactions.remove(transaction.key, transaction);
        user.transactionEnded(transaction);
    }

    /**
     * Takes over the server transaction of an INVITE from another thread that cannot continue it. Its state is that of
     * a new INVITE without a response, and the user is not notified. Null if the INVITE is known here already.
     */
    public ServerTransaction takeOver(Request invite, Hop from) throws InvalidValueException {
        String key = serverKey(invite, invite.method());
        if (serverTransactions.containsKey(key)) {
            return null;
        }
        ServerTransaction transaction =
                new ServerTransaction(this, key, invite, from, responseDestination(invite, from), timerWheel.now());
        serverTransactions.put(key, transaction);
        return transaction;
    }

    /**
     * Takes over a client transaction from another thread; the request has its Via. The request is sent again, which
     * the peer handles as a retransmission, or, if {@code accepted}, the transaction only receives retransmitted 2xx.
     */
    public ClientTransaction takeOver(Request request, Hop hop, boolean accepted, ClientTransactionUser clientUser)
            throws InvalidValueException {
        ClientTransaction transaction = new ClientTransaction(
                this, request, request.bytes(), request.via().branch(), hop, false, clientUser);
        clientTransactions.put(transaction.key(), transaction);
        if (accepted) {
            transaction.restoreAccepted();
        } else {
            transaction.start();
        }
        return transaction;
    }
}
