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
 * Stand-in for the service that publishes switch lists, with a delay, and the circuits of each exchange's trunk groups.
 * Its thread and its link in captures are named {@code office}. It runs on its endpoint's thread; the public operations
 * may be called by any thread.
 */
public final class DirectoryService implements AutoCloseable {
    private static final Span CIRCUIT_NOTIFICATION_INTERVAL = Span.ofMillis(100);

    private final Endpoint endpoint;
    private final TrunkGroups trunks;
    private final EventPackageCodec codec;
    private final Map<Long, ListedSwitch> entries = new LinkedHashMap<>();
    private final Map<Integer, Notifier> circuitNotifiers = new LinkedHashMap<>();
    private final Map<Integer, Map<String, Long>> notifiedChangeCounts = new HashMap<>();
    private final Map<Integer, Long> circuitVersions = new HashMap<>();
    private final int exchangeCount;
    private Notifier listNotifier;
    private final Map<Long, Long> appliedChanges = new HashMap<>();
    private long changeCount;
    private long listVersion;
    private Span notificationDelay;
    private Span extraDelay = Span.ZERO;

    /** Creates the service; {@code notificationDelay} is the usual delay of switch list changes. */
    public DirectoryService(
            SimulatedNetwork.NetworkLink link,
            TrunkGroups trunks,
            List<String> regions,
            int exchangeCount,
            Span notificationDelay) {
        this.trunks = trunks;
        this.exchangeCount = exchangeCount;
        this.notificationDelay = notificationDelay;
        endpoint = new Endpoint("office", TransportLimits.DEFAULTS, link, failure -> failure.printStackTrace());
        codec = new EventPackageCodec(regions, new Moment(System.nanoTime()), Instant.now());
    }

    /** Binds the sockets on the host's address and starts the thread. */
    public void open(InetAddress host) throws IOException {
        endpoint.open(new InetSocketAddress(host, 0), new InetSocketAddress(host, 0));
        endpoint.start(userAgentCore(), (message, from) -> false, () -> {}, TransactionTimers.RFC_3261, 99, 1 << 16);
        endpoint.execute(() -> {
            listNotifier = new Notifier(
                    endpoint.dialogLayer(),
                    EventPackageCodec.SWITCHES_EVENT_PACKAGE,
                    EventPackageCodec.CONTENT_TYPE,
                    subscription -> {
                        subscription.lastNotifiedVersion = listVersion;
                        return codec.write(
                                new EventPackageCodec.SwitchList(listVersion, true, List.copyOf(entries.values())));
                    },
                    256);
            for (int i = 0; i < exchangeCount; i++) {
                int exchange = i;
                notifiedChangeCounts.put(i, new HashMap<>());
                circuitVersions.put(i, 1L);
                circuitNotifiers.put(
                        i,
                        new Notifier(
                                endpoint.dialogLayer(),
                                EventPackageCodec.CIRCUITS_EVENT_PACKAGE,
                                EventPackageCodec.CONTENT_TYPE,
                                subscription -> encodeAllCircuits(exchange),
                                16));
            }
            notifyCircuitChanges();
        });
    }

    /** The listen port of the transport protocol. */
    public int port(Hop.Protocol protocol) {
        return endpoint.transport().port(protocol);
    }

    private byte[] encodeAllCircuits(int exchange) {
        List<EventPackageCodec.GroupState> groups = trunks.changesSince(exchange, new HashMap<>()).stream()
                .map(state -> new EventPackageCodec.GroupState(state.name(), state.total(), state.free()))
                .toList();
        return codec.write(new EventPackageCodec.CircuitList(circuitVersions.get(exchange), true, groups));
    }

    private void notifyCircuitChanges() {
        circuitNotifiers.forEach((exchange, notifier) -> {
            if (notifier.subscriptions().isEmpty()) {
                return;
            }
            List<EventPackageCodec.GroupState> groups =
                    trunks.changesSince(exchange, notifiedChangeCounts.get(exchange)).stream()
                            .map(state -> new EventPackageCodec.GroupState(state.name(), state.total(), state.free()))
                            .toList();
            if (!groups.isEmpty()) {
                long nextVersion = circuitVersions.merge(exchange, 1L, Long::sum);
                byte[] body = codec.write(new EventPackageCodec.CircuitList(nextVersion, false, groups));
                notifier.subscriptions().forEach(subscription -> notifier.sendNotify(subscription, body));
            }
        });
        endpoint.timerWheel().scheduleAfter(CIRCUIT_NOTIFICATION_INTERVAL, this::notifyCircuitChanges);
    }

    private UserAgentCore userAgentCore() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {
                call.refuse(call.response(404, "No calls here"));
            }

            @Override
            public void requestReceived(ServerTransaction transaction) {
                try {
                    handleSubscribe(transaction);
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

    private void handleSubscribe(ServerTransaction transaction) throws InvalidValueException {
        String userPart = transaction.request().parsedUri().unescapedUser();
        boolean forCircuits = userPart != null && userPart.matches("circuits-[0-9]{1,5}");
        Notifier notifier = forCircuits ? circuitNotifiers.get(Integer.parseInt(userPart.substring(9))) : listNotifier;
        // A refresh is sent to the Contact, which has no user part: its subscription is found by event and Call-ID.
        if (notifier != null
                && !forCircuits
                && EventPackageCodec.CIRCUITS_EVENT_PACKAGE.equals(
                        transaction.request().headers().first("Event"))) {
            for (Notifier candidate : circuitNotifiers.values()) {
                if (candidate.hasSubscription(transaction.request())) {
                    notifier = candidate;
                }
            }
        }
        if (notifier == null || !notifier.handleSubscribe(transaction)) {
            transaction.respond(transaction
                    .request()
                    .createResponse(
                            489,
                            "No such event package",
                            endpoint.dialogLayer().idGenerator().nextTag()));
        }
    }

    /** Publishes a change of a switch after the notification delay and the {@code additionalDelay}. */
    public void publishChange(
            int number,
            int region,
            InetSocketAddress address,
            Hop.Protocol protocol,
            SwitchEntry.State state,
            Moment startedAt,
            Span additionalDelay) {
        endpoint.execute(() -> {
            try {
                martenslip.sip.message.SipUri uri = martenslip.sip.message.SipUri.of(
                        null, address.getAddress().getHostAddress(), address.getPort());
                uri = protocol == Hop.Protocol.TCP ? uri.with("transport", "tcp") : uri;
                SwitchEntry entry =
                        new SwitchEntry(EventPackageCodec.switchId(address), number, state, startedAt, region);
                ListedSwitch listedSwitch = new ListedSwitch(entry, uri, new Hop(protocol, address, 0));
                long changeNumber = ++changeCount;
                Moment dueAt = endpoint.timerWheel()
                        .now()
                        .plus(notificationDelay)
                        .plus(extraDelay)
                        .plus(additionalDelay);
                endpoint.timerWheel().scheduleAt(dueAt, () -> {
                    // A delayed change is obsolete once a later change of the same switch was applied.
                    if (appliedChanges.getOrDefault(entry.id(), 0L) < changeNumber) {
                        appliedChanges.put(entry.id(), changeNumber);
                        apply(listedSwitch);
                    }
                });
            } catch (InvalidValueException e) {
                throw new IllegalStateException("switch address can't be written as a SIP URI", e);
            }
        });
    }

    private void apply(ListedSwitch listedSwitch) {
        listVersion++;
        entries.put(listedSwitch.entry().id(), listedSwitch);
        byte[] body = codec.write(new EventPackageCodec.SwitchList(listVersion, false, List.of(listedSwitch)));
        for (Notifier.Subscription subscription : listNotifier.subscriptions()) {
            if (listNotifier.sendNotify(subscription, body)) {
                subscription.lastNotifiedVersion = listVersion;
            }
        }
        if (listedSwitch.entry().state() == SwitchEntry.State.GONE) {
            entries.remove(listedSwitch.entry().id());
        }
    }

    /** Adds a delay to each later change. */
    public void setExtraDelay(Span delay) {
        endpoint.execute(() -> extraDelay = delay);
    }

    /** Sets the usual delay of changes. */
    public void setNotificationDelay(Span delay) {
        endpoint.execute(() -> notificationDelay = delay);
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
