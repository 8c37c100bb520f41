package martenslip.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import martenslip.control.Span;
import martenslip.signaling.ReleaseCause;
import martenslip.sip.message.HostPort;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Message;
import martenslip.sip.message.NameAddr;
import martenslip.sip.message.Parameters;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.message.Via;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.HopResolver;
import martenslip.standin.ProcessorModel.WorkType;

/**
 * The proxy of a simulated switch between callers or far controllers and its exchange's controller. It keeps almost no
 * state: each message waits for the processor and is then forwarded. Circuits of contacts in transit are held from the
 * INVITE until a refusal or a BYE.
 */
final class TransitProxy {
    private static final String BRANCH_PREFIX = Via.MAGIC_COOKIE + "p";
    private static final Span MAX_SET_UP_TIME = Span.ofMillis(40_000);

    private static final class TransitContact {
        final String session;
        final String group;
        final TrunkGroups.Seizure seizure;
        final Hop origin;
        boolean established;
        boolean responseReceived;

        TransitContact(String session, String group, TrunkGroups.Seizure seizure, Hop origin) {
            this.session = session;
            this.group = group;
            this.seizure = seizure;
            this.origin = origin;
        }
    }

    private final SimulatedSwitch simulatedSwitch;
    private final TrunkGroups trunks;
    private final Hop controller;
    private final Map<String, TransitContact> contacts = new LinkedHashMap<>();
    private final Set<String> queuedKeys = new HashSet<>();

    TransitProxy(SimulatedSwitch simulatedSwitch, TrunkGroups trunks, Hop controller) {
        this.simulatedSwitch = simulatedSwitch;
        this.trunks = trunks;
        this.controller = controller;
    }

    /** Handles a message to forward; false where the message is for the switch itself. */
    boolean handle(Message message, Hop origin) throws InvalidValueException {
        if (message instanceof Response response) {
            return forwardResponse(response);
        }
        Request request = (Request) message;
        String route = request.headers().first("Route");
        if (route != null
                && isOwnAddress(SipUri.parse(NameAddr.parse(route).uri()).hostPort())) {
            forwardInDialog(request);
            return true;
        }
        boolean startsCall = request.hasMethod("INVITE") && request.to().tag().isEmpty();
        boolean cancelOrAck = request.hasMethod("CANCEL") || request.hasMethod("ACK");
        if (startsCall && !simulatedSwitch.terminatesHere(request.parsedUri())) {
            startTransit(request, origin);
            return true;
        }
        if (cancelOrAck
                && contacts.containsKey(request.callId())
                && !simulatedSwitch.terminatesHere(request.parsedUri())) {
            forward(request, WorkType.MINOR_MESSAGE, controller, bytes -> {});
            return true;
        }
        return false;
    }

    private boolean isOwnAddress(HostPort hostPort) {
        InetSocketAddress udpAddress = simulatedSwitch.address(Hop.Protocol.UDP);
        InetSocketAddress tcpAddress = simulatedSwitch.address(Hop.Protocol.TCP);
        return hostPort.hostWithoutBrackets().equals(udpAddress.getAddress().getHostAddress())
                && (hostPort.port() == udpAddress.getPort() || hostPort.port() == tcpAddress.getPort());
    }

    private void startTransit(Request invite, Hop origin) throws InvalidValueException {
        String group = SimulatedSwitch.trunkGroup(invite);
        TransitContact knownContact = contacts.get(invite.callId());
        if (knownContact == null) {
            String session = String.valueOf(invite.headers().first("Session-ID"));
            TrunkGroups.Seizure seizure =
                    group == null ? null : trunks.seize(group, simulatedSwitch.circuitWidth(invite), session);
            if (group != null && seizure == null) {
                sendRefusal(invite, origin, "No circuit", ReleaseCause.NO_CIRCUIT, group);
                return;
            }
            TransitContact contact = new TransitContact(session, group, seizure, origin);
            contacts.put(invite.callId(), contact);
            if (group != null) {
                simulatedSwitch.setUpReceived();
            }
            simulatedSwitch.endpoint().timerWheel().scheduleAfter(MAX_SET_UP_TIME, () -> {
                if (!contact.established) {
                    removeContact(invite.callId());
                }
            });
        }
        // The front end sends 100 at once (RFC 3261 16.2) and from then on is responsible for retransmissions.
        Response trying = invite.createResponse(100, "Trying", null);
        simulatedSwitch.endpoint().transport().send(trying.bytes(), responseHop(invite.via(), origin));
        if (knownContact != null) {
            return;
        }
        if (!forward(
                invite,
                WorkType.ROUTE,
                controller,
                bytes -> scheduleRetransmission(invite.callId(), bytes, TransactionTimers.RFC_3261.t1()))) {
            removeContact(invite.callId());
            sendRefusal(invite, origin, "Processor full", ReleaseCause.CONGESTION, group);
        }
    }

    /** Retransmits an INVITE until the controller's first response, as a client transaction does. */
    private void scheduleRetransmission(String callId, byte[] invite, Span delay) {
        if (controller.isReliable()) {
            return;
        }
        simulatedSwitch.endpoint().timerWheel().scheduleAfter(delay, () -> {
            TransitContact contact = contacts.get(callId);
            if (contact != null && !contact.responseReceived && delay.compareTo(TransactionTimers.RFC_3261.t2()) < 0) {
                simulatedSwitch.endpoint().transport().send(invite, controller);
                scheduleRetransmission(callId, invite, delay.times(2));
            }
        });
    }

    private void sendRefusal(Request invite, Hop origin, String reason, int cause, String group)
            throws InvalidValueException {
        Response response = invite.createResponse(
                503,
                reason,
                simulatedSwitch.endpoint().dialogLayer().idGenerator().nextTag());
        response.headers().add("Reason", new ReleaseCause(cause, ReleaseCause.LOCAL_NETWORK));
        simulatedSwitch.withLoadReport(response, group);
        simulatedSwitch.endpoint().transport().send(response.bytes(), responseHop(invite.via(), origin));
    }

    private void removeContact(String callId) {
        TransitContact contact = contacts.remove(callId);
        if (contact != null) {
            trunks.release(contact.seizure);
        }
    }

    /** Forwards a request within a dialog along its Route headers; a BYE releases the circuits. */
    private void forwardInDialog(Request request) throws InvalidValueException {
        request.headers().removeFirst("Route");
        String nextRoute = request.headers().first("Route");
        Hop hop = HopResolver.resolve(SipUri.parse(
                nextRoute == null ? request.uri() : NameAddr.parse(nextRoute).uri()));
        boolean bye = request.hasMethod("BYE");
        forward(request, bye ? WorkType.RELEASE : WorkType.MINOR_MESSAGE, hop, bytes -> {});
        if (bye) {
            removeContact(request.callId());
        }
    }

    private boolean forward(Request request, WorkType type, Hop hop, Consumer<byte[]> onSent)
            throws InvalidValueException {
        String maxForwards = request.headers().first("Max-Forwards");
        if ("0".equals(maxForwards)) {
            return true;
        }
        String branch = request.via().branch();
        String ownBranch =
                BRANCH_PREFIX + branch.substring(branch.startsWith(Via.MAGIC_COOKIE) ? Via.MAGIC_COOKIE.length() : 0);
        InetSocketAddress address = simulatedSwitch.address(hop.protocol());
        HostPort sentBy = new HostPort(address.getAddress().getHostAddress(), address.getPort());
        Via via = new Via(hop.protocol().name(), sentBy, Parameters.NONE)
                .with("branch", ownBranch)
                .with("rport", null);
        request.headers().addFirst("Via", via);
        request.headers().set("Max-Forwards", maxForwards == null ? 70 : Integer.parseInt(maxForwards) - 1);
        if (request.hasMethod("INVITE")) {
            request.headers().addFirst("Record-Route", "<sip:" + ownHostPort() + ";lr>");
        }
        byte[] bytes = request.bytes();
        return enqueueOnce(request.method() + ownBranch, type, () -> {
            simulatedSwitch.endpoint().transport().send(bytes, hop);
            onSent.accept(bytes);
        });
    }

    /** Queues work for the processor; retransmissions meanwhile are ignored. False where the work was rejected. */
    private boolean enqueueOnce(String key, WorkType type, Runnable completion) {
        if (!queuedKeys.add(key)) {
            return true;
        }
        boolean accepted = simulatedSwitch.enqueueWork(type, () -> {
            queuedKeys.remove(key);
            completion.run();
        });
        if (!accepted) {
            queuedKeys.remove(key);
        }
        return accepted;
    }

    private HostPort ownHostPort() {
        InetSocketAddress udpAddress = simulatedSwitch.address(Hop.Protocol.UDP);
        return new HostPort(udpAddress.getAddress().getHostAddress(), udpAddress.getPort());
    }

    private boolean forwardResponse(Response response) throws InvalidValueException {
        if (!response.via().branch().startsWith(BRANCH_PREFIX)) {
            return false;
        }
        response.headers().removeFirst("Via");
        if (response.headers().first("Via") == null) {
            return true;
        }
        TransitContact contact = contacts.get(response.callId());
        boolean forInvite = response.cseq().method().equals("INVITE");
        if (contact != null && forInvite) {
            contact.responseReceived = true;
        }
        if (forInvite && response.status() == 100) {
            // 100 is not forwarded (RFC 3261 16.7), and the front end has sent its own already.
            return true;
        }
        if (contact != null && forInvite && response.status() >= 200) {
            contact.established |= response.isSuccess();
            simulatedSwitch.withLoadReport(response, contact.group);
        }
        Via nextVia = response.via();
        byte[] bytes = response.bytes();
        Hop hop = responseHop(nextVia, null);
        String key = response.status() + nextVia.branch();
        if (forInvite && response.status() >= 300) {
            enqueueOnce(key, WorkType.REJECT, () -> {
                simulatedSwitch.endpoint().transport().send(bytes, hop);
                // The entry stays for forwarding the ACK; it is removed after MAX_SET_UP_TIME.
                trunks.release(contact == null ? null : contact.seizure);
            });
        } else {
            WorkType type = forInvite && response.status() >= 200 ? WorkType.ANSWER : WorkType.MINOR_MESSAGE;
            enqueueOnce(key, type, () -> simulatedSwitch.endpoint().transport().send(bytes, hop));
        }
        return true;
    }

    /** Where a response goes (RFC 3261 18.2.2); over TCP to the connection of the request, where that is known. */
    private static Hop responseHop(Via via, Hop requestHop) throws InvalidValueException {
        if (requestHop != null && requestHop.isReliable()) {
            return requestHop;
        }
        String received = via.params().get("received");
        String rport = via.params().get("rport");
        int port = rport != null ? Integer.parseInt(rport) : via.sentBy().port();
        InetSocketAddress address = HopResolver.parseAddress(
                new HostPort(received == null ? via.sentBy().host() : received, port));
        return via.transport().equals("TCP") ? Hop.tcp(address) : Hop.udp(address);
    }

    /** Removes contacts that came from, or go to, a matching hop; returns their sessions. */
    List<String> removeMatching(Predicate<Hop> hopPredicate) {
        List<String> sessions = new ArrayList<>();
        for (Map.Entry<String, TransitContact> entry : new ArrayList<>(contacts.entrySet())) {
            if (hopPredicate.test(entry.getValue().origin) || hopPredicate.test(controller)) {
                sessions.add(entry.getValue().session);
                removeContact(entry.getKey());
            }
        }
        return sessions;
    }
}
