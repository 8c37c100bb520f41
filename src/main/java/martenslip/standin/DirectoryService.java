package martenslip.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;
import martenslip.sip.Endpoint;
import martenslip.sip.dialog.Notifier;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.dialog.UserAgentCore;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.TransportLimits;

/**
 * The service that tells of switches, late, and of the circuits of each exchange's groups. All but the verbs runs
 * on its endpoint's thread.
 */
public final class DirectoryService implements AutoCloseable {
    private static final Span CIRCUITS_EVERY = Span.ofMillis(100);

    private final Endpoint endpoint;
    private final TrunkGroups trunks;
    private final EventPackageCodec text;
    private final Map<Long, ListedSwitch> lines = new LinkedHashMap<>();
    private final Map<Integer, Notifier> circuits = new LinkedHashMap<>();
    private final Map<Integer, Map<String, Long>> seen = new HashMap<>();
    private final Map<Integer, Long> versions = new HashMap<>();
    private final int exchanges;
    private Notifier list;
    private final Map<Long, Long> applied = new HashMap<>();
    private long asked;
    private long version;
    private Span setNotificationDelay;
    private Span extra = Span.ZERO;

    public DirectoryService(
            SimulatedNetwork.NetworkLink wire, TrunkGroups trunks, List<String> regions, int exchanges, Span lag) {
        this.trunks = trunks;
        this.exchanges = exchanges;
        this.setNotificationDelay = lag;
        endpoint = new Endpoint("office", TransportLimits.DEFAULTS, wire, fault -> fault.printStackTrace());
        text = new EventPackageCodec(regions, new Moment(System.nanoTime()), Instant.now());
    }

    public void open(InetAddress host) throws IOException {
        endpoint.open(new InetSocketAddress(host, 0), new InetSocketAddress(host, 0));
        endpoint.start(user(), (message, from) -> false, () -> {}, TransactionTimers.RFC_3261, 99, 1 << 16);
        endpoint.execute(() -> {
            list = new Notifier(
                    endpoint.dialogLayer(),
                    EventPackageCodec.SWITCHES_EVENT_PACKAGE,
                    EventPackageCodec.CONTENT_TYPE,
                    to -> {
                        to.lastNotifiedVersion = version;
                        return text.write(new EventPackageCodec.SwitchList(version, true, List.copyOf(lines.values())));
                    },
                    256);
            for (int i = 0; i < exchanges; i++) {
                int exchange = i;
                seen.put(i, new HashMap<>());
                versions.put(i, 1L);
                circuits.put(
                        i,
                        new Notifier(
                                endpoint.dialogLayer(),
                                EventPackageCodec.CIRCUITS_EVENT_PACKAGE,
                                EventPackageCodec.CONTENT_TYPE,
                                to -> allCircuits(exchange),
                                16));
            }
            tellCircuits();
        });
    }

    public int port(Hop.Protocol kind) {
        return endpoint.transport().port(kind);
    }

    private byte[] allCircuits(int exchange) {
        List<EventPackageCodec.GroupState> groups = trunks.changed(exchange, new HashMap<>()).stream()
                .map(state -> new EventPackageCodec.GroupState(state.name(), state.total(), state.free()))
                .toList();
        return text.write(new EventPackageCodec.CircuitList(versions.get(exchange), true, groups));
    }

    private void tellCircuits() {
        circuits.forEach((exchange, notifier) -> {
            if (notifier.subscriptions().isEmpty()) {
                return;
            }
            List<EventPackageCodec.GroupState> groups = trunks.changed(exchange, seen.get(exchange)).stream()
                    .map(state -> new EventPackageCodec.GroupState(state.name(), state.total(), state.free()))
                    .toList();
            if (!groups.isEmpty()) {
                long next = versions.merge(exchange, 1L, Long::sum);
                byte[] body = text.write(new EventPackageCodec.CircuitList(next, false, groups));
                notifier.subscriptions().forEach(one -> notifier.sendNotify(one, body));
            }
        });
        endpoint.timerWheel().scheduleAfter(CIRCUITS_EVERY, this::tellCircuits);
    }

    private UserAgentCore user() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {
                call.refuse(call.response(404, "No calls here"));
            }

            @Override
            public void requestReceived(ServerTransaction transaction) {
                try {
                    subscribe(transaction);
                } catch (InvalidValueException e) {
                    transaction.respond(transaction.request().createResponse(400, "Unreadable value", null));
                }
            }

            @Override
            public void connectionLost(Hop hop, boolean everUp) {
                // A subscription outlives its connection.
            }

            @Override
            public Set<String> additionalMethods() {
                return Set.of("SUBSCRIBE", "OPTIONS");
            }
        };
    }

    private void subscribe(ServerTransaction transaction) throws InvalidValueException {
        String user = transaction.request().parsedUri().unescapedUser();
        boolean ofCircuits = user != null && user.matches("circuits-[0-9]{1,5}");
        Notifier which = ofCircuits ? circuits.get(Integer.parseInt(user.substring(9))) : list;
        // A refresh goes to the Contact, which names nobody: the subscription is found by its event and Call-ID.
        if (which != null
                && !ofCircuits
                && EventPackageCodec.CIRCUITS_EVENT_PACKAGE.equals(
                        transaction.request().headers().first("Event"))) {
            for (Notifier one : circuits.values()) {
                if (one.hasSubscription(transaction.request())) {
                    which = one;
                }
            }
        }
        if (which == null || !which.handleSubscribe(transaction)) {
            transaction.respond(transaction
                    .request()
                    .createResponse(
                            489,
                            "No such event package",
                            endpoint.dialogLayer().idGenerator().nextTag()));
        }
    }

    /** Switches change: subscribers hear of it after the lag. Any thread. */
    public void publishChange(
            int number,
            int region,
            InetSocketAddress at,
            Hop.Protocol kind,
            SwitchEntry.State state,
            Moment started,
            Span further) {
        endpoint.execute(() -> {
            try {
                martenslip.sip.message.SipUri uri =
                        martenslip.sip.message.SipUri.of(null, at.getAddress().getHostAddress(), at.getPort());
                uri = kind == Hop.Protocol.TCP ? uri.with("transport", "tcp") : uri;
                SwitchEntry line = new SwitchEntry(EventPackageCodec.switchId(at), number, state, started, region);
                ListedSwitch neighbour = new ListedSwitch(line, uri, new Hop(kind, at, 0));
                long order = ++asked;
                Moment due = endpoint.timerWheel()
                        .now()
                        .plus(setNotificationDelay)
                        .plus(extra)
                        .plus(further);
                endpoint.timerWheel().scheduleAt(due, () -> {
                    // One that was slow to be told is stale once a later change of the machine has been.
                    if (applied.getOrDefault(line.id(), 0L) < order) {
                        applied.put(line.id(), order);
                        apply(neighbour);
                    }
                });
            } catch (InvalidValueException e) {
                throw new IllegalStateException("a switch without an address", e);
            }
        });
    }

    private void apply(ListedSwitch neighbour) {
        version++;
        lines.put(neighbour.entry().id(), neighbour);
        byte[] body = text.write(new EventPackageCodec.SwitchList(version, false, List.of(neighbour)));
        for (Notifier.Subscription one : list.subscriptions()) {
            if (list.sendNotify(one, body)) {
                one.lastNotifiedVersion = version;
            }
        }
        if (neighbour.entry().state() == SwitchEntry.State.GONE) {
            lines.remove(neighbour.entry().id());
        }
    }

    /** Each change is told this much later still. */
    public void setExtraDelay(Span more) {
        endpoint.execute(() -> extra = more);
    }

    /** How late changes are told as a rule. */
    public void setNotificationDelay(Span next) {
        endpoint.execute(() -> setNotificationDelay = next);
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
