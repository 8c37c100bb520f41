package martenslip.platform.caller;

import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.platform.contact.CallerCancellation;
import martenslip.platform.contact.CallerMessages;
import martenslip.platform.contact.SetUpRequest;
import martenslip.sip.message.Message;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.ParseResult;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.DropCounter;

/**
 * Handles callers' messages on the reading threads of their connections: rejects invalid ones and passes valid ones to the
 * {@link CallerConnections.Listener}.
 */
final class CallerMessageHandler {
    /** Invalid messages answered on one connection; at the next it is closed. */
    private static final int MAX_INVALID_MESSAGES = 3;

    /** When a caller may come again that is refused for its overdue ACKs. */
    private static final Span OVERDUE_RETRY_DELAY = Span.ofMillis(500);

    private final SetUpParser setUpParser;
    private final CallerConnections.Listener listener;
    private final DropCounter drops;
    private final LongPredicate isOpen;

    /** {@code isOpen} tells whether the connection with an id has not ended. */
    CallerMessageHandler(
            SetUpParser setUpParser, CallerConnections.Listener listener, DropCounter drops, LongPredicate isOpen) {
        this.setUpParser = setUpParser;
        this.listener = listener;
        this.drops = drops;
        this.isOpen = isOpen;
    }

    /** Handles a message of a connection that is open, or was when it was read. */
    void handleMessage(CallerConnection caller, byte[] bytes) throws InterruptedException {
        ParseResult parsed = MessageParser.parseMinimal(bytes, bytes.length);
        Message message = parsed.message();
        if (!parsed.isValid()) {
            rejectMessage(caller, parsed.isAnswerable() ? (Request) message : null, parsed.fault());
            return;
        }
        long connectionId = caller.connection.id();
        if (message instanceof Response response) {
            caller.hasAnsweredRelease |= isSuccess(response);
            releaseAnswered(connectionId, response);
            caller.activity.acknowledged(response.callId());
            return;
        }
        Request request = (Request) message;
        switch (request.method()) {
            case "INVITE" -> handleInvite(caller, request);
            case "CANCEL" -> {
                markAsCancelled(caller, request);
                listener.requestReceived(connectionId, request);
            }
            case "BYE" -> {
                markAsCancelled(caller, request);
                forwardAcknowledgement(caller, request);
            }
            case "ACK" -> forwardAcknowledgement(caller, request);
            case "OPTIONS" -> {
                caller.hasSentValidMessage = true;
                boolean ready = listener.isReady();
                answerHere(caller, CallerMessages.response(request, ready ? 200 : 503, ready ? "OK" : "Not Ready"));
            }
            default -> rejectMessage(caller, request, "no such method");
        }
    }

    /** Must come before the request is queued: messages queued for the contact must not be sent meanwhile. */
    private static void markAsCancelled(CallerConnection caller, Request request) {
        CallerCancellation cancellation = caller.cancellations.get(request.callId());
        if (cancellation != null) {
            cancellation.cancel();
        }
    }

    /** Queues a request that ends the wait for the ACK, before the connection may be closed for being idle. */
    private void forwardAcknowledgement(CallerConnection caller, Request request) throws InterruptedException {
        listener.requestReceived(caller.connection.id(), request);
        caller.activity.acknowledged(request.callId());
    }

    /**
     * Handles a message that was read whole before its connection ended and arrives here after that: any thread may
     * notice the end first. Nothing can be answered any more, but an established contact belongs to no connection, so
     * its caller's BYE, acknowledgements and naming count.
     */
    void handleLateMessage(long connectionId, byte[] bytes) throws InterruptedException {
        ParseResult parsed = MessageParser.parseMinimal(bytes, bytes.length);
        if (!parsed.isValid()) {
            return;
        }
        if (parsed.message() instanceof Response response) {
            releaseAnswered(connectionId, response);
            return;
        }
        Request request = (Request) parsed.message();
        switch (request.method()) {
            case "BYE", "ACK" -> listener.requestReceived(connectionId, request);
            case "INVITE" -> handleLateInvite(connectionId, request);
            default -> drops.increment("message after its connection");
        }
    }

    private void handleLateInvite(long connectionId, Request invite) throws InterruptedException {
        try {
            SetUpRequest request =
                    setUpParser.parse(connectionId, invite, new Moment(System.nanoTime()), new CallerCancellation());
            if (request.establishedSwitch() != null) {
                listener.setUpReceived(request);
                return;
            }
        } catch (SetUpParser.InvalidSetUpException e) {
            drops.increment("wrong", e.getMessage());
            return;
        }
        drops.increment("message after its connection");
    }

    private void releaseAnswered(long connectionId, Response response) throws InterruptedException {
        if (response.headers().first("CSeq").endsWith("BYE")) {
            listener.releaseAnswered(connectionId, response.callId(), isSuccess(response));
        }
    }

    private static boolean isSuccess(Response response) {
        return response.status() >= 200 && response.status() < 300;
    }

    private void handleInvite(CallerConnection caller, Request invite) throws InterruptedException {
        SetUpRequest request;
        CallerCancellation cancellation = new CallerCancellation();
        try {
            request = setUpParser.parse(caller.connection.id(), invite, new Moment(System.nanoTime()), cancellation);
        } catch (SetUpParser.InvalidSetUpException e) {
            rejectMessage(caller, invite, e.getMessage());
            return;
        }
        if (request.establishedSwitch() == null && caller.hasOverdueAck()) {
            drops.increment("set-up of a caller that leaves answers without ACK");
            answerHere(caller, CallerMessages.deferred(invite, OVERDUE_RETRY_DELAY));
            return;
        }
        if (!caller.activity.addSetUp()) {
            drops.increment("too many set-ups open on a line");
            answerHere(caller, CallerMessages.response(invite, 503, "Too Many Open"));
            return;
        }
        caller.hasSentValidMessage = true;
        if (request.establishedSwitch() != null) {
            caller.activity.contactNamed();
        }
        caller.cancellations.put(request.tag(), cancellation);
        if (!isOpen.test(caller.connection.id())) {
            // The connection ended meanwhile, perhaps before the entry above could be seen and cancelled.
            cancellation.cancel();
        }
        if (!listener.setUpReceived(request)) {
            drops.increment("no room for a set-up");
            caller.sendFinalResponse(request.tag(), CallerMessages.response(invite, 503, "No Room"));
        }
    }

    /**
     * Sends an answer that takes no turn of the decision thread. A connection that asks for many of them is read at a
     * limited rate, as hundreds of reading threads would leave the decision thread no processor time.
     */
    private static void answerHere(CallerConnection caller, byte[] response) throws InterruptedException {
        caller.connection.send(response);
        TimeUnit.NANOSECONDS.sleep(caller.answeredHere().ns());
    }

    private void rejectMessage(CallerConnection caller, Request request, String reason) {
        drops.increment("wrong", reason);
        if (request == null || ++caller.invalidMessages > MAX_INVALID_MESSAGES) {
            caller.connection.close(reason);
            return;
        }
        caller.connection.send(CallerMessages.response(request, 400, reason));
    }
}
