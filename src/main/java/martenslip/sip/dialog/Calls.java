package martenslip.sip.dialog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.Asker;
import martenslip.sip.transaction.Branches;
import martenslip.sip.transaction.ClientTransaction;
import martenslip.sip.transaction.Failure;
import martenslip.sip.transaction.Outlet;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.Timers;
import martenslip.sip.transaction.Transactions;
import martenslip.sip.transaction.User;
import martenslip.sip.transport.Drops;
import martenslip.sip.transport.Hop;
import martenslip.wheel.Wheel;

/** All dialogs of calls of one thread (RFC 3261 12 to 15), and the checks that every request meets (8.2). */
public final class Calls implements User {
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

    private final Wheel wheel;
    private final Timers timers;
    private final Outlet out;
    private final Branches branches;
    private final CallUser user;
    private final Drops drops;
    private final Transactions transactions;
    private final Map<String, Leg> legs = new LinkedHashMap<>();
    private final Map<String, CallIn> merging = new HashMap<>();
    private final String allow;

    public Calls(Wheel wheel, Timers timers, Outlet out, Branches branches, CallUser user, Drops drops, int most) {
        this.wheel = wheel;
        this.timers = timers;
        this.out = out;
        this.branches = branches;
        this.user = user;
        this.drops = drops;
        transactions = new Transactions(wheel, timers, out, branches, this, drops, most);
        Set<String> all = new TreeSet<>(OWN);
        all.addAll(user.methods());
        allow = String.join(", ", all);
    }

    public Transactions transactions() {
        return transactions;
    }

    public Branches branches() {
        return branches;
    }

    public Wheel wheel() {
        return wheel;
    }

    Timers timers() {
        return timers;
    }

    Drops drops() {
        return drops;
    }

    /** Dialogs that are open, early ones too. */
    public int open() {
        return legs.size();
    }

    /** The Contact of this endpoint for peers on this transport, in brackets. */
    public String contact(Hop.Kind kind, String name) {
        return "<sip:" + (name == null ? "" : name + "@") + out.sentBy(kind)
                + (kind == Hop.Kind.TCP ? ";transport=tcp" : "") + ">";
    }

    /** Sends an INVITE that has all but its Via and, if it has none, its Contact. */
    public CallOut call(Request invite, Hop to, CallOut.Listener listener) {
        CallOut call = new CallOut(this, listener);
        if (invite.headers().first("Contact") == null) {
            invite.headers().add("Contact", contact(to.kind(), null));
        }
        call.start(invite, to);
        return call;
    }

    /**
     * Takes over a call that another thread had taken: INVITE, where it came from and the tag that this side gave it.
     * {@code confirmed} says that its 2xx was acknowledged. Null where the INVITE is known here already.
     */
    public CallIn takeOver(Request invite, Hop from, String tag, boolean confirmed) throws BadValue {
        ServerTransaction transaction = transactions.takeOver(invite, from);
        if (transaction == null) {
            return null;
        }
        CallIn call = register(transaction, invite, tag);
        if (confirmed) {
            call.standsAlready();
        }
        return call;
    }

    /** Takes over an INVITE that another thread had sent; {@code stood} is its 2xx, or null while it is out. */
    public CallOut takeOver(Request invite, Hop to, Response stood, CallOut.Listener listener) throws BadValue {
        CallOut call = new CallOut(this, listener);
        if (stood == null) {
            call.takeOver(invite, to);
        } else {
            call.takeOver(invite, to, stood);
        }
        return call;
    }

    private CallIn register(ServerTransaction transaction, Request invite, String tag) throws BadValue {
        CallIn call = new CallIn(this, transaction, Dialog.asServer(invite, tag));
        transaction.attach(call);
        legs.put(call.id(), call);
        merging.put(mergeKey(invite), call);
        return call;
    }

    ClientTransaction send(Request request, Hop to, Asker asker) {
        return transactions.send(request, to, asker);
    }

    void sendCancel(Request cancel, Hop to) {
        transactions.sendCancel(cancel, to, NOBODY);
    }

    /** Ends a dialog; whatever becomes of the BYE, the dialog is over here. */
    void sendBye(Dialog dialog, String reason) {
        try {
            Request bye = dialog.request("BYE");
            if (reason != null) {
                bye.headers().add("Reason", reason);
            }
            transactions.send(bye, dialog.hop(), NOBODY);
        } catch (BadValue e) {
            drops.count("far side of a dialog can't be reached");
        }
    }

    void sendAck(Dialog dialog, ClientTransaction invite) {
        try {
            transactions.sendAck(dialog.ack(invite.request().cseq().number()), dialog.hop());
        } catch (BadValue e) {
            drops.count("far side of a dialog can't be reached");
        }
    }

    private static final Asker NOBODY = new Asker() {
        @Override
        public void answered(ClientTransaction transaction, Response response) {
            // Nothing hangs on how a CANCEL or BYE is answered (RFC 3261 9.1, 15.1.1).
        }

        @Override
        public void failed(ClientTransaction transaction, Failure why) {
            // As above.
        }
    };

    void stands(CallOut call, String id) {
        legs.put(id, call);
    }

    void over(Leg leg, String id) {
        legs.remove(id, leg);
        if (leg instanceof CallIn in) {
            merging.remove(mergeKey(in.invite()), in);
        }
    }

    /** Answers a request within a dialog; true where it is the BYE that ends it (RFC 3261 12.2.2, 15.1.2). */
    boolean endedBy(ServerTransaction next, Dialog dialog) throws BadValue {
        Request request = next.request();
        if (!dialog.follows(request.cseq().number())) {
            next.respond(request.answer(500, "CSeq out of order", null));
            return false;
        }
        if (!request.is("BYE")) {
            refuseInDialog(next);
            return false;
        }
        next.respond(request.answer(200, "OK", null));
        return true;
    }

    /** Other requests within a call are refused for now: 488 for a re-INVITE, else 405. */
    void refuseInDialog(ServerTransaction transaction) {
        Request request = transaction.request();
        boolean change = request.is("INVITE") || request.is("UPDATE");
        Response refusal = change
                ? request.answer(488, "Sessions are not changed here", null)
                : request.answer(KNOWN.contains(request.method()) ? 405 : 501, "Not in a call", null);
        if (!change) {
            refusal.headers().add("Allow", allow);
        }
        transaction.respond(refusal);
    }

    @Override
    public void requested(ServerTransaction transaction) {
        Request request = transaction.request();
        try {
            String toTag = request.to().tag();
            Leg leg = toTag.isEmpty()
                    ? null
                    : legs.get(Dialog.id(request.callId(), toTag, request.from().tag()));
            if (leg != null) {
                leg.requested(transaction);
            } else if (!refused(transaction, request, toTag)) {
                if (request.is("INVITE")) {
                    begin(transaction, request);
                } else {
                    user.requested(transaction);
                }
            }
        } catch (BadValue e) {
            transaction.respond(request.answer(400, phrase(e.getMessage()), branches.tag()));
        }
    }

    private static String phrase(String text) {
        return text.length() > 100 ? text.substring(0, 100) : text;
    }

    private boolean refused(ServerTransaction transaction, Request request, String toTag) {
        String method = request.method();
        if (!OWN.contains(method) && !user.methods().contains(method)) {
            boolean known = KNOWN.contains(method);
            Response refusal =
                    request.answer(known ? 405 : 501, "Method " + phrase(method) + " is not served", branches.tag());
            refusal.headers().add("Allow", allow);
            return transaction.respond(refusal);
        }
        List<String> required = request.headers().all("Require");
        if (!required.isEmpty()) {
            Response refusal = request.answer(420, "Extension not supported", branches.tag());
            required.forEach(one -> refusal.headers().add("Unsupported", one));
            return transaction.respond(refusal);
        }
        boolean inCall = OWN.contains(method) && !toTag.isEmpty() || method.equals("BYE");
        if (inCall) {
            return transaction.respond(request.answer(481, "No such call", branches.tag()));
        }
        return false;
    }

    private static void trying(ServerTransaction transaction) {
        if (transaction.silent()) {
            transaction.respond(transaction.request().answer(100, "Trying", null));
        }
    }

    private static String mergeKey(Request request) {
        return request.callId()
                + ' '
                + request.headers().first("From")
                + ' '
                + request.headers().first("CSeq");
    }

    private void begin(ServerTransaction transaction, Request request) throws BadValue {
        CallIn same = merging.get(mergeKey(request));
        if (same != null) {
            // The same request by another way (RFC 3261 8.2.2.2).
            transaction.respond(request.answer(482, "Merged request", branches.tag()));
            return;
        }
        String hops = request.headers().first("Max-Forwards");
        if (hops != null && hops.equals("0")) {
            transaction.respond(request.answer(483, "Too many hops", branches.tag()));
            return;
        }
        CallIn call = register(transaction, request, branches.tag());
        if (timers.trying().ns() == 0) {
            trying(transaction);
        } else {
            wheel.after(timers.trying(), () -> trying(transaction));
        }
        try {
            user.incoming(call);
        } catch (RuntimeException e) {
            // Whatever it was, the caller is owed an answer, and nobody else would give it.
            call.refuse(call.response(500, "Fault"));
            throw e;
        }
    }

    @Override
    public void cancelled(ServerTransaction invite, Request cancel) {
        if (invite.attached() instanceof CallIn call) {
            call.cancelled();
        }
    }

    @Override
    public void acked(Request ack, Hop from) {
        try {
            Leg leg =
                    legs.get(Dialog.id(ack.callId(), ack.to().tag(), ack.from().tag()));
            if (leg instanceof CallIn call) {
                call.acked();
            }
        } catch (BadValue e) {
            drops.count("unreadable ACK");
        }
    }

    @Override
    public void over(ServerTransaction transaction) {
        if (transaction.attached() instanceof CallIn call) {
            call.transactionOver();
        }
    }

    @Override
    public void stray(Response response, Hop from) {
        drops.count("response without a transaction");
        try {
            if (response.success()
                    && response.cseq().method().equals("INVITE")
                    && !legs.containsKey(Dialog.id(
                            response.callId(),
                            response.from().tag(),
                            response.to().tag()))) {
                // Nobody here wants the call any more, but the far side holds it until it hears so (13.2.2.4).
                Dialog unwanted = Dialog.unwanted(response);
                transactions.sendAck(unwanted.ack(response.cseq().number()), unwanted.hop());
                sendBye(unwanted, null);
            }
        } catch (BadValue e) {
            drops.count("2xx that makes no dialog");
        }
    }

    @Override
    public void broken(Hop hop, boolean everUp) {
        if (everUp) {
            for (Leg leg : new ArrayList<>(legs.values())) {
                if (leg instanceof CallOut call
                        && call.hop().reliable()
                        && call.hop().address().equals(hop.address())) {
                    call.broken();
                }
            }
        }
        user.broken(hop, everUp);
    }
}
