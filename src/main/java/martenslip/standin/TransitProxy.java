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
 * A machine's part as a proxy with next to no state between callers or far controllers and its
 * exchange's controller: each message waits for the processor, then goes on. Circuits of contacts in transit are
 * held from the INVITE until a refusal or a BYE.
 */
final class TransitProxy {
    private static final String MARK = Via.MAGIC_COOKIE + "p";
    private static final Span GUARD = Span.ofMillis(40_000);

    private static final class TransitContact {
        final String session;
        final String group;
        final TrunkGroups.Seizure seizure;
        final Hop from;
        boolean stood;
        boolean heard;

        TransitContact(String session, String group, TrunkGroups.Seizure seizure, Hop from) {
            this.session = session;
            this.group = group;
            this.seizure = seizure;
            this.from = from;
        }
    }

    private final SimulatedSwitch machine;
    private final TrunkGroups trunks;
    private final Hop controller;
    private final Map<String, TransitContact> all = new LinkedHashMap<>();
    private final Set<String> waiting = new HashSet<>();

    TransitProxy(SimulatedSwitch machine, TrunkGroups trunks, Hop controller) {
        this.machine = machine;
        this.trunks = trunks;
        this.controller = controller;
    }

    /** False where the message is for the machine itself. */
    boolean takes(Message message, Hop from) throws InvalidValueException {
        if (message instanceof Response response) {
            return back(response);
        }
        Request request = (Request) message;
        String route = request.headers().first("Route");
        if (route != null && mine(SipUri.parse(NameAddr.parse(route).uri()).hostPort())) {
            within(request);
            return true;
        }
        boolean begins = request.hasMethod("INVITE") && request.to().tag().isEmpty();
        boolean belongs = request.hasMethod("CANCEL") || request.hasMethod("ACK");
        if (begins && !machine.endsHere(request.parsedUri())) {
            begin(request, from);
            return true;
        }
        if (belongs && all.containsKey(request.callId()) && !machine.endsHere(request.parsedUri())) {
            forward(request, WorkType.NOTE, controller, bytes -> {});
            return true;
        }
        return false;
    }

    private boolean mine(HostPort at) {
        InetSocketAddress udp = machine.address(Hop.Protocol.UDP);
        InetSocketAddress tcp = machine.address(Hop.Protocol.TCP);
        return at.hostWithoutBrackets().equals(udp.getAddress().getHostAddress())
                && (at.port() == udp.getPort() || at.port() == tcp.getPort());
    }

    private void begin(Request invite, Hop from) throws InvalidValueException {
        String group = SimulatedSwitch.group(invite);
        TransitContact known = all.get(invite.callId());
        if (known == null) {
            String session = String.valueOf(invite.headers().first("Session-ID"));
            TrunkGroups.Seizure seizure = group == null ? null : trunks.seize(group, machine.width(invite), session);
            if (group != null && seizure == null) {
                refuse(invite, from, "No circuit", ReleaseCause.NO_CIRCUIT, group);
                return;
            }
            TransitContact through = new TransitContact(session, group, seizure, from);
            all.put(invite.callId(), through);
            if (group != null) {
                machine.sent();
            }
            machine.endpoint().timerWheel().scheduleAfter(GUARD, () -> {
                if (!through.stood) {
                    drop(invite.callId());
                }
            });
        }
        // The front end answers at once (RFC 3261 16.2), and from then on it is the one that repeats.
        Response trying = invite.createResponse(100, "Trying", null);
        machine.endpoint().transport().send(trying.bytes(), backTo(invite.via(), from));
        if (known != null) {
            return;
        }
        if (!forward(
                invite,
                WorkType.LOOK,
                controller,
                bytes -> repeat(invite.callId(), bytes, TransactionTimers.RFC_3261.t1()))) {
            drop(invite.callId());
            refuse(invite, from, "Processor full", ReleaseCause.CONGESTION, group);
        }
    }

    /** An INVITE that the controller has not answered in any way is sent again, as by a client transaction. */
    private void repeat(String callId, byte[] invite, Span after) {
        if (controller.isReliable()) {
            return;
        }
        machine.endpoint().timerWheel().scheduleAfter(after, () -> {
            TransitContact through = all.get(callId);
            if (through != null && !through.heard && after.compareTo(TransactionTimers.RFC_3261.t2()) < 0) {
                machine.endpoint().transport().send(invite, controller);
                repeat(callId, invite, after.times(2));
            }
        });
    }

    private void refuse(Request invite, Hop from, String reason, int cause, String group) throws InvalidValueException {
        Response response = invite.createResponse(
                503, reason, machine.endpoint().dialogLayer().idGenerator().nextTag());
        response.headers().add("Reason", new ReleaseCause(cause, ReleaseCause.LOCAL_NETWORK));
        machine.loaded(response, group);
        machine.endpoint().transport().send(response.bytes(), backTo(invite.via(), from));
    }

    private void drop(String key) {
        TransitContact through = all.remove(key);
        if (through != null) {
            trunks.release(through.seizure);
        }
    }

    /** A request within a dialog follows its routes; a BYE gives the circuits back. */
    private void within(Request request) throws InvalidValueException {
        request.headers().removeFirst("Route");
        String next = request.headers().first("Route");
        Hop to = HopResolver.resolve(
                SipUri.parse(next == null ? request.uri() : NameAddr.parse(next).uri()));
        boolean bye = request.hasMethod("BYE");
        forward(request, bye ? WorkType.RELEASE : WorkType.NOTE, to, bytes -> {});
        if (bye) {
            drop(request.callId());
        }
    }

    private boolean forward(Request request, WorkType work, Hop to, Consumer<byte[]> sent)
            throws InvalidValueException {
        String hops = request.headers().first("Max-Forwards");
        if ("0".equals(hops)) {
            return true;
        }
        String branch = request.via().branch();
        String mark = MARK + branch.substring(branch.startsWith(Via.MAGIC_COOKIE) ? Via.MAGIC_COOKIE.length() : 0);
        InetSocketAddress at = machine.address(to.protocol());
        HostPort by = new HostPort(at.getAddress().getHostAddress(), at.getPort());
        Via via = new Via(to.protocol().name(), by, Parameters.NONE)
                .with("branch", mark)
                .with("rport", null);
        request.headers().addFirst("Via", via);
        request.headers().set("Max-Forwards", hops == null ? 70 : Integer.parseInt(hops) - 1);
        if (request.hasMethod("INVITE")) {
            request.headers().addFirst("Record-Route", "<sip:" + own() + ";lr>");
        }
        byte[] bytes = request.bytes();
        return queued(request.method() + mark, work, () -> {
            machine.endpoint().transport().send(bytes, to);
            sent.accept(bytes);
        });
    }

    /** Waits for the processor; what comes again while it waits costs nothing. False where it was turned away. */
    private boolean queued(String key, WorkType work, Runnable done) {
        if (!waiting.add(key)) {
            return true;
        }
        boolean taken = machine.work(work, () -> {
            waiting.remove(key);
            done.run();
        });
        if (!taken) {
            waiting.remove(key);
        }
        return taken;
    }

    private HostPort own() {
        InetSocketAddress udp = machine.address(Hop.Protocol.UDP);
        return new HostPort(udp.getAddress().getHostAddress(), udp.getPort());
    }

    private boolean back(Response response) throws InvalidValueException {
        if (!response.via().branch().startsWith(MARK)) {
            return false;
        }
        response.headers().removeFirst("Via");
        if (response.headers().first("Via") == null) {
            return true;
        }
        TransitContact through = all.get(response.callId());
        boolean invite = response.cseq().method().equals("INVITE");
        if (through != null && invite) {
            through.heard = true;
        }
        if (invite && response.status() == 100) {
            // 100 goes one hop only (RFC 3261 16.7), and the front end has said it already.
            return true;
        }
        if (through != null && invite && response.status() >= 200) {
            through.stood |= response.isSuccess();
            machine.loaded(response, through.group);
        }
        Via next = response.via();
        byte[] bytes = response.bytes();
        Hop to = backTo(next, null);
        String key = response.status() + next.branch();
        if (invite && response.status() >= 300) {
            queued(key, WorkType.REJECT, () -> {
                machine.endpoint().transport().send(bytes, to);
                // The entry stays for the ACK that must still find its way; the guard takes it away.
                trunks.release(through == null ? null : through.seizure);
            });
        } else {
            WorkType work = invite && response.status() >= 200 ? WorkType.ANSWER : WorkType.NOTE;
            queued(key, work, () -> machine.endpoint().transport().send(bytes, to));
        }
        return true;
    }

    /** RFC 3261 18.2.2; over TCP by the connection it came on, where that is known. */
    private static Hop backTo(Via via, Hop from) throws InvalidValueException {
        if (from != null && from.isReliable()) {
            return from;
        }
        String received = via.params().get("received");
        String rport = via.params().get("rport");
        int port = rport != null ? Integer.parseInt(rport) : via.sentBy().port();
        InetSocketAddress at = HopResolver.parseAddress(
                new HostPort(received == null ? via.sentBy().host() : received, port));
        return via.transport().equals("TCP") ? Hop.tcp(at) : Hop.udp(at);
    }

    /** Frees what came from, or goes to, such a place; the sessions are given. */
    List<String> dropAll(Predicate<Hop> which) {
        List<String> sessions = new ArrayList<>();
        for (Map.Entry<String, TransitContact> one : new ArrayList<>(all.entrySet())) {
            if (which.test(one.getValue().from) || which.test(controller)) {
                sessions.add(one.getValue().session);
                drop(one.getKey());
            }
        }
        return sessions;
    }
}
