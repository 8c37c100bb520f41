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
import martenslip.control.SwitchLine;
import martenslip.signal.Neighbour;
import martenslip.signal.SwitchText;
import martenslip.sip.Endpoint;
import martenslip.sip.dialog.CallIn;
import martenslip.sip.dialog.CallUser;
import martenslip.sip.dialog.Notifier;
import martenslip.sip.message.BadValue;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.Timers;
import martenslip.sip.transport.Bounds;
import martenslip.sip.transport.Hop;

/**
 * The service that tells of switches, late, and of the circuits of each exchange's groups. All but the verbs runs
 * on its endpoint's thread.
 */
public final class Office implements AutoCloseable {
    private static final Span CIRCUITS_EVERY = Span.ofMillis(100);

    private final Endpoint endpoint;
    private final Trunks trunks;
    private final SwitchText text;
    private final Map<Long, Neighbour> lines = new LinkedHashMap<>();
    private final Map<Integer, Notifier> circuits = new LinkedHashMap<>();
    private final Map<Integer, Map<String, Long>> seen = new HashMap<>();
    private final Map<Integer, Long> versions = new HashMap<>();
    private final int exchanges;
    private Notifier list;
    private final Map<Long, Long> applied = new HashMap<>();
    private long asked;
    private long version;
    private Span lag;
    private Span extra = Span.ZERO;

    public Office(Network.Wire wire, Trunks trunks, List<String> regions, int exchanges, Span lag) {
        this.trunks = trunks;
        this.exchanges = exchanges;
        this.lag = lag;
        endpoint = new Endpoint("office", Bounds.USUAL, wire, fault -> fault.printStackTrace());
        text = new SwitchText(regions, new Moment(System.nanoTime()), Instant.now());
    }

    public void open(InetAddress host) throws IOException {
        endpoint.open(new InetSocketAddress(host, 0), new InetSocketAddress(host, 0));
        endpoint.start(user(), (message, from) -> false, () -> {}, Timers.RFC, 99, 1 << 16);
        endpoint.run(() -> {
            list = new Notifier(
                    endpoint.calls(),
                    SwitchText.SWITCHES,
                    SwitchText.TYPE,
                    to -> {
                        to.told = version;
                        return text.write(new SwitchText.Lines(version, true, List.copyOf(lines.values())));
                    },
                    256);
            for (int i = 0; i < exchanges; i++) {
                int exchange = i;
                seen.put(i, new HashMap<>());
                versions.put(i, 1L);
                circuits.put(
                        i,
                        new Notifier(
                                endpoint.calls(),
                                SwitchText.CIRCUITS,
                                SwitchText.TYPE,
                                to -> allCircuits(exchange),
                                16));
            }
            tellCircuits();
        });
    }

    public int port(Hop.Kind kind) {
        return endpoint.transport().port(kind);
    }

    private byte[] allCircuits(int exchange) {
        List<SwitchText.GroupState> groups = trunks.changed(exchange, new HashMap<>()).stream()
                .map(state -> new SwitchText.GroupState(state.name(), state.total(), state.free()))
                .toList();
        return text.write(new SwitchText.Groups(versions.get(exchange), true, groups));
    }

    private void tellCircuits() {
        circuits.forEach((exchange, notifier) -> {
            if (notifier.subscribers().isEmpty()) {
                return;
            }
            List<SwitchText.GroupState> groups = trunks.changed(exchange, seen.get(exchange)).stream()
                    .map(state -> new SwitchText.GroupState(state.name(), state.total(), state.free()))
                    .toList();
            if (!groups.isEmpty()) {
                long next = versions.merge(exchange, 1L, Long::sum);
                byte[] body = text.write(new SwitchText.Groups(next, false, groups));
                notifier.subscribers().forEach(one -> notifier.notify(one, body));
            }
        });
        endpoint.wheel().after(CIRCUITS_EVERY, this::tellCircuits);
    }

    private CallUser user() {
        return new CallUser() {
            @Override
            public void incoming(CallIn call) {
                call.refuse(call.response(404, "No calls here"));
            }

            @Override
            public void requested(ServerTransaction transaction) {
                try {
                    subscribe(transaction);
                } catch (BadValue e) {
                    transaction.respond(transaction.request().answer(400, "Unreadable value", null));
                }
            }

            @Override
            public void broken(Hop hop, boolean everUp) {
                // A subscription outlives its connection.
            }

            @Override
            public Set<String> methods() {
                return Set.of("SUBSCRIBE", "OPTIONS");
            }
        };
    }

    private void subscribe(ServerTransaction transaction) throws BadValue {
        String user = transaction.request().target().plainUser();
        boolean ofCircuits = user != null && user.matches("circuits-[0-9]{1,5}");
        Notifier which = ofCircuits ? circuits.get(Integer.parseInt(user.substring(9))) : list;
        // A refresh goes to the Contact, which names nobody: the subscription is found by its event and Call-ID.
        if (which != null
                && !ofCircuits
                && SwitchText.CIRCUITS.equals(transaction.request().headers().first("Event"))) {
            for (Notifier one : circuits.values()) {
                if (one.knows(transaction.request())) {
                    which = one;
                }
            }
        }
        if (which == null || !which.takes(transaction)) {
            transaction.respond(transaction
                    .request()
                    .answer(
                            489,
                            "No such event package",
                            endpoint.calls().branches().tag()));
        }
    }

    /** Switches change: subscribers hear of it after the lag. Any thread. */
    public void change(
            int number,
            int region,
            InetSocketAddress at,
            Hop.Kind kind,
            SwitchLine.State state,
            Moment started,
            Span further) {
        endpoint.run(() -> {
            try {
                martenslip.sip.message.SipUri uri =
                        martenslip.sip.message.SipUri.of(null, at.getAddress().getHostAddress(), at.getPort());
                uri = kind == Hop.Kind.TCP ? uri.with("transport", "tcp") : uri;
                SwitchLine line = new SwitchLine(SwitchText.id(at), number, state, started, region);
                Neighbour neighbour = new Neighbour(line, uri, new Hop(kind, at, 0));
                long order = ++asked;
                Moment due = endpoint.wheel().now().plus(lag).plus(extra).plus(further);
                endpoint.wheel().at(due, () -> {
                    // One that was slow to be told is stale once a later change of the machine has been.
                    if (applied.getOrDefault(line.id(), 0L) < order) {
                        applied.put(line.id(), order);
                        apply(neighbour);
                    }
                });
            } catch (BadValue e) {
                throw new IllegalStateException("a switch without an address", e);
            }
        });
    }

    private void apply(Neighbour neighbour) {
        version++;
        lines.put(neighbour.line().id(), neighbour);
        byte[] body = text.write(new SwitchText.Lines(version, false, List.of(neighbour)));
        for (Notifier.Subscriber one : list.subscribers()) {
            if (list.notify(one, body)) {
                one.told = version;
            }
        }
        if (neighbour.line().state() == SwitchLine.State.GONE) {
            lines.remove(neighbour.line().id());
        }
    }

    /** Each change is told this much later still. */
    public void late(Span more) {
        endpoint.run(() -> extra = more);
    }

    /** How late changes are told as a rule. */
    public void lag(Span next) {
        endpoint.run(() -> lag = next);
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
