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

/** All dialogs of calls of one thread (RFC 3261 12 to 15), and the checks that every request meets (8.2). */
public final class DialogLayer implements TransactionUser {
    private static final Set<String> OWN = Set.of("INVITE", "ACK", "BYE", "CANCEL");
    private static final Set<String> KNOWN = Set.of(
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
    private final MessageSender out;
    private final IdGenerator idGenerator;
    private final UserAgentCore user;
    private final DropCounter drops;
    private final TransactionLayer transactionLayer;
    private final Map<String, CallLeg> legs = new LinkedHashMap<>();
    private final Map<String, UasCall> merging = new HashMap<>();
    private final String allow;

    public DialogLayer(
            TimerWheel wheel,
            TransactionTimers timers,
            MessageSender out,
            IdGenerator branches,
            UserAgentCore user,
            DropCounter drops,
            int most) {
        this.timerWheel = wheel;
        this.timers = timers;
        this.out = out;
        this.idGenerator = branches;
        this.user = user;
        this.drops = drops;
        transactionLayer = new TransactionLayer(wheel, timers, out, branches, this, drops, most);
        Set<String> all = new TreeSet<>(OWN);
        all.addAll(user.additionalMethods());
        allow = String.join(", ", all);
    }

    public TransactionLayer transactionLayer() {
        return transactionLayer;
    }

    public IdGenerator idGenerator() {
        return idGenerator;
    }

    public TimerWheel timerWheel() {
        return timerWheel;
    }

    TransactionTimers timers() {
        return timers;
    }

    DropCounter drops() {
        return drops;
    }

    /** Dialogs that are open, early ones too. */
    public int openDialogCount() {
        return legs.size();
    }

    /** The Contact of this endpoint for peers on this transport, in brackets. */
    public String contactHeader(Hop.Protocol kind, String name) {
        return "<sip:" + (name == null ? "" : name + "@") + out.sentBy(kind)
                + (kind == Hop.Protocol.TCP ? ";transport=tcp" : "") + ">";
    }

    /** Sends an INVITE that has all but its Via and, if it has none, its Contact. */
    public UacCall startCall(Request invite, Hop to, UacCall.Listener listener) {
        UacCall call = new UacCall(this, listener);
        if (invite.headers().first("Contact") == null) {
            invite.headers().add("Contact", contactHeader(to.protocol(), null));
        }
        call.start(invite, to);
        return call;
    }

    /**
     * Takes over a call that another thread had taken: INVITE, where it came from and the tag that this side gave it.
     * {@code confirmed} says that its 2xx was acknowledged. Null where the INVITE is known here already.
     */
    public UasCall takeOver(Request invite, Hop from, String tag, boolean confirmed) throws InvalidValueException {
        ServerTransaction transaction = transactionLayer.takeOver(invite, from);
        if (transaction == null) {
            return null;
        }
        UasCall call = register(transaction, invite, tag);
        if (confirmed) {
            call.standsAlready();
        }
        return call;
    }

    /** Takes over an INVITE that another thread had sent; {@code stood} is its 2xx, or null while it is out. */
    public UacCall takeOver(Request invite, Hop to, Response stood, UacCall.Listener listener)
            throws InvalidValueException {
        UacCall call = new UacCall(this, listener);
        if (stood == null) {
            call.takeOver(invite, to);
        } else {
            call.takeOver(invite, to, stood);
        }
        return call;
    }

    private UasCall register(ServerTransaction transaction, Request invite, String tag) throws InvalidValueException {
        UasCall call = new UasCall(this, transaction, Dialog.asServer(invite, tag));
        transaction.attach(call);
        legs.put(call.id(), call);
        merging.put(mergeKey(invite), call);
        return call;
    }

    ClientTransaction send(Request request, Hop to, ClientTransactionUser asker) {
        return transactionLayer.send(request, to, asker);
    }

    void sendCancel(Request cancel, Hop to) {
        transactionLayer.sendCancel(cancel, to, NOBODY);
    }

    /** Ends a dialog; whatever becomes of the BYE, the dialog is over here. */
    void sendBye(Dialog dialog, String reason) {
        try {
            Request bye = dialog.request("BYE");
            if (reason != null) {
                bye.headers().add("Reason", reason);
            }
            transactionLayer.send(bye, dialog.hop(), NOBODY);
        } catch (InvalidValueException e) {
            drops.increment("far side of a dialog can't be reached");
        }
    }

    void sendAck(Dialog dialog, ClientTransaction invite) {
        try {
            transactionLayer.sendAck(dialog.ack(invite.request().cseq().number()), dialog.hop());
        } catch (InvalidValueException e) {
            drops.increment("far side of a dialog can't be reached");
        }
    }

    private static final ClientTransactionUser NOBODY = new ClientTransactionUser() {
        @Override
        public void responseReceived(ClientTransaction transaction, Response response) {
            // Nothing hangs on how a CANCEL or BYE is answered (RFC 3261 9.1, 15.1.1).
        }

        @Override
        public void failed(ClientTransaction transaction, RequestFailure why) {
            // As above.
        }
    };

    void stands(UacCall call, String id) {
        legs.put(id, call);
    }

    void over(CallLeg leg, String id) {
        legs.remove(id, leg);
        if (leg instanceof UasCall in) {
            merging.remove(mergeKey(in.invite()), in);
        }
    }

    /** Answers a request within a dialog; true where it is the BYE that ends it (RFC 3261 12.2.2, 15.1.2). */
    boolean endedBy(ServerTransaction next, Dialog dialog) throws InvalidValueException {
        Request request = next.request();
        if (!dialog.follows(request.cseq().number())) {
            next.respond(request.createResponse(500, "CSeq out of order", null));
            return false;
        }
        if (!request.hasMethod("BYE")) {
            refuseInDialog(next);
            return false;
        }
        next.respond(request.createResponse(200, "OK", null));
        return true;
    }

    /** Other requests within a call are refused for now: 488 for a re-INVITE, else 405. */
    void refuseInDialog(ServerTransaction transaction) {
        Request request = transaction.request();
        boolean change = request.hasMethod("INVITE") || request.hasMethod("UPDATE");
        Response refusal = change
                ? request.createResponse(488, "Sessions are not changed here", null)
                : request.createResponse(KNOWN.contains(request.method()) ? 405 : 501, "Not in a call", null);
        if (!change) {
            refusal.headers().add("Allow", allow);
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
            } else if (!refused(transaction, request, toTag)) {
                if (request.hasMethod("INVITE")) {
                    begin(transaction, request);
                } else {
                    user.requestReceived(transaction);
                }
            }
        } catch (InvalidValueException e) {
            transaction.respond(request.createResponse(400, phrase(e.getMessage()), idGenerator.nextTag()));
        }
    }

    private static String phrase(String text) {
        return text.length() > 100 ? text.substring(0, 100) : text;
    }

    private boolean refused(ServerTransaction transaction, Request request, String toTag) {
        String method = request.method();
        if (!OWN.contains(method) && !user.additionalMethods().contains(method)) {
            boolean known = KNOWN.contains(method);
            Response refusal = request.createResponse(
                    known ? 405 : 501, "Method " + phrase(method) + " is not served", idGenerator.nextTag());
            refusal.headers().add("Allow", allow);
            return transaction.respond(refusal);
        }
        List<String> required = request.headers().all("Require");
        if (!required.isEmpty()) {
            Response refusal = request.createResponse(420, "Extension not supported", idGenerator.nextTag());
            required.forEach(one -> refusal.headers().add("Unsupported", one));
            return transaction.respond(refusal);
        }
        boolean inCall = OWN.contains(method) && !toTag.isEmpty() || method.equals("BYE");
        if (inCall) {
            return transaction.respond(request.createResponse(481, "No such call", idGenerator.nextTag()));
        }
        return false;
    }

    private static void trying(ServerTransaction transaction) {
        if (transaction.isUnanswered()) {
            transaction.respond(transaction.request().createResponse(100, "Trying", null));
        }
    }

    private static String mergeKey(Request request) {
        return request.callId()
                + ' '
                + request.headers().first("From")
                + ' '
                + request.headers().first("CSeq");
    }

    private void begin(ServerTransaction transaction, Request request) throws InvalidValueException {
        UasCall same = merging.get(mergeKey(request));
        if (same != null) {
            // The same request by another way (RFC 3261 8.2.2.2).
            transaction.respond(request.createResponse(482, "Merged request", idGenerator.nextTag()));
            return;
        }
        String hops = request.headers().first("Max-Forwards");
        if (hops != null && hops.equals("0")) {
            transaction.respond(request.createResponse(483, "Too many hops", idGenerator.nextTag()));
            return;
        }
        UasCall call = register(transaction, request, idGenerator.nextTag());
        if (timers.tryingDelay().ns() == 0) {
            trying(transaction);
        } else {
            timerWheel.scheduleAfter(timers.tryingDelay(), () -> trying(transaction));
        }
        try {
            user.inviteReceived(call);
        } catch (RuntimeException e) {
            // Whatever it was, the caller is owed an answer, and nobody else would give it.
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
                call.acked();
            }
        } catch (InvalidValueException e) {
            drops.increment("unreadable ACK");
        }
    }

    @Override
    public void transactionEnded(ServerTransaction transaction) {
        if (transaction.attached() instanceof UasCall call) {
            call.transactionOver();
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
                // Nobody here wants the call any more, but the far side holds it until it hears so (13.2.2.4).
                Dialog unwanted = Dialog.unwanted(response);
                transactionLayer.sendAck(unwanted.ack(response.cseq().number()), unwanted.hop());
                sendBye(unwanted, null);
            }
        } catch (InvalidValueException e) {
            drops.increment("2xx that makes no dialog");
        }
    }

    @Override
    public void connectionLost(Hop hop, boolean everUp) {
        if (everUp) {
            for (CallLeg leg : new ArrayList<>(legs.values())) {
                if (leg instanceof UacCall call
                        && call.hop().isReliable()
                        && call.hop().address().equals(hop.address())) {
                    call.broken();
                }
            }
        }
        user.connectionLost(hop, everUp);
    }
}
