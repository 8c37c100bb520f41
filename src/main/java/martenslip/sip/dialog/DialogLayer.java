package martenslip.sip.dialog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.ClientTransaction;
import martenslip.sip.transaction.ClientTransactionUser;
import martenslip.sip.transaction.IdGenerator;
import martenslip.sip.transaction.MessageSender;
import martenslip.sip.transaction.RequestFailure;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.TransactionLayer;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transaction.TransactionUser;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.Hop;

/** All call dialogs of one thread (RFC 3261 12 to 15), and the checks that every request passes (8.2). */
public final class DialogLayer implements TransactionUser {
    private static final int MAX_PHRASE_LENGTH = 100;
    private static final Set<String> CALL_METHODS = Set.of("INVITE", "ACK", "BYE", "CANCEL");
    private static final Set<String> KNOWN_METHODS = Set.of(
            "INVITE",
            "ACK",
            "BYE",
            "CANCEL",
            "OPTIONS",
            "REGISTER",
            "PRACK",
            "SUBSCRIBE",
            "NOTIFY",
            "PUBLISH",
            "INFO",
            "REFER",
            "MESSAGE",
            "UPDATE");

    private final TimerWheel timerWheel;
    private final TransactionTimers timers;
    private final MessageSender sender;
    private final IdGenerator idGenerator;
    private final UserAgentCore userAgentCore;
    private final DropCounter drops;
    private final TransactionLayer transactionLayer;
    private final Map<String, CallLeg> legs = new LinkedHashMap<>();
    private final Map<String, UasCall> callsByMergeKey = new HashMap<>();
    private final String allowHeader;

    /** Creates a layer with a {@link TransactionLayer} of its own. */
    public DialogLayer(
            TimerWheel timerWheel,
            TransactionTimers timers,
            MessageSender sender,
            IdGenerator idGenerator,
            UserAgentCore userAgentCore,
            DropCounter drops,
            int maxTransactions) {
        this.timerWheel = timerWheel;
        this.timers = timers;
        this.sender = sender;
        this.idGenerator = idGenerator;
        this.userAgentCore = userAgentCore;
        this.drops = drops;
        transactionLayer = new TransactionLayer(timerWheel, timers, sender, idGenerator, this, drops, maxTransactions);
        Set<String> allowedMethods = new TreeSet<>(CALL_METHODS);
        allowedMethods.addAll(userAgentCore.additionalMethods());
        allowHeader = String.join(", ", allowedMethods);
    }

    /** The transaction layer below. */
    public TransactionLayer transactionLayer() {
        return transactionLayer;
    }

    /** Generator of tags, branches and Call-IDs. */
    public IdGenerator idGenerator() {
        return idGenerator;
    }

    /** The timers of the owning thread. */
    public TimerWheel timerWheel() {
        return timerWheel;
    }

    TransactionTimers timers() {
        return timers;
    }

    DropCounter drops() {
        return drops;
    }

    /** The number of open dialogs, early ones included. */
    public int openDialogCount() {
        return legs.size();
    }

    /** A Contact value of this endpoint for peers on this protocol, in angle brackets; {@code user} may be null. */
    public String contactHeader(Hop.Protocol protocol, String user) {
        return "<sip:" + (user == null ? "" : user + "@") + sender.sentBy(protocol)
                + (protocol == Hop.Protocol.TCP ? ";transport=tcp" : "") + ">";
    }

    /** Sends an INVITE. Its Via is added, and its Contact if it has none. */
    public UacCall startCall(Request invite, Hop to, UacCall.Listener listener) {
        UacCall call = new UacCall(this, listener);
        if (invite.headers().first("Contact") == null) {
            invite.headers().add("Contact", contactHeader(to.protocol(), null));
        }
        call.start(invite, to);
        return call;
    }

    /**
     * Takes over a call that another thread had received, with the INVITE, its source address and the tag that this
     * side assigned. {@code confirmed} means that its 2xx was acknowledged. Null if the INVITE is known here already.
     */
    public UasCall takeOver(Request invite, Hop from, String localTag, boolean confirmed) throws InvalidValueException {
        ServerTransaction transaction = transactionLayer.takeOver(invite, from);
        if (transaction == null) {
            return null;
        }
        UasCall call = createUasCall(transaction, invite, localTag);
        if (confirmed) {
            call.restoreConfirmed();
        }
        return call;
    }

    /** Takes over an INVITE that another thread had sent; {@code success} is its 2xx, or null while it is pending. */
    public UacCall takeOver(Request invite, Hop to, Response success, UacCall.Listener listener)
            throws InvalidValueException {
        UacCall call = new UacCall(this, listener);
        if (success == null) {
            call.takeOver(invite, to);
        } else {
            call.takeOver(invite, to, success);
        }
        return call;
    }

    private UasCall createUasCall(ServerTransaction transaction, Request invite, String localTag)
            throws InvalidValueException {
        UasCall call = new UasCall(this, transaction, Dialog.asUas(invite, localTag));
        transaction.attach(call);
        legs.put(call.id(), call);
        callsByMergeKey.put(mergeKey(invite), call);
        return call;
    }

    ClientTransaction send(Request request, Hop to, ClientTransactionUser clientUser) {
        return transactionLayer.send(request, to, clientUser);
    }

    void sendCancel(Request cancel, Hop to) {
        transactionLayer.sendCancel(cancel, to, IGNORE_OUTCOME);
    }

    /** Sends a BYE; the dialog is ended here whatever the response is. */
    void sendBye(Dialog dialog, String reason) {
        try {
            Request bye = dialog.createRequest("BYE");
            if (reason != null) {
                bye.headers().add("Reason", reason);
            }
            transactionLayer.send(bye, dialog.nextHop(), IGNORE_OUTCOME);
        } catch (InvalidValueException e) {
            drops.increment("far side of a dialog can't be reached");
        }
    }

    void sendAck(Dialog dialog, ClientTransaction invite) {
        try {
            transactionLayer.sendAck(dialog.createAck(invite.request().cseq().number()), dialog.nextHop());
        } catch (InvalidValueException e) {
            drops.increment("far side of a dialog can't be reached");
        }
    }

    private static final ClientTransactionUser IGNORE_OUTCOME = new ClientTransactionUser() {
        @Override
        public void responseReceived(ClientTransaction transaction, Response response) {
            // Nothing depends on the response to a CANCEL or BYE (RFC 3261 9.1, 15.1.1).
        }

        @Override
        public void failed(ClientTransaction transaction, RequestFailure reason) {
            // Nothing depends on it, as above.
        }
    };

    void addLeg(UacCall call, String id) {
        legs.put(id, call);
    }

    void removeLeg(CallLeg leg, String id) {
        legs.remove(id, leg);
        if (leg instanceof UasCall uasCall) {
            callsByMergeKey.remove(mergeKey(uasCall.invite()), uasCall);
        }
    }

    /**
     * Answers a request within a dialog; returns true if it is the BYE that ends the dialog (RFC 3261 12.2.2, 15.1.2).
     */
    boolean answerInDialog(ServerTransaction transaction, Dialog dialog) throws InvalidValueException {
        Request request = transaction.request();
        if (!dialog.acceptRemoteCseq(request.cseq().number())) {
            transaction.respond(request.createResponse(500, "CSeq out of order", null));
            return false;
        }
        if (!request.hasMethod("BYE")) {
            refuseInDialog(transaction);
            return false;
        }
        transaction.respond(request.createResponse(200, "OK", null));
        return true;
    }

    /** Refuses a request within a call that is not supported: 488 for one that changes the session, else 405 or 501. */
    void refuseInDialog(ServerTransaction transaction) {
        Request request = transaction.request();
        boolean changesSession = request.hasMethod("INVITE") || request.hasMethod("UPDATE");
        Response refusal = changesSession
                ? request.createResponse(488, "Sessions are not changed here", null)
                : request.createResponse(KNOWN_METHODS.contains(request.method()) ? 405 : 501, "Not in a call", null);
        if (!changesSession) {
            refusal.headers().add("Allow", allowHeader);
        }
        transaction.respond(refusal);
    }

    @Override
    public void requestReceived(ServerTransaction transaction) {
        Request request = transaction.request();
        try {
            String toTag = request.to().tag();
            CallLeg leg = toTag.isEmpty()
                    ? null
                    : legs.get(Dialog.id(request.callId(), toTag, request.from().tag()));
            if (leg != null) {
                leg.requestReceived(transaction);
            } else if (!refuseIfUnacceptable(transaction, request, toTag)) {
                if (request.hasMethod("INVITE")) {
                    handleInvite(transaction, request);
                } else {
                    userAgentCore.requestReceived(transaction);
                }
            }
        } catch (InvalidValueException e) {
            transaction.respond(request.createResponse(400, truncatePhrase(e.getMessage()), idGenerator.nextTag()));
        }
    }

    private static String truncatePhrase(String text) {
        return text.length() > MAX_PHRASE_LENGTH ? text.substring(0, MAX_PHRASE_LENGTH) : text;
    }

    /** Applies the checks of RFC 3261 8.2 and 12.2.2; returns true if the request was refused. */
    private boolean refuseIfUnacceptable(ServerTransaction transaction, Request request, String toTag) {
        String method = request.method();
        if (!CALL_METHODS.contains(method) && !userAgentCore.additionalMethods().contains(method)) {
            boolean knownMethod = KNOWN_METHODS.contains(method);
            Response refusal = request.createResponse(
                    knownMethod ? 405 : 501,
                    "Method " + truncatePhrase(method) + " is not served",
                    idGenerator.nextTag());
            refusal.headers().add("Allow", allowHeader);
            return transaction.respond(refusal);
        }
        List<String> required = request.headers().all("Require");
        if (!required.isEmpty()) {
            Response refusal = request.createResponse(420, "Extension not supported", idGenerator.nextTag());
            required.forEach(extension -> refusal.headers().add("Unsupported", extension));
            return transaction.respond(refusal);
        }
        boolean inCall = CALL_METHODS.contains(method) && !toTag.isEmpty() || method.equals("BYE");
        if (inCall) {
            return transaction.respond(request.createResponse(481, "No such call", idGenerator.nextTag()));
        }
        return false;
    }

    private static void sendTrying(ServerTransaction transaction) {
        if (transaction.isUnanswered()) {
            transaction.respond(transaction.request().createResponse(100, "Trying", null));
        }
    }

    /** Key of a request that reached this UAS by several paths (RFC 3261 8.2.2.2). */
    private static String mergeKey(Request request) {
        return request.callId()
                + ' '
                + request.headers().first("From")
                + ' '
                + request.headers().first("CSeq");
    }

    private void handleInvite(ServerTransaction transaction, Request request) throws InvalidValueException {
        UasCall existing = callsByMergeKey.get(mergeKey(request));
        if (existing != null) {
            // The same request arrived by another path (RFC 3261 8.2.2.2).
            transaction.respond(request.createResponse(482, "Merged request", idGenerator.nextTag()));
            return;
        }
        String maxForwards = request.headers().first("Max-Forwards");
        if (maxForwards != null && maxForwards.equals("0")) {
            transaction.respond(request.createResponse(483, "Too many hops", idGenerator.nextTag()));
            return;
        }
        UasCall call = createUasCall(transaction, request, idGenerator.nextTag());
        if (timers.tryingDelay().ns() == 0) {
            sendTrying(transaction);
        } else {
            timerWheel.scheduleAfter(timers.tryingDelay(), () -> sendTrying(transaction));
        }
        try {
            userAgentCore.inviteReceived(call);
        } catch (RuntimeException e) {
            // The caller must get a final response, and nothing else would send one.
            call.refuse(call.response(500, "Fault"));
            throw e;
        }
    }

    @Override
    public void cancelled(ServerTransaction invite, Request cancel) {
        if (invite.attached() instanceof UasCall call) {
            call.cancelled();
        }
    }

    @Override
    public void ackReceived(Request ack, Hop from) {
        try {
            CallLeg leg =
                    legs.get(Dialog.id(ack.callId(), ack.to().tag(), ack.from().tag()));
            if (leg instanceof UasCall call) {
                call.ackReceived();
            }
        } catch (InvalidValueException e) {
            drops.increment("unreadable ACK");
        }
    }

    @Override
    public void transactionEnded(ServerTransaction transaction) {
        if (transaction.attached() instanceof UasCall call) {
            call.transactionEnded();
        }
    }

    @Override
    public void unmatchedResponse(Response response, Hop from) {
        drops.increment("response without a transaction");
        try {
            if (response.isSuccess()
                    && response.cseq().method().equals("INVITE")
                    && !legs.containsKey(Dialog.id(
                            response.callId(),
                            response.from().tag(),
                            response.to().tag()))) {
                // The call is not wanted any more, but the remote side keeps it until it receives a BYE (RFC 3261
                // 13.2.2.4).
                Dialog unwanted = Dialog.ofUnwantedSuccess(response);
                transactionLayer.sendAck(unwanted.createAck(response.cseq().number()), unwanted.nextHop());
                sendBye(unwanted, null);
            }
        } catch (InvalidValueException e) {
            drops.increment("2xx that makes no dialog");
        }
    }

    @Override
    public void connectionLost(Hop hop, boolean wasEstablished) {
        if (wasEstablished) {
            for (CallLeg leg : new ArrayList<>(legs.values())) {
                if (leg instanceof UacCall call
                        && call.hop().isReliable()
                        && call.hop().address().equals(hop.address())) {
                    call.connectionLost();
                }
            }
        }
        userAgentCore.connectionLost(hop, wasEstablished);
    }
}
